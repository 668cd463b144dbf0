#include "gateway.h"

#include <algorithm>

#include <fmt/format.h>

#include "config-skew.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr std::size_t maxRequestIdLength = 64;
constexpr std::size_t minCleanup = 64;

} // namespace

HttpResponse withinBuffers(HttpResponse page, const BufferAccounts &buffers)
{
    const std::size_t size = page.body.size();
    if (size <= buffers.limits().exchangeBytesWhenShort || buffers.accepts(size))
        return page;
    return {statusOf(ReceiveFault::memoryShort), {{"Retry-After", "1"}}, "overloaded\n"};
}

Gateway::Gateway(DispatchServices services, std::vector<HttpClient *> clients, PageHandler &pages,
                 bool forPeers)
    : m_state(services.state), m_services(services), m_clients(std::move(clients)), m_pages(pages),
      m_forPeers(forPeers), m_filters(services.protocol.filters(m_state))
{
}

void Gateway::handle(HttpRequest request, std::shared_ptr<Responder> responder)
{
    // An exception that leaves this function would close the connection without a result code.
    try {
        if (m_services.protocol.needsBackendServer(request, m_forPeers))
            serve(std::move(request), std::move(responder));
        else
            responder->reply(withinBuffers(m_pages.respond(request), m_state.buffers));
    } catch (const std::exception &error) {
        logLine(LogPart::entry, LogLevel::error, "Request handler threw an exception.",
                {{"error", error.what()}});
    }
}

std::optional<MessageLimits> Gateway::messageLimits() const
{
    const auto table = m_state.routing.read();
    if (!table || !table->config)
        return std::nullopt;
    const Limits &limits = table->config->limits;
    MessageLimits result;
    result.headBytes = static_cast<std::size_t>(limits.maxHeaderBytes);
    result.bodyBytes = static_cast<std::uint64_t>(limits.maxBodyBytes);
    result.headTime = limits.headerTimeout;
    result.idleTime = std::max(limits.idleTimeout, m_state.settings.idleTimeout);
    return result;
}

Refusal Gateway::refusalFor(ReceiveFault fault)
{
    const Duration retryAfter = jitteredRetryAfter(1, m_state.random);
    const std::string reason(receiveFaultName(fault));
    switch (fault) {
    case ReceiveFault::malformed:
        return {ResultCode::malformedRequest, reason, {}};
    case ReceiveFault::headTooLarge:
    case ReceiveFault::bodyTooLarge:
        // A configuration that isn't known yet may allow it.
        if (!messageLimits())
            return {ResultCode::notReady, reason, retryAfter};
        return {fault == ReceiveFault::headTooLarge ? ResultCode::headTooLarge
                                                    : ResultCode::bodyTooLarge,
                reason,
                {}};
    case ReceiveFault::headTimeout:
    case ReceiveFault::bodyTimeout:
    case ReceiveFault::idleTimeout:
        return {ResultCode::requestTimeout, reason, {}};
    case ReceiveFault::none:
    case ReceiveFault::memoryShort:
    case ReceiveFault::connectionsShort:
    case ReceiveFault::clientLeft:
        return {ResultCode::overloaded, reason, retryAfter};
    }
    return {ResultCode::overloaded, reason, retryAfter};
}

HttpResponse Gateway::refuse(ReceiveFault fault, const Headers &fields)
{
    Exchange exchange;
    exchange.request.headers = fields;
    exchange.fromPeer = m_forPeers;
    exchange.forwarderVersion = m_forPeers ? readConfigVersion(fields) : 0;
    exchange.table = m_state.routing.read();
    exchange.id = requestId(exchange.request);
    return m_services.protocol.makeRefusal(
        exchange, judgeRefusal(m_state, exchange, refusalFor(fault)), m_state.settings.name);
}

// Returns the id of a forwarded request, so that its trace can be found on both instances, or a new
// id.
std::string Gateway::requestId(const HttpRequest &request)
{
    const std::string given = m_services.protocol.requestId(request, m_forPeers);
    return given.empty() || given.size() > maxRequestIdLength ? newRequestId(m_state) : given;
}

void Gateway::refuse(Exchange &exchange, const Refusal &refusal)
{
    addTraceStep(exchange, m_state.clock, "refused: " + std::string(resultInfo(refusal.code).name));
    exchange.trace.resultCode = static_cast<int>(refusal.code);
    m_state.traces.add(exchange.trace);
    HttpResponse response
        = m_services.protocol.makeRefusal(exchange, refusal, m_state.settings.name);
    const bool shouldUseOtherInstance
        = refusal.code == ResultCode::stopping || refusal.code == ResultCode::notReady;
    if (shouldUseOtherInstance)
        response.headers.add("X-Entry-Instances", otherInstanceAddresses(m_state));
    const auto version = exchange.table && exchange.table->config ? exchange.config().version : 0;
    if (exchange.fromPeer)
        response.headers.add(std::string(configVersionHeader), std::to_string(version));
    exchange.responder->reply(std::move(response));
    if (exchange.customer != nullptr && exchange.service != nullptr)
        recordRefusal(exchange, refusal.code);
    logLine(LogPart::request, LogLevel::info, "Request refused.",
            {{"request", exchange.id},
             {"customer", exchange.trace.customer},
             {"service", exchange.trace.service},
             {"code", std::to_string(static_cast<int>(refusal.code))},
             {"sender", senderName(exchange)},
             {"configVersion", std::to_string(version)},
             {"senderVersion", std::to_string(exchange.forwarderVersion)},
             {"by", refusal.detail}});
    --m_state.inFlight;
}

void Gateway::recordRefusal(const Exchange &exchange, ResultCode code)
{
    RequestRecord record;
    record.service = exchange.service->name;
    record.customer = exchange.customer->name;
    record.code = code;
    record.receivedFromPeer = exchange.fromPeer;
    m_state.metrics.onRequest(record);
}

void Gateway::holdBuffers(Exchange &exchange)
{
    BufferAccounts &buffers = m_state.buffers;
    if (!buffers.isEnabled())
        return;
    exchange.sentBody = std::make_shared<SentBody>(exchange.request.body.size());
    buffers.add(exchange.id, exchange.customer->name, exchange.responder->buffer(),
                exchange.sentBody);
}

void Gateway::serve(HttpRequest request, std::shared_ptr<Responder> responder)
{
    ++m_state.inFlight;
    auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->responder = std::move(responder);
    exchange->fromPeer = m_forPeers;
    const TimePoint now = m_state.clock.now();
    const HttpRequest &received = exchange->request;
    exchange->arrived = received.arrivedAt == TimePoint{} ? now : received.arrivedAt;
    exchange->began = received.beganAt == TimePoint{} ? exchange->arrived : received.beganAt;
    exchange->unread = now - exchange->arrived;
    exchange->id = requestId(exchange->request);
    exchange->trace.requestId = exchange->id;
    exchange->trace.startedMs = wallMilliseconds(m_state.clock.wallNow());
    exchange->table = m_state.routing.read();
    if (!exchange->table || !exchange->table->config)
        return refuse(*exchange, {ResultCode::notReady, "", jitteredRetryAfter(1, m_state.random)});
    if (m_state.stopping && m_state.clock.now() >= m_state.acceptsRequestsUntil.load())
        return refuse(*exchange, stoppingRefusal());
    for (const auto &filter : m_filters) {
        if (const auto refusal = filter->apply(*exchange)) {
            compareVersions(*exchange);
            return refuse(*exchange, judgeRefusal(m_state, *exchange, *refusal));
        }
    }
    compareVersions(*exchange);
    if (const auto refusal = checkSenderRules(m_state, *exchange))
        return refuse(*exchange, *refusal);
    if (!m_state.buffers.accepts(exchange->request.body.size()))
        return refuse(*exchange,
                      {ResultCode::overloaded, "buffers", jitteredRetryAfter(1, m_state.random)});
    holdBuffers(*exchange);
    HttpClient &client = *m_clients[m_nextClient++ % m_clients.size()];
    auto dispatch = std::make_shared<Dispatch>(m_services, exchange, client);
    keep(dispatch);
    client.post([dispatch] { dispatch->start(); });
}

void Gateway::compareVersions(const Exchange &exchange)
{
    if (exchange.forwarderVersion != 0 && exchange.forwarderVersion != exchange.config().version)
        m_services.control.onVersionOf(senderName(exchange), exchange.forwarderVersion);
}

void Gateway::keep(const std::shared_ptr<Dispatch> &dispatch)
{
    const std::lock_guard lock(m_mutex);
    if (m_dispatches.size() >= m_nextCleanup) {
        std::erase_if(m_dispatches, [](const auto &one) { return one.expired(); });
        m_nextCleanup = std::max(minCleanup, 2 * m_dispatches.size());
    }
    m_dispatches.push_back(dispatch);
}

void Gateway::cutRequests()
{
    std::vector<std::weak_ptr<Dispatch>> dispatches;
    {
        const std::lock_guard lock(m_mutex);
        dispatches.swap(m_dispatches);
    }
    for (const auto &one : dispatches) {
        if (const auto dispatch = one.lock())
            dispatch->cut();
    }
}

} // namespace ibisnotch
