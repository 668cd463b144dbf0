// Checks that a response is complete and belongs to its request.
#pragma once

#include <string>
#include <string_view>

#include "ibisnotch/http.h"
#include "ibisnotch/retry.h"

namespace ibisnotch {

constexpr std::string_view requestIdHeader = "X-Request-Id";

enum class ResponseFormat {
    eventStream, // server-sent events with chat completion chunks, terminated by "[DONE]"
    json,
    plain,
};

enum class ResponseVerdict { valid, wrongRequest, malformed };

// Returns whether a response with these fields answers the request with this id. It has to name
// that id and no other: the position on a connection proves nothing, as a server may answer twice,
// the second time where the next response is expected. The response to a request without an id,
// which is empty here, names none.
MismatchCause findForeign(const Headers &headers, std::string_view idField,
                          std::string_view requestId);

// Follows the strings and brackets of a JSON document, of which it keeps nothing.
class JsonExtent
{
public:
    void add(std::string_view text);
    // Returns whether the text is one object or array, from its first bracket to the last.
    bool isComplete() const { return m_hasBegun && m_depth == 0 && !m_isFaulty; }

private:
    void addCharacter(char c);

    std::size_t m_depth = 0;
    bool m_isInString = false;
    bool m_isEscaped = false;
    bool m_hasBegun = false;
    bool m_isFaulty = false;
};

// Checks one response as it arrives. The server must echo the request's id, and all chunks of a
// stream must have the same completion id.
class ResponseCheck
{
public:
    ResponseCheck(std::string requestId, ResponseFormat format);

    ResponseVerdict onHead(int status, const Headers &headers);

    // Checks data and appends to `out` what may be forwarded: complete events of a stream, all data
    // of other responses.
    ResponseVerdict onData(std::string_view data, std::string &out);

    // Returns the memory that is held for the check.
    std::size_t heldBytes() const;
    // Keeps no copy of a JSON document any more. Whether it is complete is then told by its
    // brackets alone.
    void dropCopy();

    // Returns, after the last byte, whether the response is complete.
    bool isComplete() const;

    int status() const { return m_status; }

private:
    ResponseVerdict checkEvent(std::string_view event);

    std::string m_requestId;
    ResponseFormat m_format;
    int m_status = 0;
    std::string m_partial; // the beginning of an event that is not complete yet
    std::string m_body; // for ResponseFormat::json only, unless the copy was dropped
    JsonExtent m_extent; // of what would be the copy
    bool m_hasCopy = true;
    std::string m_completionId;
    bool m_done = false;
};

} // namespace ibisnotch
