#include "request-receiver.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace ibisnotch {

namespace {

// What the server's library keeps of a field beside its text, for itself and for the handler.
constexpr std::size_t fieldOverheadBytes = 256;
constexpr std::string_view contentLength = "Content-Length";
constexpr std::string_view transferEncoding = "Transfer-Encoding";

static_assert(contentLength.size() == maskedContentLength.size());
static_assert(transferEncoding.size() == maskedTransferEncoding.size());

bool isFieldName(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

} // namespace

// The functions that the parser calls, with the receiver as its user data.
struct RequestReceiver::Callbacks
{
    static RequestReceiver &of(http_parser *parser)
    {
        return *static_cast<RequestReceiver *>(parser->data);
    }

    static int onField(http_parser *parser, const char *at, std::size_t size)
    {
        RequestReceiver &receiver = of(parser);
        if (!receiver.m_isHeadComplete)
            receiver.onFieldName(
                receiver.m_head.size() + static_cast<std::size_t>(at - receiver.m_input), size);
        return 0;
    }

    static int onValue(http_parser *parser, const char *, std::size_t)
    {
        of(parser).m_isNameOpen = false;
        return 0;
    }

    static int onHeadComplete(http_parser *parser) { return of(parser).onHeadComplete(); }

    static int onBody(http_parser *parser, const char *at, std::size_t size)
    {
        return of(parser).onBody({at, size});
    }

    static int onComplete(http_parser *parser)
    {
        of(parser).m_isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static http_parser_settings settings()
    {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_header_field = &onField;
        result.on_header_value = &onValue;
        result.on_headers_complete = &onHeadComplete;
        result.on_body = &onBody;
        result.on_message_complete = &onComplete;
        return result;
    }
};

void RequestReceiver::begin(const MessageLimits &limits)
{
    m_limits = limits;
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    // An assignment would keep their memory.
    std::string().swap(m_head);
    std::string().swap(m_body);
    m_name = {};
    m_isNameOpen = false;
    m_framingNames = {};
    m_fields = 0;
    m_hasBegun = false;
    m_isHeadComplete = false;
    m_isComplete = false;
    m_fault = ReceiveFault::none;
}

std::size_t RequestReceiver::add(std::string_view bytes)
{
    std::size_t taken = 0;
    m_hasBegun = m_hasBegun || !bytes.empty();
    while (taken < bytes.size() && !m_isComplete && m_fault == ReceiveFault::none)
        taken += parse(bytes.substr(taken));
    return taken;
}

// Parses up to the end of the head, the end of the request or the end of the bytes.
std::size_t RequestReceiver::parse(std::string_view bytes)
{
    static const http_parser_settings settings = Callbacks::settings();
    const bool wasInHead = !m_isHeadComplete;
    m_input = bytes.data();
    std::size_t parsed = http_parser_execute(&m_parser, &settings, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED)
        setParserFault();
    const bool endsHead = wasInHead && m_isHeadComplete && !m_isComplete;
    // The parser pauses at the last byte of the head and wants it again.
    const std::size_t headBytes = endsHead ? parsed + 1 : parsed;
    if (wasInHead)
        m_head.append(bytes.substr(0, headBytes));
    if (wasInHead && m_fault == ReceiveFault::none && m_head.size() > m_limits.headBytes)
        m_fault = ReceiveFault::headTooLarge;
    if (endsHead && m_fault == ReceiveFault::none)
        http_parser_pause(&m_parser, 0);
    return parsed;
}

void RequestReceiver::setParserFault()
{
    if (m_fault != ReceiveFault::none)
        return;
    const bool isTooLarge = HTTP_PARSER_ERRNO(&m_parser) == HPE_HEADER_OVERFLOW;
    m_fault = isTooLarge ? ReceiveFault::headTooLarge : ReceiveFault::malformed;
}

void RequestReceiver::onFieldName(std::size_t begin, std::size_t size)
{
    if (m_isNameOpen) {
        m_name.size += size;
        return;
    }
    keepFramingName();
    m_name = {begin, size};
    m_isNameOpen = true;
    ++m_fields;
}

void RequestReceiver::keepFramingName()
{
    if (m_name.size == contentLength.size() || m_name.size == transferEncoding.size())
        m_framingNames.push_back(m_name);
}

int RequestReceiver::onHeadComplete()
{
    keepFramingName();
    m_isHeadComplete = true;
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (hasLength && m_parser.content_length > m_limits.bodyBytes)
        m_fault = ReceiveFault::bodyTooLarge;
    http_parser_pause(&m_parser, 1);
    return 0;
}

int RequestReceiver::onBody(std::string_view data)
{
    if (m_body.size() + data.size() > m_limits.bodyBytes) {
        m_fault = ReceiveFault::bodyTooLarge;
        return 1;
    }
    m_body.append(data);
    return 0;
}

std::size_t RequestReceiver::headCost() const
{
    return m_head.size() + m_fields * fieldOverheadBytes;
}

void RequestReceiver::maskFramingFields()
{
    for (const Range &range : m_framingNames) {
        const std::string_view name = std::string_view(m_head).substr(range.begin, range.size);
        if (isFieldName(name, contentLength) || isFieldName(name, transferEncoding))
            std::fill_n(m_head.begin() + static_cast<std::ptrdiff_t>(range.begin), range.size, '~');
    }
}

std::string RequestReceiver::takeHead()
{
    maskFramingFields();
    return std::move(m_head);
}

namespace {

// Collects the fields of a head, complete or not.
struct FieldCollector
{
    std::vector<std::pair<std::string, std::string>> fields;
    bool isNameOpen = false;
    bool isComplete = false;

    static FieldCollector &of(http_parser *parser)
    {
        return *static_cast<FieldCollector *>(parser->data);
    }

    static int onField(http_parser *parser, const char *at, std::size_t size)
    {
        FieldCollector &self = of(parser);
        if (!self.isNameOpen)
            self.fields.emplace_back();
        self.isNameOpen = true;
        self.fields.back().first.append(at, size);
        return 0;
    }

    static int onValue(http_parser *parser, const char *at, std::size_t size)
    {
        of(parser).isNameOpen = false;
        of(parser).fields.back().second.append(at, size);
        return 0;
    }

    static int onHeadComplete(http_parser *parser)
    {
        of(parser).isComplete = true;
        return 0;
    }
};

} // namespace

Headers RequestReceiver::fieldsSoFar() const
{
    FieldCollector collector;
    http_parser parser{};
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = &collector;
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = &FieldCollector::onField;
    settings.on_header_value = &FieldCollector::onValue;
    settings.on_headers_complete = &FieldCollector::onHeadComplete;
    http_parser_execute(&parser, &settings, m_head.data(), m_head.size());
    // The last field of an incomplete head may not be whole.
    if (!collector.isComplete && !collector.fields.empty())
        collector.fields.pop_back();
    Headers headers;
    for (auto &[name, value] : collector.fields)
        headers.add(std::move(name), std::string(absl::StripTrailingAsciiWhitespace(value)));
    return headers;
}

} // namespace ibisnotch
