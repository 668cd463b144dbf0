#include "experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <string>

#include "ibisnotch/admission.h"
#include "ibisnotch/pick.h"
#include "ibisnotch/region-choice.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

namespace {

constexpr int regionCount = 3;
constexpr int enginesPerRegion = 4;
constexpr int entriesPerRegion = 3;
constexpr int slotsPerEngine = 8;
constexpr int cachedPrefixesPerEngine = 24;
constexpr int prefixesPerRegion = 60; // distinct prompt prefixes
constexpr double coldPromptSeconds = 0.30;
constexpr double warmPromptSeconds = 0.04;
constexpr double meanDecodeSeconds = 0.20;
constexpr double oneWayDelaySeconds = 0.08;
constexpr double reportPeriodSeconds = 0.5;
constexpr double meanReportDelaySeconds = 0.3;
constexpr double simulatedSeconds = 60;
constexpr double warmUpSeconds = 10;
constexpr double failureAtSeconds = 25;
constexpr double restartAtSeconds = 35;
constexpr double demandShareOfRegion[regionCount] = {0.5, 0.3, 0.2};

struct Request
{
    int homeRegion = 0;
    int region = 0;
    int entry = 0;
    std::uint64_t prefix = 0;
    double arrived = 0; // in seconds of simulated time, as the deadline
    double deadline = 0;
    double worth = 1;
    const Service *service = nullptr;
    int engine = 0;
    std::uint64_t incarnation = 0; // of the engine that runs it
    std::shared_ptr<ServerCounters> counters;
};

using RequestPtr = std::shared_ptr<Request>;

TimePoint toTimePoint(double seconds)
{
    return TimePoint(std::chrono::hours(1))
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// A model engine with slots, a queue and a cache of prompt prefixes.
struct Engine
{
    std::string name;
    double cost = 1;
    int running = 0;
    std::deque<RequestPtr> queue;
    std::list<std::uint64_t> cache;
    bool hasFailed = false;
    std::uint64_t incarnation = 1;

    // Returns whether the prefix is cached, and adds it to the cache.
    bool usePrefix(std::uint64_t prefix)
    {
        const auto found = std::find(cache.begin(), cache.end(), prefix);
        const bool isCached = found != cache.end();
        if (isCached)
            cache.erase(found);
        cache.push_front(prefix);
        if (cache.size() > cachedPrefixesPerEngine)
            cache.pop_back();
        return isCached;
    }
};

// An entry instance with the state that its decisions are based on.
struct Entry
{
    ServerTable servers{ServerTable::Limits{}};
    RoutingTable table;
    RegionTable regions;
    RegionChooser chooser;
    Admission admission;
    std::unique_ptr<Picker> picker;
};

std::unique_ptr<Picker> makePicker(Pick pick)
{
    switch (pick) {
    case Pick::random:
        return std::make_unique<RandomPicker>();
    case Pick::roundRobin:
        return std::make_unique<RoundRobinPicker>();
    case Pick::leastReported:
        return std::make_unique<LeastReportedPicker>();
    case Pick::twoChoices:
        return std::make_unique<TwoChoicesPicker>();
    case Pick::affinity:
        return std::make_unique<AffinityPicker>();
    }
    return nullptr;
}

class Experiment
{
public:
    explicit Experiment(const Setup &setup) : m_setup(setup), m_random(m_setup.seed)
    {
        for (Service *service : {&m_plainService, &m_valuableService}) {
            service->model = "m";
            service->expectedDuration = std::chrono::milliseconds(400);
        }
        m_plainService.name = "plain";
        m_valuableService.name = "valuable";
        m_valuableService.worth = 10;
        for (int r = 0; r < regionCount; ++r)
            addRegion(r);
    }

    Outcome run()
    {
        const double secondsPerRequest
            = meanDecodeSeconds + (coldPromptSeconds + warmPromptSeconds) / 2;
        m_arrivalsPerSecond
            = m_setup.load * regionCount * enginesPerRegion * slotsPerEngine / secondsPerRequest;
        schedule(0, [this] { onArrival(); });
        schedule(0, [this] { sendReports(); });
        if (m_setup.failRegion)
            schedule(failureAtSeconds, [this] { failRegion(); });
        if (m_setup.restartEngines) {
            schedule(failureAtSeconds, [this] { setEnginesFailed(true); });
            schedule(restartAtSeconds, [this] { setEnginesFailed(false); });
        }
        while (!m_events.empty() && m_events.top().time < simulatedSeconds) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
        return m_outcome;
    }

private:
    struct Event
    {
        double time = 0;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    void schedule(double delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, m_nextEventOrder++, std::move(run)});
    }

    static std::string regionName(int region) { return std::string(1, char('a' + region)); }

    void addRegion(int region)
    {
        auto config = std::make_shared<FleetConfig>();
        config->site = regionName(region);
        config->weights = m_setup.weights;
        for (int r = 0; r < regionCount; ++r)
            config->regions.push_back({regionName(r), {}});
        for (int e = 0; e < enginesPerRegion; ++e) {
            BackendServer server;
            server.name = regionName(region) + std::to_string(e);
            server.models = {"m"};
            server.slots = slotsPerEngine;
            server.cost = 1 + 0.25 * e;
            config->servers.emplace(server.name, server);
            Engine engine;
            engine.name = server.name;
            engine.cost = server.cost;
            m_engines[region].push_back(engine);
        }
        for (int i = 0; i < entriesPerRegion; ++i) {
            auto entry = std::make_unique<Entry>();
            entry->servers.setConfig(config);
            entry->servers.setSenders(std::vector<std::string>(entriesPerRegion, "entry"), true);
            entry->picker = makePicker(m_setup.policy.pick);
            m_entries[region].push_back(std::move(entry));
        }
    }

    // Returns one of the region's prompt prefixes; those with low indexes are more likely.
    std::uint64_t drawPrefix(int region)
    {
        const double u = m_random.uniform();
        const int index = static_cast<int>(prefixesPerRegion * u * u);
        return 1 + static_cast<std::uint64_t>(region * prefixesPerRegion + index) * 7919;
    }

    void onArrival()
    {
        schedule(-std::log(1 - m_random.uniform()) / m_arrivalsPerSecond, [this] { onArrival(); });
        auto request = std::make_shared<Request>();
        const double u = m_random.uniform();
        request->homeRegion = u < demandShareOfRegion[0]          ? 0
            : u < demandShareOfRegion[0] + demandShareOfRegion[1] ? 1
                                                                  : 2;
        request->entry = static_cast<int>(m_random.below(entriesPerRegion));
        request->prefix = drawPrefix(request->homeRegion);
        request->arrived = m_now;
        request->deadline = m_now + 3;
        request->service = m_random.uniform() < 0.2 ? &m_valuableService : &m_plainService;
        request->worth = request->service->worth;
        if (m_now > warmUpSeconds) {
            ++m_outcome.arrived;
            m_outcome.worth += request->worth;
        }
        // Callers of the failed region use entry instances of the other regions.
        if (m_setup.failRegion && m_now > failureAtSeconds && request->homeRegion == 0)
            request->homeRegion = 1 + static_cast<int>(m_random.below(regionCount - 1));
        decide(request, request->homeRegion, true);
    }

    void decide(const RequestPtr &request, int region, bool mayForward)
    {
        Entry &entry = *m_entries[region][request->entry];
        const TimePoint now = toTimePoint(m_now);
        const auto candidates = candidatesForService(entry.table, *request->service, {});
        RegionChoiceInput input;
        input.localRegion = regionName(region);
        input.allowed = {"a", "b", "c"};
        input.reachable = {"a", "b", "c"};
        if (m_setup.failRegion && m_now > failureAtSeconds)
            input.reachable = {"b", "c"};
        input.service = request->service;
        input.loadKey = request->service->name;
        input.localLoad = summarizeLoad(input.localRegion, input.loadKey, candidates);
        input.weights = m_setup.weights;
        input.oneWayDelay = std::chrono::milliseconds(80);
        const Forwarding forwarding = m_setup.policy.forwarding;
        input.awayMargin
            = std::chrono::milliseconds(forwarding == Forwarding::withoutMargin ? 0 : 200);
        input.canForward = mayForward && forwarding != Forwarding::never;
        input.localRejects = !isAdmitted(entry, *request, input.localLoad);
        const RegionDecision decision = entry.chooser.choose(input, entry.regions, now, m_random);
        if (!decision.region || candidates.empty())
            return recordRejected(*request);
        if (*decision.region != input.localRegion) {
            entry.regions.onForwarded(*decision.region, request->service->name);
            const int to = (*decision.region)[0] - 'a';
            schedule(oneWayDelaySeconds, [this, request, to] { decide(request, to, false); });
            return;
        }
        if (!isAdmitted(entry, *request, input.localLoad))
            return recordRejected(*request);
        dispatch(entry, request, region, candidates);
    }

    bool isAdmitted(Entry &entry, const Request &request, const RegionLoad &load)
    {
        if (!m_setup.policy.admission)
            return true;
        AdmissionInput input;
        input.customer = &m_customer;
        input.service = request.service;
        input.priority = request.service->priority;
        input.maxWorth = m_setup.policy.byWorth ? m_valuableService.worth : 0;
        input.slots = load.slots;
        input.outstanding = load.outstanding;
        input.queueFactor = 4;
        input.lateIsUndelivered = m_setup.weights.lateIsUndelivered;
        input.remaining = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(request.deadline - m_now));
        return entry.admission.decide(input, m_random).code == ResultCode::served;
    }

    void recordRejected(const Request &request)
    {
        if (request.arrived > warmUpSeconds)
            ++m_outcome.rejected;
    }

    void dispatch(Entry &entry, const RequestPtr &request, int region,
                  const std::vector<Candidate> &candidates)
    {
        PickInput input;
        input.candidates = candidates;
        input.prefixHash = request->prefix;
        input.weights = m_setup.weights;
        input.expectedSeconds = 0.4;
        const Candidate &picked = candidates[entry.picker->pick(input, m_random)];
        request->region = region;
        request->engine = picked.view->server.name[1] - '0';
        request->counters = picked.view->counters;
        ++request->counters->inFlight;
        ++request->counters->sentSinceReport;
        m_engines[region][request->engine].queue.push_back(request);
        startNext(region, request->engine);
    }

    void startNext(int region, int index)
    {
        Engine &engine = m_engines[region][index];
        while (!engine.hasFailed && engine.running < slotsPerEngine && !engine.queue.empty()) {
            const RequestPtr request = engine.queue.front();
            engine.queue.pop_front();
            ++engine.running;
            request->incarnation = engine.incarnation;
            const double prompt
                = engine.usePrefix(request->prefix) ? warmPromptSeconds : coldPromptSeconds;
            const double time = prompt + meanDecodeSeconds * (0.5 + m_random.uniform());
            schedule(time, [this, request, time] { onRequestFinished(request, time); });
        }
    }

    void onRequestFinished(const RequestPtr &request, double time)
    {
        Engine &engine = m_engines[request->region][request->engine];
        if (request->incarnation != engine.incarnation) {
            --request->counters->inFlight;
            return;
        }
        --engine.running;
        --request->counters->inFlight;
        ++request->counters->endedSinceReport;
        startNext(request->region, request->engine);
        if (engine.hasFailed || request->arrived < warmUpSeconds)
            return;
        const bool isRemote = request->region != request->homeRegion;
        const double latency = m_now - request->arrived + (isRemote ? oneWayDelaySeconds : 0);
        m_outcome.latencies.push_back(latency);
        ++m_outcome.served;
        m_outcome.servedRemotely += isRemote ? 1 : 0;
        m_outcome.cost += time * engine.cost;
        if (request->arrived + latency <= request->deadline)
            m_outcome.worthInTime += request->worth;
    }

    // Sends the load of each engine to the entry instances of its region, with a delay. Summaries
    // go on to the other regions.
    void sendReports()
    {
        schedule(reportPeriodSeconds, [this] { sendReports(); });
        for (int r = 0; r < regionCount; ++r) {
            for (const Engine &engine : m_engines[r]) {
                LoadReport load;
                load.server = engine.name;
                load.incarnation = engine.incarnation;
                load.running = static_cast<std::uint32_t>(engine.running);
                load.waiting = static_cast<std::uint32_t>(engine.queue.size());
                load.reachable = !engine.hasFailed;
                const double delay = meanReportDelaySeconds * (0.5 + m_random.uniform());
                schedule(delay, [this, r, load] { deliverReport(r, load); });
            }
        }
    }

    void deliverReport(int region, const LoadReport &load)
    {
        for (const auto &entry : m_entries[region]) {
            entry->servers.onReport(load, toTimePoint(m_now));
            entry->table = entry->servers.routingTable(toTimePoint(m_now));
        }
        const auto candidates
            = candidatesForService(m_entries[region][0]->table, m_plainService, {});
        for (const Service *service : {&m_plainService, &m_valuableService})
            sendSummary(region, summarizeLoad(regionName(region), service->name, candidates));
    }

    void sendSummary(int region, const RegionLoad &summary)
    {
        schedule(oneWayDelaySeconds, [this, region, summary] {
            for (int r = 0; r < regionCount; ++r) {
                for (const auto &entry : m_entries[r]) {
                    if (r != region)
                        entry->regions.onLoad(summary, toTimePoint(m_now));
                }
            }
        });
    }

    // Fails half of each region's engines, or restarts them with cold caches.
    void setEnginesFailed(bool hasFailed)
    {
        for (auto &engines : m_engines) {
            for (int e = 0; e < enginesPerRegion / 2; ++e) {
                engines[e].hasFailed = hasFailed;
                engines[e].queue.clear();
                engines[e].cache.clear();
                engines[e].running = 0;
                ++engines[e].incarnation;
            }
        }
    }

    void failRegion()
    {
        for (Engine &engine : m_engines[0]) {
            engine.hasFailed = true;
            engine.queue.clear();
        }
    }

    Setup m_setup;
    Random m_random;
    Service m_plainService;
    Service m_valuableService;
    Customer m_customer{"c", {}, {}, {}, 1, {}, {}, false};
    std::vector<Engine> m_engines[regionCount];
    std::vector<std::unique_ptr<Entry>> m_entries[regionCount];
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextEventOrder = 0;
    double m_now = 0;
    double m_arrivalsPerSecond = 0;
    Outcome m_outcome;
};

} // namespace

Outcome runExperiment(const Setup &setup)
{
    return Experiment(setup).run();
}

} // namespace ibisnotch
