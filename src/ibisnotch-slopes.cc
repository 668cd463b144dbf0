// Measures how the cost of membership, load reports, configuration and claim pages grows with their
// size. Prints processor time, bytes and memory at several sizes; docs/CAPACITY.md derives the
// growth per unit from them.
#include <ctime>
#include <malloc.h>

#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "ibisnotch/active-config.h"
#include "ibisnotch/booking.h"
#include "ibisnotch/membership.h"
#include "ibisnotch/peer-link.h"
#include "ibisnotch/pick.h"
#include "ibisnotch/server-table.h"

using namespace ibisnotch;

namespace {

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Returns the mean processor time of a call in microseconds. Repeats the call for 0.2 s of
// processor time, so that the mean is stable.
double meanMicroseconds(const std::function<void()> &call)
{
    constexpr double minMicroseconds = 200'000;
    int calls = 0;
    const double start = processorMicroseconds();
    double now = start;
    while (now - start < minMicroseconds) {
        call();
        ++calls;
        now = processorMicroseconds();
    }
    return (now - start) / calls;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

Member makeMember(int index)
{
    Member member;
    member.name = fmt::format("node-{:05}", index);
    member.region = fmt::format("region-{:02}", index % 19);
    member.dataCentre = fmt::format("data-centre-{:02}", index % 51);
    member.callerAddress = fmt::format("10.{}.{}.1:8001", index / 250, index % 250);
    member.peerAddress = fmt::format("10.{}.{}.1:8101", index / 250, index % 250);
    member.gossipAddress = fmt::format("10.{}.{}.1:8201", index / 250, index % 250);
    member.incarnation = 1'796'000'000'000ULL + static_cast<std::uint64_t>(index);
    return member;
}

void measureMembers()
{
    fmt::print("members | us per period (ticks, one ping, one ack) | bytes of a probe | bytes "
               "with 8 updates | heap KB\n");
    for (const int size : {9, 100, 500, 1700, 3400}) {
        const std::size_t before = heapBytes();
        Membership node(makeMember(0), {}, {});
        Random random(1);
        TimePoint now{std::chrono::hours(1)};
        for (int i = 1; i < size; ++i)
            node.applyUpdate(makeMember(i), now);
        const std::size_t heap = heapBytes() - before;
        GossipMessage withUpdates;
        withUpdates.probe = node.broadcast(1, random).at(0).probe;
        // Each update is sent a limited number of times. Probes without updates remain afterwards.
        for (int i = 0; i < 3 * size; ++i)
            node.broadcast(1, random);
        GossipMessage withoutUpdates;
        withoutUpdates.probe = node.broadcast(1, random).at(0).probe;
        const std::string bytes = encodeGossip(withoutUpdates);
        const double cost = meanMicroseconds([&] {
            now += std::chrono::milliseconds(100);
            for (int tick = 0; tick < 10; ++tick)
                node.tick(now, random);
            now += std::chrono::milliseconds(900);
            const auto ping = decodeGossip(bytes);
            for (const OutgoingProbe &probe :
                 node.onProbe(ping->probe, "10.0.0.1:1", now, random)) {
                GossipMessage message;
                message.probe = probe.probe;
                encodeGossip(message);
            }
        });
        fmt::print("{:7} | {:8.1f} | {} | {} | {}\n", size, cost, bytes.size(),
                   encodeGossip(withUpdates).size(), heap / 1024);
    }
}

void measureLoads()
{
    fmt::print("servers of a region | us per report | us per routing table | us per selection "
               "of a server | bytes per report | heap KB\n");
    for (const int size : {5, 50, 230, 600, 1200}) {
        const std::size_t before = heapBytes();
        auto config = std::make_shared<FleetConfig>();
        for (int i = 0; i < size; ++i) {
            BackendServer server;
            server.name = fmt::format("engine-{:05}", i);
            server.models = {"model-" + std::to_string(i % 12)};
            config->servers.emplace(server.name, server);
        }
        ServerTable table({});
        TimePoint now{std::chrono::hours(1)};
        table.setConfig(config);
        const auto routing = std::make_shared<const RoutingTable>(table.routingTable(now));
        const std::size_t heap = heapBytes() - before;
        std::uint64_t next = 0;
        const double reportCost = meanMicroseconds([&] {
            LoadReport report;
            report.server = fmt::format("engine-{:05}", next++ % static_cast<std::uint64_t>(size));
            report.incarnation = 7;
            now += std::chrono::microseconds(10);
            table.onReport(report, now);
        });
        const double tableCost = meanMicroseconds([&] { table.routingTable(now); });
        Service service;
        service.model = "model-0";
        Random random(1);
        AffinityPicker picker;
        const double pickCost = meanMicroseconds([&] {
            const auto candidates = candidatesForService(*routing, service, {});
            PickInput input;
            input.candidates = candidates;
            input.prefixHash = ++next;
            picker.pick(input, random);
        });
        std::size_t cursor = 0;
        GossipMessage empty;
        GossipMessage withLoads;
        withLoads.loads = table.reports(now, 20, cursor);
        const double bytesPerReport
            = static_cast<double>(encodeGossip(withLoads).size() - encodeGossip(empty).size())
            / static_cast<double>(std::max<std::size_t>(1, withLoads.loads.size()));
        fmt::print("{:7} | {:7.2f} | {:8.1f} | {:7.2f} | {:.1f} | {}\n", size, reportCost,
                   tableCost, pickCost, bytesPerReport, heap / 1024);
    }
}

ConfigDocument makeDocument(int sites, int customers, int serversPerSite)
{
    ConfigDocument document;
    document.version = 1;
    document.base.name = "base.yaml";
    std::string &base = document.base.text;
    base = "deployment: d\nregions:\n";
    for (int i = 0; i < sites; ++i)
        base += fmt::format("  r{}: {{dataCentres: [d{}]}}\n", i, i);
    base += "services:\n";
    for (int i = 0; i < 12; ++i)
        base += fmt::format("  s{}: {{kind: model, model: m{}, deadline: 20s, expected: 400ms}}\n",
                            i, i);
    base += "customers:\n";
    for (int i = 0; i < customers; ++i)
        base += fmt::format("  c{}: {{tokenSha256: {}, share: 1}}\n", i,
                            sha256Hex(std::to_string(i)));
    for (int i = 0; i < sites; ++i) {
        std::string text = "backendServers:\n";
        for (int s = 0; s < serversPerSite; ++s)
            text += fmt::format("  e{}-{}: {{kind: model, dataCentre: d{}, address: "
                                "\"10.0.0.1:9000\", slots: 64, models: [m{}]}}\n",
                                i, s, i, s % 12);
        document.overlays["r" + std::to_string(i)] = {fmt::format("sites/r{}.yaml", i), text};
    }
    return document;
}

void measureConfig()
{
    struct Size
    {
        int sites;
        int customers;
        int servers;
    };
    fmt::print("sites, customers, servers per site | KB of the document | bytes of a delta's text "
               "(one line) "
               "| ms to apply a version | ms to validate all sites | heap KB of one instance\n");
    for (const Size size :
         {Size{3, 10, 5}, Size{6, 60, 60}, Size{12, 120, 120}, Size{19, 230, 230}}) {
        const ConfigDocument document = makeDocument(size.sites, size.customers, size.servers);
        ConfigDocument changed = document;
        changed.version = 2;
        changed.overlays["r0"].text += "# changed\n";
        const std::size_t before = heapBytes();
        ActiveConfig activeConfig("r0");
        activeConfig.apply(document);
        const std::size_t heap = heapBytes() - before;
        std::uint64_t version = 1;
        const double applyCost = meanMicroseconds([&] {
            ConfigDocument next = changed;
            next.version = ++version;
            activeConfig.apply(next);
        });
        const double validationCost
            = meanMicroseconds([&] { (void)validateDocument(document, nullptr).ok(); });
        const ConfigDelta delta = makeDelta(&document, changed);
        std::size_t deltaBytes = delta.base.replacement.size();
        for (const auto &[site, file] : delta.changedOverlays)
            deltaBytes += file.replacement.size();
        fmt::print("{:2}, {:3}, {:3} | {:7.1f} | {} | {:7.2f} | {:7.1f} | {}\n", size.sites,
                   size.customers, size.servers,
                   static_cast<double>(serializeDocument(document).size()) / 1024, deltaBytes,
                   applyCost / 1000, validationCost / 1000, heap / 1024);
    }
}

void measureClaims()
{
    fmt::print("claims per page | KB of the page | us to parse | us to write one claim\n");
    for (const int size : {100, 1000, 4000, 7000}) {
        ClaimPage page;
        Random random(1);
        for (int i = 0; i < size; ++i)
            page[claimId("customer", std::to_string(i))]
                = {random.next(), claimId("body", std::to_string(i)), ClaimState::done, 200};
        const std::string text = serializeClaimPage(page);
        const double parseCost = meanMicroseconds([&] { (void)parseClaimPage(text).ok(); });
        const double writeCost = meanMicroseconds([&] {
            ClaimPageWriter writer;
            writer.claim({1, "new", "body", TimePoint(std::chrono::hours(1))});
            writer.advance(TimePoint());
            writer.onRead(1, 5, page);
            writer.advance(TimePoint());
        });
        fmt::print("{:6} | {:7.1f} | {:8.0f} | {:8.0f}\n", size,
                   static_cast<double>(text.size()) / 1024, parseCost, writeCost);
    }
}

// Simulates how a configuration change reaches a fleet: each instance that applies the change
// announces it to a few others, and each of them requests it. Membership::broadcast() selects the
// receivers.
class BroadcastSimulation
{
public:
    explicit BroadcastSimulation(int size) : m_random(static_cast<std::uint64_t>(size))
    {
        const TimePoint now{std::chrono::hours(1)};
        for (int i = 0; i < size; ++i) {
            m_nodes.push_back(std::make_unique<Membership>(
                makeMember(i), std::vector<std::string>{}, MembershipSettings{}));
            m_indexOfAddress[makeMember(i).gossipAddress] = i;
        }
        for (int i = 0; i < size; ++i) {
            for (int j = 0; j < size; ++j) {
                if (i != j)
                    m_nodes[i]->applyUpdate(makeMember(j), now);
            }
        }
        m_hasChange.assign(size, false);
    }

    void run()
    {
        applyChange(0, 0);
        while (!m_events.empty()) {
            const auto [time, node] = m_events.top();
            m_events.pop();
            if (!m_hasChange[node])
                applyChange(node, time);
        }
        fmt::print("{:7} | {:.0f} | {} | {:.2f}\n", m_hasChange.size(), m_lastAppliedAt * 1000,
                   m_membersReached,
                   static_cast<double>(m_messageCount) / static_cast<double>(m_hasChange.size()));
    }

private:
    void applyChange(int node, double time)
    {
        // The time to apply a version that measureConfig() measures at the required fleet size.
        constexpr double applySeconds = 0.011;
        constexpr int fanout = 4;
        m_hasChange[node] = true;
        ++m_membersReached;
        m_lastAppliedAt = std::max(m_lastAppliedAt, time);
        for (const OutgoingProbe &probe : m_nodes[node]->broadcast(fanout, m_random)) {
            const int receiver = m_indexOfAddress.at(probe.address);
            const bool isSameRegion = receiver % 19 == node % 19;
            const double oneWayDelaySeconds = isSameRegion ? 0.004 : 0.08;
            ++m_messageCount;
            // Three one-way delays: the announcement, the request and its response.
            m_events.push({time + 3 * oneWayDelaySeconds + applySeconds, receiver});
        }
    }

    using Event = std::pair<double, int>; // time in seconds and index of the receiver
    Random m_random;
    std::vector<std::unique_ptr<Membership>> m_nodes;
    std::map<std::string, int> m_indexOfAddress; // index in m_nodes by gossip address
    std::vector<bool> m_hasChange; // by index in m_nodes
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    double m_lastAppliedAt = 0; // in seconds
    int m_membersReached = 0;
    int m_messageCount = 0;
};

void measureBroadcast()
{
    fmt::print("members | ms until the last member reached has the change | members reached | "
               "messages per member\n");
    for (const int size : {9, 100, 400, 1700})
        BroadcastSimulation(size).run();
}

} // namespace

int main()
{
    measureBroadcast();
    measureMembers();
    measureLoads();
    measureConfig();
    measureClaims();
    return 0;
}
