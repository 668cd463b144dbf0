#include "ibisnotch/warmup.h"

#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "ibisnotch/silence.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> names(int count)
{
    std::vector<std::string> result;
    for (int i = 0; i < count; ++i)
        result.push_back("entry-" + std::to_string(i));
    return result;
}

} // namespace

// What callers see: a server that crashes again just as it returns. In what order: it is listed
// cold, every instance takes it for the least loaded, each sends what would be its part of a warm
// one. Why: what a cold server bears is a count for all instances together.
TEST_CASE("warmupPause_sendersThatAlwaysSend_stayWithinTheBoundTogether")
{
    rc::prop("in any second", [] {
        const int count = *rc::gen::inRange(1, 40);
        const double rate = *rc::gen::inRange(1, 80) / 10.0;
        const WarmupBound bound{1.5, static_cast<double>(*rc::gen::inRange(0, 5))};
        const auto senders = names(count);
        std::deque<TimePoint> sent;
        std::vector<ServerCounters> counters(senders.size());
        for (TimePoint now{1s}; now < TimePoint{6s}; now += 10ms) {
            while (!sent.empty() && now - sent.front() > 1s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                const auto pause = warmupPause(rate, bound, senders, senders[i], "server");
                if (pause && takeWarmup(counters[i], *pause, TimePoint{}, now))
                    sent.push_back(now);
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= rate * bound.factor + bound.slack);
        }
        if (rate * bound.factor + bound.slack >= 1)
            RC_ASSERT(!sent.empty());
    });
}

TEST_CASE("warmupPause_serverThatBearsNothing_getsNothing")
{
    CHECK_FALSE(warmupPause(0.2, {1, 0}, {"a"}, "a", "server"));
    CHECK(warmupPause(2, {1, 0}, {"a"}, "a", "server") == 530ms);
}

// Guards against a server that turned cold and gets its bound on top of what was sent before the
// news.
TEST_CASE("takeWarmup_newsOfAColdServerComesLate_countsWhatWasSentBefore")
{
    rc::prop("in any second since it turned cold", [] {
        const WarmupBound bound{1.5, 3};
        const double rate = 2.4;
        const auto senders = names(3);
        const TimePoint cold{2s};
        const TimePoint known = cold + std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        std::vector<ServerCounters> counters(senders.size());
        std::deque<TimePoint> sent;
        // Up to two requests of each sender reach it before the news.
        std::vector<int> unaware(senders.size(), 0);
        for (TimePoint now{1s}; now < TimePoint{6s}; now += 10ms) {
            while (!sent.empty() && now - sent.front() > 1s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                const auto pause = warmupPause(rate, bound, senders, senders[i], "server");
                const bool sends = now < known
                    ? now >= cold && unaware[i] < 2 && *rc::gen::inRange(0, 4) == 0
                    : pause && takeWarmup(counters[i], *pause, known, now);
                if (!sends)
                    continue;
                unaware[i] += now < known ? 1 : 0;
                noteSent(counters[i], now);
                sent.push_back(now);
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= rate * bound.factor + bound.slack);
        }
    });
}

// Guards against a burst of a large region that reaches a server between its turning cold and the
// next look at it.
TEST_CASE("pauseWhileUnsure_burstOfAllSenders_staysWithinTheBoundBetweenTwoLooks")
{
    rc::prop("whatever each sender's phase", [] {
        const WarmupBound bound{1.5, 3};
        const double rate = 2.4;
        const auto senders = names(*rc::gen::inRange(1, 100));
        const TimePoint lastLook{1s};
        const TimePoint nextLook = lastLook + 135ms;
        int sent = 0;
        for (const std::string &sender : senders) {
            const auto pause = pauseWhileUnsure(rate, bound, senders, sender, "server");
            const Duration phase = std::chrono::microseconds(*rc::gen::inRange(0, 100'000));
            for (TimePoint at = lastLook + phase; pause && at < nextLook; at += *pause)
                ++sent;
        }
        RC_ASSERT(sent > 0);
        RC_ASSERT(sent <= rate * bound.factor + bound.slack);
    });
}

// Guards against a burst at one instance that finds all its servers just used and goes on sending.
TEST_CASE("spreadWhileUnsure_allOwnServersJustUsed_waitsForTheFirstToRest")
{
    const TimePoint now{1h};
    const std::vector<UnsureServer> servers{
        {now - 10ms, 140ms}, {now - 100ms, 140ms}, {now - 10s, std::nullopt}};
    CHECK(spreadWhileUnsure(servers, now) == UnsureAnswer{{}, 40ms});
    CHECK(spreadWhileUnsure(servers, now + 40ms) == UnsureAnswer{{1}, {}});
}

TEST_CASE("spreadWhileUnsure_noServerFallsToTheInstance_theLongestRestedIsUsed")
{
    const TimePoint now{1h};
    const std::vector<UnsureServer> servers{{now - 1s, std::nullopt}, {now - 2s, std::nullopt}};
    CHECK(spreadWhileUnsure(servers, now) == UnsureAnswer{{1}, {}});
}

TEST_CASE("spreadWhileUnsure_serversThatAreNeverCold_mayGetAll")
{
    const TimePoint now{1h};
    const std::vector<UnsureServer> servers{{now, Duration(0)}, {now - 1ms, 140ms}};
    CHECK(spreadWhileUnsure(servers, now) == UnsureAnswer{{0}, {}});
    CHECK(spreadWhileUnsure({}, now) == UnsureAnswer{});
}

TEST_CASE("isOld_listNobodyConfirmsForLongerThanAWatch_isOld")
{
    CHECK_FALSE(isOld({7, TimePoint{}}, TimePoint{1h}));
    CHECK_FALSE(isOld({7, TimePoint{1h}}, TimePoint{1h} + 4s));
    CHECK(isOld({7, TimePoint{1h}}, TimePoint{1h} + 6s));
}
