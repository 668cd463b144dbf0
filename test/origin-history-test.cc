#include "ibisnotch/origin-history.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

const StreamOrigin oldVersion{"p", "v1"};
const StreamOrigin newVersion{"p", "v2"};
const StreamOrigin otherPool{"q", "v1"};
constexpr Duration deadline = 10s;
constexpr Duration lifetime = deadline + OriginHistory::resumeReserve;
constexpr Duration maxAge = 5s;

// A service that uses the pool "p", with a list of servers that is current.
struct OriginHistoryFixture
{
    OriginHistoryFixture()
    {
        clock.advance(1s); // time 0 means never
        setPool("p");
    }

    static Service makeService(const std::string &name, const std::string &pool)
    {
        Service service;
        service.name = name;
        service.isStreaming = true;
        service.deadline = deadline;
        service.pools = {{pool, 1}};
        return service;
    }
    void setPool(const std::string &pool)
    {
        history.setServices({{"s", makeService("s", pool)}}, clock.now());
    }
    void list(const std::set<StreamOrigin> &origins) { history.setListed(origins, clock.now()); }
    void confirm() { history.onConfirmed(clock.now(), maxAge, clock.now()); }
    // Lets time pass while the list stays current.
    void follow(Duration time)
    {
        confirm();
        for (Duration passed{}; passed < time; passed += 1s) {
            clock.advance(1s);
            confirm();
        }
    }
    PossibleOrigins possible() { return history.possibleOrigins("s", clock.now()); }

    ManualClock clock;
    OriginHistory history;
};

} // namespace

TEST_CASE_METHOD(OriginHistoryFixture, "possibleOrigins_oneVersionForAStreamsLifetime_isSole")
{
    list({oldVersion, otherPool});
    follow(lifetime);
    CHECK(possible() == PossibleOrigins{{oldVersion}, true});
    CHECK(isSole(possible()));
}

// Guards against a guess by an instance that has just started: servers of another version may have
// left before.
TEST_CASE_METHOD(OriginHistoryFixture, "possibleOrigins_instanceJustStarted_isNotComplete")
{
    list({oldVersion});
    follow(lifetime - 1s);
    CHECK_FALSE(isSole(possible()));
}

// Guards against a guess while streams that began at a version that has left may still be resumed.
TEST_CASE_METHOD(OriginHistoryFixture, "possibleOrigins_versionHasLeft_remainsForAStreamsLifetime")
{
    list({oldVersion, newVersion});
    follow(lifetime);
    list({newVersion});
    follow(lifetime);
    CHECK(possible().origins == std::vector{oldVersion, newVersion});
    follow(1s);
    CHECK(possible().origins == std::vector{newVersion});
}

// Guards against a guess by an instance that is cut off and doesn't learn of a new version.
TEST_CASE_METHOD(OriginHistoryFixture, "possibleOrigins_listNotConfirmed_isNotComplete")
{
    list({oldVersion});
    follow(lifetime);
    clock.advance(maxAge + 1s);
    CHECK_FALSE(isSole(possible()));
}

// Guards against a guess after such a time: a version may have come and gone meanwhile.
TEST_CASE_METHOD(OriginHistoryFixture,
                 "possibleOrigins_gapInTheList_isNotCompleteForAStreamsLifetime")
{
    list({oldVersion});
    follow(lifetime);
    clock.advance(maxAge + 1s);
    follow(lifetime - 1s);
    CHECK_FALSE(isSole(possible()));
    follow(1s);
    CHECK(isSole(possible()));
}

// Guards against a guess while callers still wait for streams that began before the instance
// started, as they wait for longer than their service's deadline. After a restart, a deadline that
// was shortened before it can't be known either.
TEST_CASE_METHOD(OriginHistoryFixture,
                 "possibleOrigins_callersOutwaitTheDeadline_isNotCompleteForTheirTime")
{
    constexpr Duration limit = 3 * deadline;
    list({oldVersion});
    history.onCaller("s", limit, clock.now());
    follow(limit + OriginHistory::resumeReserve - 1s);
    history.onCaller("s", deadline, clock.now());
    CHECK(history.outlastsDeadline("s", clock.now()));
    CHECK_FALSE(isSole(possible()));
    follow(1s);
    CHECK(isSole(possible()));
}

// The same for a version that has left.
TEST_CASE_METHOD(OriginHistoryFixture,
                 "possibleOrigins_callersOutwaitTheDeadline_versionRemainsForTheirTime")
{
    constexpr Duration limit = 3 * deadline;
    list({oldVersion, newVersion});
    follow(lifetime);
    history.onCaller("s", limit, clock.now());
    list({newVersion});
    follow(limit + OriginHistory::resumeReserve);
    CHECK(possible().origins == std::vector{oldVersion, newVersion});
    follow(1s);
    CHECK(isSole(possible()));
}

// Guards against one caller with a long limit that makes each stream depend on records for good.
TEST_CASE_METHOD(OriginHistoryFixture, "possibleOrigins_longCallersHaveGone_isSoleAgain")
{
    list({oldVersion});
    history.onCaller("s", std::chrono::hours(24), clock.now());
    follow(OriginHistory::maxCallerLimit);
    CHECK_FALSE(isSole(possible()));
    follow(OriginHistory::resumeReserve + 1s);
    history.onCaller("s", deadline, clock.now());
    CHECK_FALSE(history.outlastsDeadline("s", clock.now()));
    CHECK(isSole(possible()));
}

// The same after a server of an unknown version may have come and gone.
TEST_CASE_METHOD(OriginHistoryFixture,
                 "possibleOrigins_serverCameAndWentUnseen_isNotCompleteForAStreamsLifetime")
{
    list({oldVersion});
    follow(lifetime);
    history.onGap(clock.now());
    follow(lifetime - 1s);
    CHECK_FALSE(isSole(possible()));
    follow(1s);
    CHECK(isSole(possible()));
}

// Guards against a stream that goes on at another pool because a configuration moved its service.
TEST_CASE_METHOD(OriginHistoryFixture,
                 "possibleOrigins_serviceMoved_keepsTheOldPoolForAStreamsLifetime")
{
    list({oldVersion, otherPool});
    follow(lifetime);
    setPool("q");
    CHECK(possible().origins == std::vector{oldVersion, otherPool});
    follow(lifetime + 1s);
    CHECK(possible().origins == std::vector{otherPool});
}

// Guards against a stream that goes on at another pool because a new route takes its path over.
TEST_CASE_METHOD(OriginHistoryFixture,
                 "possibleOrigins_routeSplit_keepsThePoolsOfOthersForAStreamsLifetime")
{
    list({oldVersion, otherPool});
    follow(lifetime);
    Service split = makeService("t", "q");
    split.deadline = deadline / 2;
    history.setServices({{"s", makeService("s", "p")}, {"t", split}}, clock.now());
    const auto ofSplit = [this] { return history.possibleOrigins("t", clock.now()); };
    CHECK(ofSplit().origins == std::vector{oldVersion, otherPool});
    follow(lifetime);
    CHECK(ofSplit().origins == std::vector{oldVersion, otherPool});
    follow(1s);
    CHECK(ofSplit() == PossibleOrigins{{otherPool}, true});
}

// A route that takes a path over at the same pool leaves its streams their origin.
TEST_CASE_METHOD(OriginHistoryFixture, "possibleOrigins_routeSplitAtTheSamePool_isSole")
{
    list({oldVersion, otherPool});
    Service booking = makeService("b", "q");
    booking.isStreaming = false;
    history.setServices({{"s", makeService("s", "p")}, {"b", booking}}, clock.now());
    follow(lifetime);
    history.setServices({{"s", makeService("s", "p")}, {"t", makeService("t", "p")}}, clock.now());
    CHECK(history.possibleOrigins("t", clock.now()) == PossibleOrigins{{oldVersion}, true});
}

TEST_CASE("soleOrigin_knowledgeOfSeveralInstances_isTheOnlyOneThatAllKnow")
{
    const auto sole = [](const std::vector<PossibleOrigins> &known) { return soleOrigin(known); };
    CHECK(sole({{{oldVersion}, true}}) == oldVersion);
    CHECK(sole({{{oldVersion}, true}, {{oldVersion}, false}}) == oldVersion);
    CHECK(sole({{{}, false}, {{oldVersion}, true}}) == oldVersion);
    CHECK_FALSE(sole({{{oldVersion}, true}, {{newVersion}, false}}));
    CHECK_FALSE(sole({{{oldVersion}, true}, {{oldVersion, newVersion}, false}}));
    CHECK_FALSE(sole({{{oldVersion}, false}, {{oldVersion}, false}}));
    CHECK_FALSE(sole({{{}, true}}));
    CHECK_FALSE(sole({}));
}

// Guards against a guess in any order of changes of the list, gaps and waits: whenever an instance
// says that one origin is the only possible one, no other was listed within a stream's lifetime.
TEST_CASE("possibleOrigins_anyOrderOfChanges_neverExcludesAListedVersion")
{
    rc::prop("sole only if no other version was listed lately", [] {
        OriginHistoryFixture fixture;
        std::map<StreamOrigin, TimePoint> lastListed;
        std::set<StreamOrigin> listed{oldVersion};
        fixture.list(listed);
        const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 6));
        for (const int step : steps) {
            if (step < 2) {
                const StreamOrigin &changed = step == 0 ? oldVersion : newVersion;
                if (listed.erase(changed) == 0)
                    listed.insert(changed);
                fixture.list(listed);
            } else if (step == 2) {
                fixture.clock.advance(maxAge + 1s);
            } else {
                fixture.follow(std::chrono::seconds(2 * step));
            }
            for (const StreamOrigin &origin : listed)
                lastListed[origin] = fixture.clock.now();
            const PossibleOrigins possible = fixture.possible();
            if (!isSole(possible))
                continue;
            for (const auto &[origin, at] : lastListed) {
                const bool isRecent = fixture.clock.now() - at <= lifetime;
                RC_ASSERT(!isRecent || possible.origins.front() == origin);
            }
        }
    });
}
