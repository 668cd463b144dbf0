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
constexpr int slots = 8;
constexpr int cacheEntries = 24;
constexpr int prefixes = 60;
constexpr double coldPrompt = 0.30;
constexpr double warmPrompt = 0.04;
constexpr double decodeMean = 0.20;
constexpr double oneWay = 0.08;
constexpr double reportPeriod = 0.5;
constexpr double reportLag = 0.3;
constexpr double simulated = 60;
constexpr double warmUp = 10;
constexpr double lossAt = 25;
constexpr double returnAt = 35;
constexpr double demandShares[regionCount] = {0.5, 0.3, 0.2};

struct Call
{
    int home = 0;
    int region = 0;
    int entry = 0;
    std::uint64_t prefix = 0;
    double arrived = 0;
    double deadline = 0;
    double worth = 1;
    const Service *service = nullptr;
    int engine = 0;
    std::uint64_t incarnation = 0; // of the engine that runs it
    std::shared_ptr<ServerCounters> counters;
};

using CallPtr = std::shared_ptr<Call>;

TimePoint at(double seconds)
{
    return TimePoint(std::chrono::hours(1))
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Slots, a queue and a cache of prompt prefixes.
struct Engine
{
    std::string name;
    double cost = 1;
    int running = 0;
    std::deque<CallPtr> queue;
    std::list<std::uint64_t> cache;
    bool lost = false;
    std::uint64_t incarnation = 1;

    bool warm(std::uint64_t prefix)
    {
        const auto found = std::find(cache.begin(), cache.end(), prefix);
        const bool hit = found != cache.end();
        if (hit)
            cache.erase(found);
        cache.push_front(prefix);
        if (cache.size() > cacheEntries)
            cache.pop_back();
        return hit;
    }
};

// One entry instance: what it knows and decides.
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
        for (Service *service : {&m_plain, &m_valuable}) {
            service->model = "m";
            service->expectedDuration = std::chrono::milliseconds(400);
        }
        m_plain.name = "plain";
        m_valuable.name = "valuable";
        m_valuable.worth = 10;
        for (int r = 0; r < regionCount; ++r)
            addRegion(r);
    }

    Outcome run()
    {
        const double perRequest = decodeMean + (coldPrompt + warmPrompt) / 2;
        m_rate = m_setup.load * regionCount * enginesPerRegion * slots / perRequest;
        plan(0, [this] { arrive(); });
        plan(0, [this] { report(); });
        if (m_setup.loseRegion)
            plan(lossAt, [this] { loseRegion(); });
        if (m_setup.returnEngines) {
            plan(lossAt, [this] { loseEngines(true); });
            plan(returnAt, [this] { loseEngines(false); });
        }
        while (!m_events.empty() && m_events.top().time < simulated) {
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

    void plan(double delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, m_order++, std::move(run)});
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
            server.slots = slots;
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
            entry->servers.setSenders(std::vector<std::string>(entriesPerRegion, "entry"));
            entry->picker = makePicker(m_setup.policy.pick);
            m_entries[region].push_back(std::move(entry));
        }
    }

    // A skewed choice among the region's prompt prefixes.
    std::uint64_t drawPrefix(int region)
    {
        const double u = m_random.uniform();
        const int index = static_cast<int>(prefixes * u * u);
        return 1 + static_cast<std::uint64_t>(region * prefixes + index) * 7919;
    }

    void arrive()
    {
        plan(-std::log(1 - m_random.uniform()) / m_rate, [this] { arrive(); });
        auto call = std::make_shared<Call>();
        const double u = m_random.uniform();
        call->home = u < demandShares[0] ? 0 : u < demandShares[0] + demandShares[1] ? 1 : 2;
        call->entry = static_cast<int>(m_random.below(entriesPerRegion));
        call->prefix = drawPrefix(call->home);
        call->arrived = m_now;
        call->deadline = m_now + 3;
        call->service = m_random.uniform() < 0.2 ? &m_valuable : &m_plain;
        call->worth = call->service->worth;
        if (m_now > warmUp) {
            ++m_outcome.arrived;
            m_outcome.worth += call->worth;
        }
        // A caller whose region is lost is told of entry instances elsewhere.
        if (m_setup.loseRegion && m_now > lossAt && call->home == 0)
            call->home = 1 + static_cast<int>(m_random.below(regionCount - 1));
        decide(call, call->home, true);
    }

    void decide(const CallPtr &call, int region, bool mayForward)
    {
        Entry &entry = *m_entries[region][call->entry];
        const TimePoint now = at(m_now);
        const auto candidates = candidatesForService(entry.table, *call->service, {});
        RegionChoiceInput input;
        input.localRegion = regionName(region);
        input.allowed = {"a", "b", "c"};
        input.reachable = {"a", "b", "c"};
        if (m_setup.loseRegion && m_now > lossAt)
            input.reachable = {"b", "c"};
        input.service = call->service;
        input.loadKey = call->service->name;
        input.localLoad = summarizeLoad(input.localRegion, input.loadKey, candidates);
        input.weights = m_setup.weights;
        input.oneWayDelay = std::chrono::milliseconds(80);
        const Spreading spreading = m_setup.policy.spreading;
        input.awayMargin = std::chrono::milliseconds(spreading == Spreading::eager ? 0 : 200);
        input.canForward = mayForward && spreading != Spreading::home;
        input.localRejects = !admitted(entry, *call, input.localLoad);
        const RegionDecision answer = entry.chooser.choose(input, entry.regions, now, m_random);
        if (!answer.region || candidates.empty())
            return refuse(*call);
        if (*answer.region != input.localRegion) {
            entry.regions.onForwarded(*answer.region, call->service->name);
            const int to = (*answer.region)[0] - 'a';
            plan(oneWay, [this, call, to] { decide(call, to, false); });
            return;
        }
        if (!admitted(entry, *call, input.localLoad))
            return refuse(*call);
        dispatch(entry, call, region, candidates);
    }

    bool admitted(Entry &entry, const Call &call, const RegionLoad &load)
    {
        if (!m_setup.policy.admission)
            return true;
        AdmissionInput input;
        input.customer = &m_customer;
        input.service = call.service;
        input.priority = call.service->priority;
        input.maxWorth = m_setup.policy.byWorth ? m_valuable.worth : 0;
        input.slots = load.slots;
        input.outstanding = load.outstanding;
        input.queueFactor = 4;
        input.lateIsUndelivered = m_setup.weights.lateIsUndelivered;
        input.remaining = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(call.deadline - m_now));
        return entry.admission.decide(input, m_random).code == ResultCode::served;
    }

    void refuse(const Call &call)
    {
        if (call.arrived > warmUp)
            ++m_outcome.refused;
    }

    void dispatch(Entry &entry, const CallPtr &call, int region,
                  const std::vector<Candidate> &candidates)
    {
        PickInput input;
        input.candidates = candidates;
        input.prefixHash = call->prefix;
        input.weights = m_setup.weights;
        input.expectedSeconds = 0.4;
        const Candidate &chosen = candidates[entry.picker->pick(input, m_random)];
        call->region = region;
        call->engine = chosen.view->server.name[1] - '0';
        call->counters = chosen.view->counters;
        ++call->counters->inFlight;
        ++call->counters->sentSinceReport;
        m_engines[region][call->engine].queue.push_back(call);
        startNext(region, call->engine);
    }

    void startNext(int region, int index)
    {
        Engine &engine = m_engines[region][index];
        while (!engine.lost && engine.running < slots && !engine.queue.empty()) {
            const CallPtr call = engine.queue.front();
            engine.queue.pop_front();
            ++engine.running;
            call->incarnation = engine.incarnation;
            const double prompt = engine.warm(call->prefix) ? warmPrompt : coldPrompt;
            const double time = prompt + decodeMean * (0.5 + m_random.uniform());
            plan(time, [this, call, time] { finish(call, time); });
        }
    }

    void finish(const CallPtr &call, double time)
    {
        Engine &engine = m_engines[call->region][call->engine];
        if (call->incarnation != engine.incarnation) {
            --call->counters->inFlight;
            return;
        }
        --engine.running;
        --call->counters->inFlight;
        ++call->counters->endedSinceReport;
        startNext(call->region, call->engine);
        if (engine.lost || call->arrived < warmUp)
            return;
        const bool away = call->region != call->home;
        const double latency = m_now - call->arrived + (away ? oneWay : 0);
        m_outcome.latencies.push_back(latency);
        ++m_outcome.served;
        m_outcome.away += away ? 1 : 0;
        m_outcome.cost += time * engine.cost;
        if (call->arrived + latency <= call->deadline)
            m_outcome.worthInTime += call->worth;
    }

    // Each engine's load reaches the entry instances of its region late, and summaries the others.
    void report()
    {
        plan(reportPeriod, [this] { report(); });
        for (int r = 0; r < regionCount; ++r) {
            for (const Engine &engine : m_engines[r]) {
                LoadReport load;
                load.server = engine.name;
                load.incarnation = engine.incarnation;
                load.running = static_cast<std::uint32_t>(engine.running);
                load.waiting = static_cast<std::uint32_t>(engine.queue.size());
                load.reachable = !engine.lost;
                const double lag = reportLag * (0.5 + m_random.uniform());
                plan(lag, [this, r, load] { deliverReport(r, load); });
            }
        }
    }

    void deliverReport(int region, const LoadReport &load)
    {
        for (const auto &entry : m_entries[region]) {
            entry->servers.onReport(load, at(m_now));
            entry->table = entry->servers.routingTable(at(m_now));
        }
        const auto candidates = candidatesForService(m_entries[region][0]->table, m_plain, {});
        for (const Service *service : {&m_plain, &m_valuable})
            publish(region, summarizeLoad(regionName(region), service->name, candidates));
    }

    void publish(int region, const RegionLoad &summary)
    {
        plan(oneWay, [this, region, summary] {
            for (int r = 0; r < regionCount; ++r) {
                for (const auto &entry : m_entries[r]) {
                    if (r != region)
                        entry->regions.onLoad(summary, at(m_now));
                }
            }
        });
    }

    // Half of each region's engines are gone for a while and come back with cold caches.
    void loseEngines(bool lost)
    {
        for (auto &engines : m_engines) {
            for (int e = 0; e < enginesPerRegion / 2; ++e) {
                engines[e].lost = lost;
                engines[e].queue.clear();
                engines[e].cache.clear();
                engines[e].running = 0;
                ++engines[e].incarnation;
            }
        }
    }

    void loseRegion()
    {
        for (Engine &engine : m_engines[0]) {
            engine.lost = true;
            engine.queue.clear();
        }
    }

    Setup m_setup;
    Random m_random;
    Service m_plain;
    Service m_valuable;
    Customer m_customer{"c", {}, {}, {}, 1, {}, {}, false};
    std::vector<Engine> m_engines[regionCount];
    std::vector<std::unique_ptr<Entry>> m_entries[regionCount];
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    double m_rate = 0;
    Outcome m_outcome;
};

} // namespace

Outcome runExperiment(const Setup &setup)
{
    return Experiment(setup).run();
}

} // namespace ibisnotch
