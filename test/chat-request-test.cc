// The fields of a chat completion, compared with those of a tree of the whole body.
#include "ibisnotch/chat-request.h"

#include <optional>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace ibisnotch;
using nlohmann::json;

namespace {

// What the fields are by the tree; empty if the body is refused.
std::optional<ChatRequest> readFromTree(const std::string &text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()
        || !body.contains("messages") || !body["messages"].is_array())
        return std::nullopt;
    if (body.contains("stream") && !body["stream"].is_boolean())
        return std::nullopt;
    return ChatRequest{body["model"].get<std::string>(), body.value("stream", false)};
}

void checkAsTree(const std::string &text)
{
    CAPTURE(text);
    const auto expected = readFromTree(text);
    const auto found = parseChatRequest(text);
    CHECK(found.ok() == expected.has_value());
    if (found.ok() && expected)
        CHECK(*found == *expected);
}

std::string anyMember()
{
    const std::vector<std::string> names{"model", "stream", "messages", "x", "Model"};
    const std::vector<std::string> values{"\"m\"",
                                          "true",
                                          "false",
                                          "null",
                                          "1",
                                          "1e999",
                                          "-0.5",
                                          "[]",
                                          "{}",
                                          "[{\"model\":1}]",
                                          "{\"stream\":true,\"model\":\"n\",\"messages\":[]}",
                                          "\"\\ud800\"",
                                          "[[[]]]",
                                          "\"stream\""};
    return "\"" + *rc::gen::elementOf(names) + "\":" + *rc::gen::elementOf(values);
}

} // namespace

TEST_CASE("parseChatRequest_anyMembers_agreesWithTheTree")
{
    rc::check([] {
        std::string text = "{";
        const auto count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i)
            text += (i > 0 ? "," : "") + anyMember();
        text += "}";
        const auto expected = readFromTree(text);
        const auto found = parseChatRequest(text);
        RC_ASSERT(found.ok() == expected.has_value());
        if (found.ok())
            RC_ASSERT(*found == *expected);
    });
}

TEST_CASE("parseChatRequest_bodiesThatAreNoObject_agreesWithTheTree")
{
    for (const char *text :
         {"", "{", "[]", "[{\"model\":\"m\",\"messages\":[]}]", "\"model\"", "null", "{}x",
          R"({"model":"m","messages":[]} )", R"({"model":"m","messages":[]},)",
          R"({"model":"m","messages":[})", R"({"model":"m","messages":[],"model":1})",
          R"({"model":1,"messages":[],"model":"m"})",
          R"({"model":"m","messages":[],"stream":true,"stream":false})",
          R"({"model":"m","messages":[],"stream":0})", "\xff"})
        checkAsTree(text);
    checkAsTree(std::string(R"({"model":")") + "\xff" + R"(","messages":[]})");
}

// Guards against a body that is nested so deeply that its parser exhausts the stack.
TEST_CASE("parseChatRequest_deepNesting_isParsed")
{
    constexpr int depth = 1000000;
    const std::string body
        = R"({"model":"m","messages":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    CHECK(parseChatRequest(body).ok());
}
