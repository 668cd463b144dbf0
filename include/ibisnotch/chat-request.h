// The fields of a chat completion that decide where it goes.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace ibisnotch {

struct ChatRequest
{
    std::string model;
    bool isStreaming = false;

    bool operator==(const ChatRequest &) const = default;
};

// Parses the JSON body of a chat completion in one pass, without a tree of its values, which takes
// up to thirty times the bytes of the body. Fails if it is no JSON, or without a model and
// messages.
absl::StatusOr<ChatRequest> parseChatRequest(std::string_view body);

} // namespace ibisnotch
