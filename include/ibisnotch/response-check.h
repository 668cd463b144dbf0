// Whether an answer is the whole answer to the request that waits for it.
#pragma once

#include <string>
#include <string_view>

#include "ibisnotch/http.h"

namespace ibisnotch {

constexpr std::string_view requestIdHeader = "X-Request-Id";

enum class ResponseFormat {
    eventStream, // server-sent events of chat completion chunks, closed by "[DONE]"
    json,
    plain,
};

enum class ResponseVerdict { valid, wrongRequest, malformed };

// Checks one answer as it arrives. The other end must echo the request's id; each chunk of a stream
// must carry the same completion id.
class ResponseCheck
{
public:
    ResponseCheck(std::string requestId, ResponseFormat format);

    ResponseVerdict onHead(int status, const Headers &headers);

    // Takes data and returns in `out` what may be passed on: whole events of a stream, everything
    // of other answers.
    ResponseVerdict onData(std::string_view data, std::string &out);

    // After the last byte: whether nothing is missing.
    bool isComplete() const;

    int status() const { return m_status; }

private:
    ResponseVerdict checkEvent(std::string_view event);

    std::string m_requestId;
    ResponseFormat m_format;
    int m_status = 0;
    std::string m_partial; // of an event not yet complete
    std::string m_body; // json only, up to the limit
    std::string m_completionId;
    bool m_done = false;
};

} // namespace ibisnotch
