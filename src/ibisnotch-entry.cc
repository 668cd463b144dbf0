// One entry instance: serves callers, peers and operators until SIGTERM, then finishes what is in
// flight and exits.
#include <csignal>
#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <popt.h>

#include "entry/claim-desk.h"
#include "entry/control.h"
#include "entry/gateway.h"
#include "entry/placement-desk.h"
#include "entry/state.h"
#include "ibisnotch/log.h"
#include "ibisnotch/store.h"

using namespace ibisnotch;

namespace {

constexpr int exitSettings = 2;
constexpr int exitAddress = 3;
constexpr unsigned peerThreads = 1;
constexpr auto drainPoll = std::chrono::milliseconds(20);
// Callers that hold our address for a moment longer are refused with a list of the others.
constexpr auto goodbyeTime = std::chrono::milliseconds(500);

// All parts of the instance, in the order in which they are built.
class Instance
{
public:
    explicit Instance(const ProcessSettings &settings) : m_state(settings)
    {
        for (int i = 0; i < settings.workers; ++i)
            m_clients.push_back(std::make_unique<HttpClient>());
        m_controlClient = std::make_unique<HttpClient>();
        m_store = makeConsulStore(*m_controlClient, settings.store);
        m_desk = std::make_unique<ClaimDesk>(*m_controlClient, *m_store, m_state.clock);
        m_control = std::make_unique<Control>(m_state, *m_controlClient, *m_store);
        std::vector<HttpClient *> clients;
        for (const auto &client : m_clients)
            clients.push_back(client.get());
        const DispatchServices services{m_state, *m_control, *m_desk};
        m_callerGateway = std::make_unique<Gateway>(services, clients, false);
        m_peerGateway = std::make_unique<Gateway>(services, clients, true);
        m_placement = std::make_unique<PlacementDesk>(m_state, *m_controlClient, *m_store);
        m_control->start();
        m_placement->start();
        // The callers' port last: whoever finds it open finds the rest open too.
        m_peerServer = std::make_unique<HttpServer>(
            serverSettings(settings, settings.peers, peerThreads), *m_peerGateway);
        m_callerServer = std::make_unique<HttpServer>(
            serverSettings(settings, settings.callers, static_cast<unsigned>(settings.workers)),
            *m_callerGateway);
    }

    ~Instance()
    {
        // First everything that runs, then whatever holds on to an answer under way, and the
        // servers whose connections those answers refer to last.
        m_callerServer->stop();
        m_peerServer->stop();
        m_control->stop();
        m_clients.clear();
        m_controlClient.reset();
        m_desk.reset();
    }

    // Finishes what is in flight. Returns false if the drain time ran out first.
    bool drain()
    {
        logLine(LogPart::entry, LogLevel::info, "Stopping.",
                {{"inFlight", std::to_string(m_state.inFlight)}});
        m_state.stopping = true;
        m_control->leave();
        std::this_thread::sleep_for(goodbyeTime);
        m_callerServer->stopAccepting();
        const TimePoint until = m_state.clock.now() + m_state.settings.drainTime;
        while (m_state.inFlight > 0 || m_desk->busy()) {
            if (m_state.clock.now() >= until)
                return false;
            std::this_thread::sleep_for(drainPoll);
        }
        // The last bytes of the last answers are still on their way out of this process.
        std::this_thread::sleep_for(drainPoll * 5);
        return true;
    }

private:
    static HttpServerSettings serverSettings(const ProcessSettings &settings,
                                             const Address &address, unsigned threads)
    {
        HttpServerSettings result;
        result.address = address.host;
        result.port = address.port;
        result.threads = threads;
        result.maxConnections = static_cast<std::size_t>(settings.maxConnections);
        result.idleTimeout = std::chrono::duration_cast<std::chrono::seconds>(settings.idleTimeout);
        return result;
    }

    EntryState m_state;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::unique_ptr<HttpClient> m_controlClient;
    std::unique_ptr<Store> m_store;
    std::unique_ptr<ClaimDesk> m_desk;
    std::unique_ptr<Control> m_control;
    std::unique_ptr<PlacementDesk> m_placement;
    std::unique_ptr<Gateway> m_callerGateway;
    std::unique_ptr<Gateway> m_peerGateway;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_peerServer;
};

std::string settingsPath(int argc, const char **argv)
{
    char *path = nullptr;
    const poptOption options[]
        = {{"settings", 's', POPT_ARG_STRING, &path, 0, "settings of this process", "FILE"},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int end = poptGetNextOpt(context);
    std::string result = path == nullptr ? "" : path;
    free(path);
    if (end < -1)
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(end));
    poptFreeContext(context);
    return end < -1 ? "" : result;
}

int waitForStop(const sigset_t &stops)
{
    int signal = 0;
    sigwait(&stops, &signal);
    return signal;
}

} // namespace

int main(int argc, const char **argv)
{
    const std::string path = settingsPath(argc, argv);
    const auto text = readFile(path);
    const auto settings = text.ok() ? parseProcessSettings(*text, path)
                                    : absl::StatusOr<ProcessSettings>(text.status());
    if (!settings.ok()) {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return exitSettings;
    }
    // Blocked before any thread starts, so that only the wait below takes them.
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGINT);
    sigaddset(&stops, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
    startLog(settings->name, settings->logLevel);
    try {
        Instance instance(*settings);
        logLine(LogPart::entry, LogLevel::info, "Started.",
                {{"region", settings->region}, {"callers", settings->callers.text()}});
        waitForStop(stops);
        const bool whole = instance.drain();
        logLine(LogPart::entry, whole ? LogLevel::info : LogLevel::error,
                whole ? "Stopped." : "Stopped with requests in flight.");
        return whole ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}: {}\n", settings->name, error.what());
        return exitAddress;
    }
}
