// Reads one HTTP/1.1 request after the other from the bytes of a connection, within limits.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

#include "ibisnotch/http.h"
#include "ibisnotch/receive-limits.h"

namespace ibisnotch {

// Replace the names of the fields that frame a body in the head that RequestReceiver hands over.
constexpr std::string_view maskedContentLength = "~~~~~~~~~~~~~~";
constexpr std::string_view maskedTransferEncoding = "~~~~~~~~~~~~~~~~~";

// Returns whether a field of a head that was handed over framed the request's body.
inline bool isMaskedField(std::string_view name)
{
    return name == maskedContentLength || name == maskedTransferEncoding;
}

// Keeps the head as it was received and the body without its framing. Trailers and the extensions
// of chunks are dropped. Not thread-safe, and not movable, as the parser refers to it.
class RequestReceiver
{
public:
    explicit RequestReceiver(const MessageLimits &limits = {}) { begin(limits); }
    RequestReceiver(const RequestReceiver &) = delete;
    RequestReceiver &operator=(const RequestReceiver &) = delete;

    // Drops what is held and waits for another request.
    void begin(const MessageLimits &limits);

    // Takes bytes of the request and returns how many; what follows the end of the request or a
    // fault is left.
    std::size_t add(std::string_view bytes);

    bool hasBegun() const { return m_hasBegun; }
    bool isHeadComplete() const { return m_isHeadComplete; }
    bool isComplete() const { return m_isComplete; }
    // Returns whether the answer must be a head alone.
    bool isHeadRequest() const { return m_head.starts_with("HEAD "); }
    // Returns what is wrong with the bytes so far.
    ReceiveFault fault() const { return m_fault; }

    // Return the bytes that the request takes in memory so far.
    std::size_t headCost() const;
    std::size_t bodyBytes() const { return m_body.size(); }

    // Returns the head of a complete request as a request without a body: the names of the fields
    // that frame it are masked.
    std::string takeHead();
    std::string takeBody() { return std::move(m_body); }

    // Returns the fields received so far, for a response to a request that is not read on.
    Headers fieldsSoFar() const;

private:
    struct Callbacks;

    // A part of m_head.
    struct Range
    {
        std::size_t begin = 0;
        std::size_t size = 0;
    };

    std::size_t parse(std::string_view bytes);
    void onFieldName(std::size_t begin, std::size_t size);
    int onHeadComplete();
    int onBody(std::string_view data);
    void keepFramingName();
    void maskFramingFields();
    void setParserFault();

    MessageLimits m_limits;
    http_parser m_parser{};
    std::string m_head;
    std::string m_body;
    const char *m_input = nullptr; // begin of the bytes that are being parsed
    Range m_name; // of the field that was received last
    bool m_isNameOpen = false; // the next piece of a name continues it
    std::vector<Range> m_framingNames; // that may frame the body, by their length
    std::size_t m_fields = 0;
    bool m_hasBegun = false;
    bool m_isHeadComplete = false;
    bool m_isComplete = false;
    ReceiveFault m_fault = ReceiveFault::none;
};

} // namespace ibisnotch
