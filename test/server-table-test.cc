#include "ibisnotch/server-table.h"

#include <algorithm>
#include <cmath>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "config-fixture.h"
#include "ibisnotch/random.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct TableFixture : ConfigFixture
{
    ServerTable table{ServerTable::Limits{}};
    TimePoint now{1h};

    TableFixture()
    {
        table.setConfig(std::make_shared<const FleetConfig>(*parseFleetConfig(document, "a")));
    }

    static LoadReport report(std::uint64_t incarnation, bool leaving = false)
    {
        LoadReport result;
        result.server = "a-m";
        result.incarnation = incarnation;
        result.leaving = leaving;
        return result;
    }

    std::string address() const
    {
        return table.routingTable(now).config->servers.at("a-m").address;
    }

    ServerStatus status()
    {
        for (const ServerView &view : table.routingTable(now).servers) {
            if (view.server.name == "a-m")
                return view.status;
        }
        return ServerStatus::unreachable;
    }
};

} // namespace

// Guards against requests to a leaving server. Other instances still relay reports of the same
// incarnation, from before and after the notice, which must not make it usable again.
TEST_CASE_METHOD(TableFixture, "leavingServer_laterReportsOfTheSameIncarnation_staysLeaving")
{
    rc::prop("no report makes it usable", [] {
        TableFixture fixture;
        fixture.table.onReport(report(7), fixture.now);
        const int source = *rc::gen::inRange(0, 3);
        if (source == 0)
            fixture.table.onReport(report(7, true), fixture.now);
        else if (source == 1)
            fixture.table.onSelfReportedLeaving({"a-m", fixture.address(), 7}, fixture.now);
        else
            fixture.table.onLeavingList({{"a-m", 7}});
        for (int i = 0; i < 10; ++i) {
            fixture.now += 1s;
            LoadReport late = report(*rc::gen::inRange<std::uint64_t>(5, 8));
            late.ageMs = *rc::gen::inRange<std::uint32_t>(0, 60000);
            fixture.table.onReport(late, fixture.now);
            RC_ASSERT(fixture.status() == ServerStatus::leaving);
        }
    });
}

TEST_CASE_METHOD(TableFixture, "silentServer_recovered_isUsableAtOnce")
{
    table.onSilence(serverId("a-m"), now);
    CHECK(status() == ServerStatus::ejected);
    now += 500ms;
    table.onRecovered(serverId("a-m"), now);
    CHECK(status() == ServerStatus::usable);
}

// Guards against a working server that needs a trial request because its streams paused twice.
TEST_CASE_METHOD(TableFixture, "doubtedServer_noLongerDoubted_isUsableAtOnce")
{
    for (int i = 0; i < 2; ++i) {
        table.setDoubted(serverId("a-m"), true);
        CHECK(status() == ServerStatus::ejected);
        now += 10ms;
        table.setDoubted(serverId("a-m"), false);
        CHECK(status() == ServerStatus::usable);
    }
}

// Guards against requests lost at a server that answers health checks but does no work: if it is
// silent again within seconds of a check, only a successful request makes it usable.
TEST_CASE_METHOD(TableFixture, "silentServer_silentSoonAfterAHealthCheck_needsATrial")
{
    table.onSilence(serverId("a-m"), now);
    table.onRecovered(serverId("a-m"), now);
    now += 3s;
    table.onSilence(serverId("a-m"), now);
    table.onRecovered(serverId("a-m"), now);
    CHECK(status() == ServerStatus::ejected);
    now += 5s;
    CHECK(status() == ServerStatus::trial);
    table.onAttempt("a-m", AttemptHealth::good, now);
    CHECK(status() == ServerStatus::usable);
}

TEST_CASE_METHOD(TableFixture, "leavingServer_newIncarnation_isUsable")
{
    table.onReport(report(7, true), now);
    now += 5s;
    table.onReport(report(8), now);
    CHECK(status() == ServerStatus::usable);
}

// Guards against a lost leaving notice: if it arrives before the server's first load report, it is
// kept and compared with the incarnation of that report.
TEST_CASE_METHOD(TableFixture, "leavingNotice_beforeTheFirstReport_isKept")
{
    table.onLeavingList({{"a-m", 50}});
    table.onReport(report(40), now);
    CHECK(status() == ServerStatus::leaving);
    now += 1s;
    table.onReport(report(60), now);
    CHECK(status() == ServerStatus::usable);
}

TEST_CASE_METHOD(TableFixture, "leavingNotice_olderThanTheIncarnation_isIgnored")
{
    table.onReport(report(100), now);
    table.onLeavingList({{"a-m", 50}});
    CHECK(status() == ServerStatus::usable);
}

TEST_CASE_METHOD(TableFixture, "server_failedProbe_isUnreachableUntilOneSucceeds")
{
    LoadReport failed = report(0);
    failed.reachable = false;
    CHECK(table.onReport(failed, now));
    CHECK(status() == ServerStatus::unreachable);
    now += 1s;
    CHECK(table.onReport(report(7), now));
    CHECK(status() == ServerStatus::usable);
}

TEST_CASE_METHOD(TableFixture, "server_threeFailures_isEjectedThenTriedOnce")
{
    for (int i = 0; i < 3; ++i)
        table.onAttempt("a-m", AttemptHealth::failed, now);
    CHECK(status() == ServerStatus::ejected);
    now += 6s;
    CHECK(status() == ServerStatus::trial);
    table.onAttempt("a-m", AttemptHealth::failed, now);
    CHECK(status() == ServerStatus::ejected);
    now += 6s;
    CHECK(status() == ServerStatus::ejected);
    now += 5s;
    table.onAttempt("a-m", AttemptHealth::good, now);
    CHECK(status() == ServerStatus::usable);
}

// Guards against wasted attempts after a server's process has died: the first refused connection
// ejects it.
TEST_CASE_METHOD(TableFixture, "server_oneRefusedConnection_isEjected")
{
    table.onAttempt("a-m", AttemptHealth::notConnected, now);
    CHECK(status() == ServerStatus::ejected);
}

TEST_CASE_METHOD(TableFixture, "correctedLoad_betweenReports_countsSentRequests")
{
    LoadReport loaded = report(7);
    loaded.running = 3;
    table.onReport(loaded, now);
    const RoutingTable routing = table.routingTable(now);
    const ServerView &view = routing.servers.at(1);
    view.counters->sentSinceReport = 2;
    CHECK(correctedLoad(view, 1) == Approx(5));
    CHECK(correctedLoad(view, 3) == Approx(9));
    view.counters->endedSinceReport = 2;
    CHECK(correctedLoad(view, 3) == Approx(3));
}

TEST_CASE_METHOD(TableFixture, "compactLoad_receivedByAnotherTable_keepsTheValues")
{
    LoadReport sent = report(1796000000123ULL, true);
    sent.running = 3;
    sent.waiting = 70000;
    sent.ageMs = 250;
    ServerTable other{ServerTable::Limits{}};
    other.setConfig(std::make_shared<const FleetConfig>(*parseFleetConfig(document, "a")));
    other.onReport(compactLoad(sent), now);
    const RoutingTable routing = other.routingTable(now);
    CHECK(routing.servers.at(1).status == ServerStatus::leaving);
    CHECK(routing.servers.at(1).incarnation == sent.incarnation);
    CHECK(routing.servers.at(1).reportedLoad == 3 + 65535);
    CHECK(routing.servers.at(1).reportedAt == now - 250ms);
    CompactLoad unknown;
    CHECK_FALSE(other.onReport(unknown, now));
}

// Guards against rejected requests while servers are free: if all callers use one of three
// instances, it must not assume that the other two send as much as itself.
TEST_CASE_METHOD(TableFixture, "trafficFactor_unevenCallers_followsReports")
{
    table.setSenders({"a", "b", "c"}, true);
    const auto counters = table.routingTable(now).servers.at(1).counters;
    const auto factorAfter = [&](std::uint32_t reported, int own) {
        counters->inFlight = own;
        for (int i = 0; i < 60; ++i) {
            now += 1s;
            LoadReport load = report(7);
            load.running = reported;
            table.onReport(load, now);
        }
        return table.routingTable(now).trafficFactor;
    };
    CHECK(factorAfter(10, 10) == Approx(1));
    CHECK(factorAfter(10, 5) == Approx(2).epsilon(0.05));
    CHECK(factorAfter(40, 4) == Approx(3).epsilon(0.05));
}

// Guards against overloading a server just found cold: the requests that other instances sent it
// before that count towards what it can handle.
TEST_CASE_METHOD(TableFixture, "coldServer_firstReported_hasACooldownOfASecond")
{
    CHECK(table.onCold(serverId("a-m"), 3s, now));
    CHECK_FALSE(table.onCold(serverId("a-m"), 1s, now + 100ms));
    for (const ServerView &view : table.routingTable(now).servers) {
        if (view.server.name != "a-m")
            continue;
        CHECK(view.coldSince == now);
        CHECK(view.coldUntil == now + 3s);
        CHECK(view.cooldownUntil > now + 1s);
        CHECK(view.cooldownUntil < now + 2s);
    }
    CHECK_FALSE(table.onCold(serverId("nobody"), 3s, now));
}

// Guards against a burst to a server that became cold after its entry was removed from the list:
// the routing table must show that the list can't report that.
TEST_CASE_METHOD(TableFixture, "listedServer_entryMissing_viewHoldsSinceWhen")
{
    ListedServer entry;
    entry.server.name = "s";
    entry.server.address = "127.0.0.1:1";
    entry.revision = 1;
    const auto missingSince = [&] {
        const auto servers = table.routingTable(now).servers;
        const auto found = std::find_if(servers.begin(), servers.end(), [](const ServerView &view) {
            return view.server.name == "s";
        });
        REQUIRE(found != servers.end());
        return found->missingSince;
    };
    table.setListed({{"s", entry}}, now);
    CHECK(missingSince() == TimePoint{});
    entry.missingSince = now;
    table.setListed({{"s", entry}}, now);
    CHECK(missingSince() == now);
}

// Guards against a list entry that overrides a newer report of the server itself: a region that has
// just reached the store again reads entries from before its servers became cold.
TEST_CASE_METHOD(TableFixture, "coldServer_olderListEntryReadLate_staysCold")
{
    const auto listed = [](std::uint64_t revision, Duration warmup) {
        ListedServer entry;
        entry.server.name = "s";
        entry.server.address = "127.0.0.1:1";
        entry.warmup = warmup;
        entry.revision = revision;
        return std::map<std::string, ListedServer>{{"s", entry}};
    };
    const auto coldUntil = [&] {
        for (const ServerView &view : table.routingTable(now).servers) {
            if (view.server.name == "s")
                return view.coldUntil;
        }
        return TimePoint{};
    };
    table.setListed(listed(1, 0s), now);
    CHECK(table.onCold(serverId("s"), 3s, now));
    table.setListed(listed(2, 0s), now + 1s);
    CHECK(coldUntil() == now + 3s);
    table.setListed({}, now + 1s);
    table.setListed(listed(3, 0s), now + 1s);
    CHECK(coldUntil() == now + 3s);
    table.setListed(listed(4, 5s), now + 1s);
    CHECK(coldUntil() == now + 6s);
    table.setListed(listed(5, 0s), now + 4s);
    CHECK(coldUntil() <= now + 4s);
}

// Guards against servers of a large region whose load is never shared: messages that always start
// with the first server by name don't reach the others.
TEST_CASE_METHOD(TableFixture, "collectNewReports_moreServersThanOneMessageHolds_sharesEachInTurn")
{
    constexpr std::size_t servers = 146;
    constexpr std::size_t perMessage = 48;
    constexpr int messagesForAll = 4; // number of messages that hold all servers
    constexpr int messages = 10 * messagesForAll;
    std::map<std::string, ListedServer> listed;
    for (std::size_t i = 0; i < servers; ++i) {
        ListedServer entry;
        entry.server.name = "s" + std::to_string(i);
        entry.server.address = "127.0.0.1:" + std::to_string(i + 1);
        entry.revision = 1;
        listed[entry.server.name] = entry;
    }
    table.setListed(listed, now);
    std::map<std::uint32_t, int> shared;
    for (int i = 0; i < messages; ++i) {
        now += 250ms;
        for (const auto &[name, entry] : listed)
            table.onResponseLoad(name, 1, 0, now);
        for (const CompactLoad &load : table.collectNewReports(now, perMessage, true))
            ++shared[load.server];
    }
    CHECK(shared.size() == servers);
    for (const auto &[server, times] : shared)
        CHECK(times >= messages / messagesForAll);
}

namespace {

// Returns the mean difference between the corrected and the actual load of a server whose requests
// are distributed evenly over the instances and whose load is reported every 0.75 s.
double meanLoadError(int instances, Random &random)
{
    constexpr double perSecond = 8;
    constexpr Duration answerTime = 1s;
    constexpr Duration step = 10ms;
    std::vector<ServerView> views(static_cast<std::size_t>(instances));
    for (ServerView &view : views)
        view.counters = std::make_shared<ServerCounters>();
    std::multimap<TimePoint, std::size_t> running; // sending instance by the time of the response
    double error = 0;
    int sent = 0;
    int round = 0;
    for (TimePoint now{1h}; now < TimePoint{1h} + 200s; now += step) {
        while (!running.empty() && running.begin()->first <= now) {
            ServerCounters &counters = *views[running.begin()->second].counters;
            --counters.inFlight;
            ++counters.endedSinceReport;
            running.erase(running.begin());
        }
        for (ServerView &view : views) {
            if (round % 75 != 0)
                break;
            view.reportedLoad = static_cast<double>(running.size());
            view.counters->sentSinceReport = 0;
            view.counters->endedSinceReport = 0;
        }
        ++round;
        if (random.uniform() >= perSecond * seconds(step))
            continue;
        const std::size_t sender = random.below(views.size());
        const double corrected = correctedLoad(views[sender], instances);
        error += std::abs(corrected - static_cast<double>(running.size()));
        ++sent;
        ++views[sender].counters->inFlight;
        ++views[sender].counters->sentSinceReport;
        running.emplace(now + answerTime, sender);
    }
    return error / sent;
}

} // namespace

// Guards against a large error from extrapolation: with many instances, a single own request must
// not make a full server look empty or an empty one full.
TEST_CASE("correctedLoad_manyInstances_staysNearTheActualLoad")
{
    Random random(7);
    CHECK(meanLoadError(3, random) < 3);
    CHECK(meanLoadError(30, random) < 3);
    CHECK(meanLoadError(100, random) < 3);
}

// Connections that were established before a server answered twice failed one request each.
TEST_CASE("connectionReuse_afterAForeignAnswer_excludesEarlierConnections")
{
    const TimePoint at{1h};
    ServerCounters counters;
    CHECK(connectionReuse(counters, at) == ConnectionReuse{});
    recordForeignAnswer(counters, at);
    CHECK_FALSE(connectionReuse(counters, at).isAllowed);
    CHECK_FALSE(connectionReuse(counters, at + foreignAnswerTime - 1us).isAllowed);
    CHECK(connectionReuse(counters, at + foreignAnswerTime) == ConnectionReuse{true, 9s});
    CHECK(connectionReuse(counters, at + 75s + 900ms) == ConnectionReuse{true, 74s});
}
