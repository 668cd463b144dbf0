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

// What callers see: nothing; no request is cut. In what order: a server says that it is leaving,
// then older and younger reports of the same run arrive by way of other instances. Why: leaving is
// kept for the run of the server, whatever any later report of that run says.
TEST_CASE_METHOD(TableFixture, "leavingServer_anyLaterReportOfTheSameRun_staysLeaving")
{
    rc::prop("no report brings it back", [] {
        TableFixture fixture;
        fixture.table.onReport(report(7), fixture.now);
        const int way = *rc::gen::inRange(0, 3);
        if (way == 0)
            fixture.table.onReport(report(7, true), fixture.now);
        else if (way == 1)
            fixture.table.onSelfReportedLeaving("a-m");
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

TEST_CASE_METHOD(TableFixture, "silentServer_heardAgain_isUsableAtOnce")
{
    table.onSilence(serverId("a-m"), now);
    CHECK(status() == ServerStatus::ejected);
    now += 500ms;
    table.onRecovered(serverId("a-m"), now);
    CHECK(status() == ServerStatus::usable);
}

// What callers see: requests lost at a server whose health check answers while it does no work. In
// what order: silent, checked, taken back, silent again within seconds. Why: the second time the
// check is not believed; one request has to show that the server is back.
TEST_CASE_METHOD(TableFixture, "silentServer_silentAgainAfterAHealthCheck_needsATrial")
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

TEST_CASE_METHOD(TableFixture, "leavingServer_newRun_isUsable")
{
    table.onReport(report(7, true), now);
    now += 5s;
    table.onReport(report(8), now);
    CHECK(status() == ServerStatus::usable);
}

// What callers see: nothing. In what order: the platform's list names a server before its first
// load report has come in. Why: the notice is kept, and compared with the run that the report tells
// of.
TEST_CASE_METHOD(TableFixture, "leavingServer_listBeforeTheFirstReport_isLeaving")
{
    table.onLeavingList({{"a-m", 50}});
    table.onReport(report(40), now);
    CHECK(status() == ServerStatus::leaving);
    now += 1s;
    table.onReport(report(60), now);
    CHECK(status() == ServerStatus::usable);
}

TEST_CASE_METHOD(TableFixture, "leavingServer_listOlderThanTheRun_isUsable")
{
    table.onReport(report(100), now);
    table.onLeavingList({{"a-m", 50}});
    CHECK(status() == ServerStatus::usable);
}

TEST_CASE_METHOD(TableFixture, "server_whoseProbeFailed_isUnreachableUntilOneSucceeds")
{
    LoadReport failed = report(0);
    failed.reachable = false;
    CHECK(table.onReport(failed, now));
    CHECK(status() == ServerStatus::unreachable);
    now += 1s;
    CHECK(table.onReport(report(7), now));
    CHECK(status() == ServerStatus::usable);
}

TEST_CASE_METHOD(TableFixture, "server_thatFailsThreeTimes_isEjectedThenTriedOnce")
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

// What callers see: one of them pays one attempt. In what order: a server's process dies under
// steady traffic. Why: a refused connection ejects it at once.
TEST_CASE_METHOD(TableFixture, "server_thatCannotBeReachedOnce_isEjected")
{
    table.onAttempt("a-m", AttemptHealth::notConnected, now);
    CHECK(status() == ServerStatus::ejected);
}

TEST_CASE_METHOD(TableFixture, "correctedLoad_betweenReports_countsWhatWasSent")
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

TEST_CASE_METHOD(TableFixture, "reports_thatTravel_tellTheSameAtTheOtherEnd")
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

// What callers see: no refusals while servers are free. In what order: all callers use one of three
// instances. Why: what others send is learnt from reports, not taken to be as much as our own.
TEST_CASE_METHOD(TableFixture, "trafficFactor_ofUnevenCallers_isLearntFromReports")
{
    table.setSenders({"a", "b", "c"});
    const auto counters = table.routingTable(now).servers.at(1).counters;
    const auto learn = [&](std::uint32_t reported, int own) {
        counters->inFlight = own;
        for (int i = 0; i < 60; ++i) {
            now += 1s;
            LoadReport load = report(7);
            load.running = reported;
            table.onReport(load, now);
        }
        return table.routingTable(now).trafficFactor;
    };
    CHECK(learn(10, 10) == Approx(1));
    CHECK(learn(10, 5) == Approx(2).epsilon(0.05));
    CHECK(learn(40, 4) == Approx(3).epsilon(0.05));
}

// Guards against a server being sent its cold bound on top of what others sent before the check.
TEST_CASE_METHOD(TableFixture, "coldServer_foundByACheck_restsForASecond")
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

// Guards against a burst at a server that turned cold after its entry had vanished: requests must
// see that no entry tells of it.
TEST_CASE_METHOD(TableFixture, "listedServer_entryMissing_viewSaysSinceWhen")
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

// Guards against an entry of the list that is older than what the server said itself: a region that
// has just reached the store again reads entries from before its servers turned cold.
TEST_CASE_METHOD(TableFixture, "coldServer_olderEntryIsReadLate_staysCold")
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

// Guards against servers of a large region of which nobody is told: each message then took the
// first ones by name.
TEST_CASE_METHOD(TableFixture, "takeFresh_moreServersThanAMessageTakes_tellsEachInTurn")
{
    constexpr std::size_t servers = 146;
    constexpr std::size_t perMessage = 48;
    constexpr int rounds = 4; // as many messages as it takes to tell all
    constexpr int messages = 10 * rounds;
    std::map<std::string, ListedServer> listed;
    for (std::size_t i = 0; i < servers; ++i) {
        ListedServer entry;
        entry.server.name = "s" + std::to_string(i);
        entry.server.address = "127.0.0.1:" + std::to_string(i + 1);
        entry.revision = 1;
        listed[entry.server.name] = entry;
    }
    table.setListed(listed, now);
    std::map<std::uint32_t, int> told;
    for (int i = 0; i < messages; ++i) {
        now += 250ms;
        for (const auto &[name, entry] : listed)
            table.onAnswerLoad(name, 1, 0, now);
        for (const CompactLoad &load : table.collectNewReports(now, perMessage, true))
            ++told[load.server];
    }
    CHECK(told.size() == servers);
    for (const auto &[server, times] : told)
        CHECK(times >= messages / rounds);
}

namespace {

// Mean distance of what instances take a server's load for from what it is: its requests come
// through all of them alike, a report of it every 0.75 s.
double meanLoadError(int instances, Random &random)
{
    constexpr double perSecond = 8;
    constexpr Duration answerTime = 1s;
    constexpr Duration step = 10ms;
    std::vector<ServerView> views(static_cast<std::size_t>(instances));
    for (ServerView &view : views)
        view.counters = std::make_shared<ServerCounters>();
    std::multimap<TimePoint, std::size_t> running; // by their ends
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
        const std::size_t by = random.below(views.size());
        const double taken = correctedLoad(views[by], instances);
        error += std::abs(taken - static_cast<double>(running.size()));
        ++sent;
        ++views[by].counters->inFlight;
        ++views[by].counters->sentSinceReport;
        running.emplace(now + answerTime, by);
    }
    return error / sent;
}

} // namespace

// Guards against a fleet in which each instance takes full servers for empty, and empty ones for
// full, by a single request of its own.
TEST_CASE("correctedLoad_ofManyInstances_staysNearTheLoadThatIs")
{
    Random random(7);
    CHECK(meanLoadError(3, random) < 3);
    CHECK(meanLoadError(30, random) < 3);
    CHECK(meanLoadError(100, random) < 3);
}
