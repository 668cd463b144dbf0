#include "instance.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <thread>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr auto drainPollInterval = std::chrono::milliseconds(20);
// Callers that still use this instance's address after it announced its stop are refused for this
// long with a list of the other instances.
constexpr Duration minNoticeTime = std::chrono::milliseconds(500);
// Time for which the port stays open beyond drainAcceptTime. Callers whose list of instances names
// this one connect until the list expires. The few that keep an expired list find the port closed
// and use another instance; waiting longer for them would leave the region without this instance
// for longer.
constexpr Duration extraServeTime = std::chrono::milliseconds(300);
// Time in which the answers to requests that the end of a stop cuts leave this process.
constexpr Duration lastAnswersTime = std::chrono::milliseconds(300);
// The system's buffers of connections that send faster than they are read count as memory. This is
// enough for 400 KB/s over a round trip of 160 ms.
constexpr int receiveBufferBytes = 64 * 1024;
// Pages are asked for by path and query.
constexpr std::uint64_t maxPageRequestBytes = 64 * 1024;

std::size_t descriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

class Instance::PageServer final : public RequestHandler
{
public:
    PageServer(std::unique_ptr<PageHandler> pages, const BufferAccounts &buffers, Duration idleTime)
        : m_pages(std::move(pages)), m_buffers(buffers)
    {
        m_limits.bodyBytes = maxPageRequestBytes;
        m_limits.idleTime = idleTime;
    }

    std::optional<MessageLimits> messageLimits() const override { return m_limits; }

    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override
    {
        responder->reply(withinBuffers(m_pages->respond(request), m_buffers));
    }

private:
    std::unique_ptr<PageHandler> m_pages;
    const BufferAccounts &m_buffers;
    MessageLimits m_limits;
};

// Once this constructor has returned, an exception in the other one runs the destructor, which
// stops the threads before anything that they use is destroyed.
Instance::Instance(std::unique_ptr<InterfaceFactory> interfaces, const ProcessSettings &settings)
    : m_interfaces(std::move(interfaces)), m_state(settings, m_interfaces->configFormat()),
      m_protocol(m_interfaces->protocol())
{
}

Instance::Instance(const ProcessSettings &settings, std::unique_ptr<InterfaceFactory> interfaces)
    : Instance(std::move(interfaces), settings)
{
    start();
}

void Instance::start()
{
    const ProcessSettings &settings = m_state.settings;
    for (int i = 0; i < settings.workers; ++i)
        m_clients.push_back(std::make_unique<HttpClient>());
    m_controlClient = std::make_unique<HttpClient>();
    m_claimService = m_interfaces->claimService(m_state, *m_controlClient);
    m_control = std::make_unique<Control>(m_state, *m_protocol, *m_controlClient);
    m_control->setStateSource(m_interfaces->stateSource(m_state, *m_control, *m_controlClient));
    std::vector<HttpClient *> clients;
    for (const auto &client : m_clients)
        clients.push_back(client.get());
    const DispatchServices services{m_state, *m_control, *m_protocol, m_claimService.get()};
    m_callerPages = m_interfaces->pages(services, false);
    m_peerPages = m_interfaces->pages(services, true);
    m_callerGateway = std::make_unique<Gateway>(services, clients, *m_callerPages, false);
    m_peerGateway = std::make_unique<Gateway>(services, clients, *m_peerPages, true);
    m_control->start();
    m_placement = m_interfaces->placementController(m_state, *m_controlClient);
    m_receiveLog = std::make_unique<ReceiveLog>(m_state.metrics);
    m_loop = std::make_unique<HttpLoop>(static_cast<unsigned>(settings.workers),
                                        ReceiveSettings{receiveLimits(settings, descriptorLimit()),
                                                        m_state.buffers.heldBytes(), &m_state.clock,
                                                        m_receiveLog.get()});
    listen("peers", settings.peerAddress, *m_peerGateway);
    for (PagePort &port : m_interfaces->pagePorts(services)) {
        m_pageServers.push_back(std::make_unique<PageServer>(std::move(port.pages), m_state.buffers,
                                                             settings.idleTimeout));
        listen("pages", port.address, *m_pageServers.back());
    }
    // The callers' port is opened last, so that the other ports are open once it accepts.
    listen("callers", settings.callerAddress, *m_callerGateway);
}

// All threads are stopped before any part is destroyed, because the parts refer to each other: a
// claim that ends resumes its request on another client, and a request settles its claim.
void Instance::stopThreads()
{
    if (m_loop)
        m_loop->stop();
    if (m_control)
        m_control->stop();
    for (const auto &client : m_clients)
        client->stop();
    if (m_controlClient)
        m_controlClient->stop();
}

Instance::~Instance()
{
    stopThreads();
    // The clients and the claim service refer to responses in progress, so they are destroyed
    // before the loop with the connections of those responses.
    m_clients.clear();
    m_controlClient.reset();
    m_claimService.reset();
}

void Instance::listen(const std::string &name, const Address &address, RequestHandler &handler)
{
    HttpServerSettings settings;
    settings.name = name;
    settings.address = address.host;
    settings.port = address.port;
    settings.limits.idleTime = m_state.settings.idleTimeout;
    settings.receiveBufferBytes = receiveBufferBytes;
    settings.heldBytes = m_state.buffers.isEnabled() ? m_state.buffers.heldBytes() : nullptr;
    m_servers.push_back(std::make_unique<HttpServer>(settings, handler, *m_loop));
}

void Instance::reload(const ProcessSettings &settings)
{
    ProcessSettings applied = m_state.settings;
    applied.seeds = settings.seeds;
    applied.logLevel = settings.logLevel;
    setLogLevel(settings.logLevel);
    m_control->setSeeds(settings.seeds);
    logLine(LogPart::entry, LogLevel::info, "Reloaded.",
            {{"seeds", std::to_string(settings.seeds.size())},
             {"logLevel", settings.logLevel},
             {"waitsForRestart", applied == settings ? "nothing" : "other settings"}});
}

bool Instance::isBusy()
{
    return m_state.inFlight > 0 || (m_claimService && m_claimService->hasPendingOutcomes())
        || std::any_of(m_servers.begin(), m_servers.end(),
                       [](const auto &server) { return server->openResponses() > 0; });
}

bool Instance::drain()
{
    logLine(LogPart::entry, LogLevel::info, "Stopping.",
            {{"inFlight", std::to_string(m_state.inFlight)}});
    const TimePoint startedAt = m_state.clock.now();
    const TimePoint drainEnd = startedAt + m_state.settings.drainTime;
    const Duration acceptTime
        = std::min(m_state.settings.drainAcceptTime, m_state.settings.drainTime);
    m_state.acceptsRequestsUntil = startedAt + acceptTime;
    m_state.cutsRequestsAt = drainEnd;
    m_state.stopping = true;
    m_control->leave();
    HttpServer &callers = *m_servers.back();
    callers.closeAfterResponses();
    // Callers that still connect are served or directed to another instance at once, rather than
    // finding the port closed.
    std::this_thread::sleep_for(acceptTime.count() > 0 ? acceptTime + extraServeTime
                                                       : minNoticeTime);
    callers.stopAccepting();
    const bool isComplete = waitUntilIdle(drainEnd);
    if (!isComplete) {
        logLine(LogPart::entry, LogLevel::warn, "Cutting what still runs.",
                {{"inFlight", std::to_string(m_state.inFlight)}});
        m_callerGateway->cutRequests();
        m_peerGateway->cutRequests();
        waitUntilIdle(drainEnd + lastAnswersTime);
    }
    // The last bytes of the last responses may still be in this process.
    std::this_thread::sleep_for(drainPollInterval * 5);
    return isComplete;
}

bool Instance::waitUntilIdle(TimePoint end)
{
    while (isBusy()) {
        if (m_state.clock.now() >= end)
            return false;
        std::this_thread::sleep_for(drainPollInterval);
    }
    return true;
}

} // namespace ibisnotch
