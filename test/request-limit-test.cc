#include "ibisnotch/request-limit.h"

#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "ibisnotch/silence.h"
#include "ibisnotch/warmup.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};

// Returns the instances that one instance knows: all, except that one that has been there for long
// may not have heard of each of the newcomers, which are the last in the list.
std::vector<std::string> knownSenders(const std::vector<std::string> &all, std::size_t self,
                                      std::size_t newcomers)
{
    const std::size_t old = all.size() - newcomers;
    std::vector<std::string> known;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (i < old || self >= old || *rc::gen::arbitrary<bool>())
            known.push_back(all[i]);
    }
    return known;
}

} // namespace

// Guards against a server in need that gets more requests than it accepts because the instances
// don't agree on who sends, and learn of the limit one after the other.
TEST_CASE("limitInterval_sendersThatAlwaysSend_stayWithinTheLimitTogether")
{
    rc::prop("requests in any four seconds", [] {
        std::vector<std::string> senders;
        for (int i = *rc::gen::inRange(1, 25); i > 0; --i)
            senders.push_back("entry-" + std::to_string(i));
        const double limit = *rc::gen::inRange(1, 160) / 20.0;
        const double permitted = 1.5 * 4 * limit + 5;
        const std::size_t newcomers = senders.size() / 5;
        std::vector<ServerView> views(senders.size());
        std::vector<std::optional<Duration>> intervals;
        std::vector<TimePoint> toldAt;
        for (std::size_t i = 0; i < senders.size(); ++i) {
            views[i].counters = std::make_shared<ServerCounters>();
            intervals.push_back(
                limitInterval(limit, knownSenders(senders, i, newcomers), senders[i], "server"));
            toldAt.push_back(start + std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
        }
        std::deque<TimePoint> sent;
        for (TimePoint now = start; now < start + 20s; now += 20ms) {
            while (!sent.empty() && now - sent.front() > 4s)
                sent.pop_front();
            for (std::size_t i = 0; i < senders.size(); ++i) {
                if (now < toldAt[i]) {
                    recordSent(*views[i].counters, now);
                    continue;
                }
                if (intervals[i] && tryAcquireRateLimited(views[i], *intervals[i], now)
                    && now >= toldAt[i] + 500ms)
                    sent.push_back(now);
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= permitted);
        }
    });
}

// Guards against a server that gets nothing at all, so that nobody hears that its need has ended.
TEST_CASE("limitInterval_lowestLimits_leaveOneSenderARequestNowAndThen")
{
    for (const double limit : {1e-300, 0.001, 0.1, 0.25, 0.3, 1.0, 1.9, 1e300}) {
        INFO(limit);
        int withShare = 0;
        for (const char *self : {"a", "b", "c"}) {
            const auto interval = limitInterval(limit, {"a", "b", "c"}, self, "server");
            withShare += interval ? 1 : 0;
            if (interval)
                CHECK(*interval <= 30s);
        }
        CHECK(withShare > 0);
    }
    CHECK(limitInterval(1, {"a", "b"}, "a", "server") == 2125ms);
    CHECK(limitInterval(0.1, {"a"}, "a", "server") == 10s);
}

TEST_CASE("requestLimit_namedAgainAndAgain_isToldOnceAndThenFromTimeToTime")
{
    RequestLimit limit;
    CHECK(limit.perSecond(start) == 0);
    CHECK(limit.onResponse(1.2, start, start) == LimitNews::changed);
    CHECK(limit.onResponse(1.2, start, start + 1s) == LimitNews::none);
    CHECK(limit.onResponse(1.25, start, start + 1s) == LimitNews::none);
    CHECK(limit.perSecond(start + 1s) == 1.25);
    CHECK(limit.onResponse(2, start, start + 1s) == LimitNews::changed);
    CHECK(limit.onResponse(2, start, start + 4s) == LimitNews::confirmed);
}

// Guards against a limit that is dropped for a response that was made before it was named, and
// overtaken on the way.
TEST_CASE("requestLimit_responseWithoutIt_endsItIfTheRequestWasSentLater")
{
    RequestLimit limit;
    CHECK(limit.onResponse(0, start, start) == LimitNews::none);
    limit.onResponse(1, start, start);
    CHECK(limit.onResponse(0, start + 500ms, start + 3s) == LimitNews::none);
    CHECK(limit.perSecond(start + 3s) == 1);
    CHECK(limit.onResponse(0, start + 2s, start + 3s) == LimitNews::changed);
    CHECK(limit.perSecond(start + 3s) == 0);
    CHECK(limit.onResponse(1, start + 3s, start + 4s) == LimitNews::changed);
}

TEST_CASE("requestLimit_updateOfAnotherInstance_counts")
{
    RequestLimit limit;
    CHECK(limit.onUpdate(1, start));
    CHECK_FALSE(limit.onUpdate(1, start + 1s));
    CHECK(limit.perSecond(start + 2s) == 1);
    // The other instances know it already.
    CHECK(limit.onResponse(1, start, start + 2s) == LimitNews::none);
    CHECK_FALSE(limit.onUpdate(0, start + 2500ms));
    CHECK(limit.perSecond(start + 2500ms) == 1);
    CHECK(limit.onUpdate(0, start + 4s));
    CHECK(limit.perSecond(start + 4s) == 0);
}

// Guards against a limit that holds for good because nobody sends to its server any more.
TEST_CASE("requestLimit_notHeardOf_endsAfterAWhile")
{
    RequestLimit limit;
    limit.onResponse(1, start, start);
    CHECK(limit.perSecond(start + 12s) == 1);
    CHECK(limit.perSecond(start + 13s) == 0);
    CHECK(limit.onResponse(1, start + 13s, start + 13s) == LimitNews::changed);
    // A server with a low limit is asked rarely.
    limit.onResponse(0.1, start + 14s, start + 14s);
    CHECK(limit.perSecond(start + 43s) == 0.1);
    CHECK(limit.perSecond(start + 45s) == 0);
}
