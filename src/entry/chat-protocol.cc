#include "chat-protocol.h"

#include <absl/strings/numbers.h>

#include "ibisnotch/load-metrics.h"
#include "ibisnotch/response-check.h"

namespace ibisnotch {

namespace {

constexpr int minServerErrorStatus = 500;

class ChatReader final : public ResponseReader
{
public:
    ChatReader(const std::string &requestId, ResponseFormat format, bool fromPeer)
        : m_check(requestId, format), m_format(format), m_fromPeer(fromPeer)
    {
    }

    std::optional<AttemptOutcome> onHead(int status, const Headers &headers) override
    {
        m_statement.leaving = !m_fromPeer && headers.get("X-Engine-Draining").has_value();
        if (m_check.onHead(status, headers) != ResponseVerdict::valid) {
            m_mismatch = MismatchCause::otherRequest;
            return AttemptOutcome::mismatched;
        }
        const std::string type = headers.get("Content-Type").value_or("");
        m_isStreaming
            = m_format == ResponseFormat::eventStream && type.rfind("text/event-stream", 0) == 0;
        if (!m_fromPeer)
            return classifyStatus(status, headers);
        int code = 0;
        if (absl::SimpleAtoi(headers.get("X-Result-Code").value_or(""), &code))
            m_resultCode = resultCodeOf(code);
        if (!absl::SimpleAtoi(headers.get(attemptsHeader).value_or(""), &m_reportedAttempts))
            m_reportedAttempts = 0;
        m_reportedConfigVersion = readConfigVersion(headers);
        return std::nullopt;
    }

    std::optional<AttemptOutcome> onData(std::string_view data, std::string &out) override
    {
        switch (m_check.onData(data, out)) {
        case ResponseVerdict::valid:
            return std::nullopt;
        case ResponseVerdict::wrongRequest:
            m_mismatch = MismatchCause::otherRequest;
            return AttemptOutcome::mismatched;
        case ResponseVerdict::malformed:
            break;
        }
        return AttemptOutcome::truncated;
    }

    std::size_t heldBytes() const override { return m_check.heldBytes(); }
    void onForwardedInPart() override { m_check.dropCopy(); }

    AttemptOutcome outcome() const override
    {
        return m_check.isComplete() ? AttemptOutcome::answered : AttemptOutcome::truncated;
    }

    bool isStreaming() const override { return m_isStreaming; }
    MismatchCause mismatchCause() const override { return m_mismatch; }
    ResultCode resultCode() const override { return m_resultCode; }
    int reportedAttempts() const override { return m_reportedAttempts; }
    std::uint64_t reportedConfigVersion() const override { return m_reportedConfigVersion; }
    ServerStatement statement() const override { return m_statement; }

private:
    static std::optional<AttemptOutcome> classifyStatus(int status, const Headers &headers)
    {
        if (headers.get("X-Not-Run"))
            return AttemptOutcome::refusedNotRun;
        if (status >= minServerErrorStatus)
            return AttemptOutcome::serverError;
        return std::nullopt;
    }

    ResponseCheck m_check;
    ResponseFormat m_format;
    bool m_fromPeer;
    MismatchCause m_mismatch = MismatchCause::none;
    bool m_isStreaming = false;
    ServerStatement m_statement;
    ResultCode m_resultCode = ResultCode::served;
    int m_reportedAttempts = 0;
    std::uint64_t m_reportedConfigVersion = 0;
};

class ChatProtocol final : public Protocol
{
public:
    std::vector<std::unique_ptr<Filter>> filters(EntryState &state) const override
    {
        return makeChatFilters(state);
    }

    bool needsBackendServer(const HttpRequest &request, bool) const override
    {
        return request.path == chatPath || request.path.rfind(servicesPath, 0) == 0;
    }

    std::string requestId(const HttpRequest &request, bool fromPeer) const override
    {
        return fromPeer ? request.headers.get(requestIdHeader).value_or("") : "";
    }

    HttpResponse makeRefusal(const Exchange &exchange, const Refusal &refusal,
                             const std::string &servedBy) const override
    {
        return refusalResponse(exchange.id, refusal, servedBy);
    }

    Headers makeResponseHeaders(const Exchange &exchange, ResultCode code, const Headers &received,
                                const std::string &servedBy) const override
    {
        Headers headers = resultHeaders(exchange.id, code, servedBy);
        for (const char *name : {"Content-Type", "Retry-After"}) {
            if (const auto value = received.get(name))
                headers.add(name, *value);
        }
        return headers;
    }

    std::string makeStreamError(const Exchange &exchange, ResultCode code,
                                const std::string &servedBy) const override
    {
        return "data: " + refusalResponse(exchange.id, {code, "", {}}, servedBy).body + "\n\n";
    }

    OutgoingRequest makeServerRequest(const Exchange &exchange, const Target &target,
                                      Duration) const override
    {
        const bool isApplication = exchange.service->kind == ServiceKind::application;
        return makeRequest(exchange, target,
                           isApplication ? exchange.service->path : exchange.request.path);
    }

    OutgoingRequest makePeerRequest(const Exchange &exchange, const Target &target,
                                    Duration remaining) const override
    {
        OutgoingRequest result = makeRequest(exchange, target, exchange.request.path);
        result.headers.add(std::string(customerHeader), exchange.customer->name);
        if (const auto service = exchange.request.headers.get("X-Service"))
            result.headers.add("X-Service", *service);
        const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
        result.headers.add("X-Request-Timeout-Ms", std::to_string(remainingMs.count()));
        result.waitField = "X-Request-Timeout-Ms";
        return result;
    }

    std::unique_ptr<ResponseReader> makeReader(const Exchange &exchange,
                                               bool fromPeer) const override
    {
        const bool isChat = exchange.service->kind == ServiceKind::model;
        ResponseFormat format = isChat ? ResponseFormat::json : ResponseFormat::plain;
        if (exchange.streaming)
            format = ResponseFormat::eventStream;
        return std::make_unique<ChatReader>(exchange.id, format, fromPeer);
    }

    OutgoingRequest makeHealthCheck(const FleetConfig &, const BackendServer &server) const override
    {
        return makeStatusCheck(server);
    }

    OutgoingRequest makeStatusCheck(const BackendServer &server) const override
    {
        OutgoingRequest request;
        request.url = "http://" + server.address + "/metrics";
        return request;
    }

    bool isSameIncarnation(const Target &target, const BufferedResponse &reply) const override
    {
        const LoadReport report = parseLoadMetrics(target.name, reply.response.body);
        return report.incarnation != 0 && report.incarnation == target.incarnation;
    }

    bool passesServerErrors() const override { return false; }

private:
    static OutgoingRequest makeRequest(const Exchange &exchange, const Target &target,
                                       const std::string &path)
    {
        OutgoingRequest request;
        request.method = exchange.request.method;
        request.url = "http://" + target.address + path;
        if (!exchange.request.query.empty())
            request.url += "?" + exchange.request.query;
        request.body = exchange.request.body;
        request.useNewConnection = exchange.isBooking();
        request.headers.add(std::string(requestIdHeader), exchange.id);
        request.headers.add(
            "Content-Type",
            exchange.request.headers.get("Content-Type").value_or("application/json"));
        if (exchange.isBooking())
            request.headers.add("Idempotency-Key", exchange.bookingKeyText);
        return request;
    }
};

} // namespace

std::unique_ptr<Protocol> makeChatProtocol()
{
    return std::make_unique<ChatProtocol>();
}

} // namespace ibisnotch
