// The chat interface: OpenAI-style chat completions and plain services.
#pragma once

#include <memory>

#include "protocol.h"

namespace ibisnotch {

std::unique_ptr<Protocol> makeChatProtocol();

} // namespace ibisnotch
