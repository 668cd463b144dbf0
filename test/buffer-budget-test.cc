// Decisions about bytes held for readers, with the clock and the readers of a simulated instance.
#include "ibisnotch/buffer-budget.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t mib = 1024 * kib;
constexpr Duration step = 100ms;

// One caller, and the server that answers it.
struct SimulatedReader
{
    std::uint64_t id = 0;
    double readsPerSecond = 0; // bytes
    double sentPerSecond = 0; // by the server, while it is read
    double held = 0;
    double taken = 0;
    bool ended = false;
    Duration longestUnread{}; // the longest time for which the server was not read
    Duration unread{};
    ReadPacer pacer;
};

struct ReadersFixture
{
    // Lets all readers and servers go on for one step, and the budget decide.
    void advance()
    {
        now += step;
        for (SimulatedReader &one : readers)
            advance(one);
        std::vector<ReaderSample> samples;
        for (const SimulatedReader &one : readers) {
            if (!one.ended)
                samples.push_back({one.id, static_cast<std::size_t>(one.held),
                                   static_cast<std::uint64_t>(one.taken)});
        }
        for (const std::uint64_t id : budget.update(samples, total(), now)) {
            SimulatedReader &one = readers.at(id);
            one.ended = true;
            one.held = 0;
        }
        most = std::max(most, total());
    }

    void advance(SimulatedReader &one)
    {
        constexpr double seconds = 0.1;
        const double read = std::min(one.held, one.readsPerSecond * seconds);
        one.held -= read;
        one.taken += read;
        if (one.ended)
            return;
        // The server's bytes arrive in pieces, each of which is asked about.
        bool isRead = false;
        for (double sent = 0; sent < one.sentPerSecond * seconds; sent += 4 * kib) {
            if (one.pacer.shouldPause(limits, static_cast<std::size_t>(one.held), total(), now))
                break;
            one.held += std::min<double>(4 * kib, one.sentPerSecond * seconds - sent);
            isRead = true;
        }
        one.unread = isRead ? Duration(0) : one.unread + step;
        one.longestUnread = std::max(one.longestUnread, one.unread);
    }

    std::size_t total() const
    {
        double sum = 0;
        for (const SimulatedReader &one : readers)
            sum += one.held;
        return static_cast<std::size_t>(sum);
    }

    void add(int count, double readsPerSecond, double sentPerSecond)
    {
        for (int i = 0; i < count; ++i) {
            SimulatedReader one;
            one.id = readers.size();
            one.readsPerSecond = readsPerSecond;
            one.sentPerSecond = sentPerSecond;
            readers.push_back(one);
        }
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end;)
            advance();
    }

    BufferLimits limits;
    BufferBudget budget{limits};
    std::vector<SimulatedReader> readers;
    TimePoint now = TimePoint{} + 1h;
    std::size_t most = 0;
};

} // namespace

TEST_CASE_METHOD(ReadersFixture, "budget_hundredSlowReadersBesideNormalOnes_endsOnlySlowOnes")
{
    limits.totalBytes = 8 * mib;
    budget = BufferBudget(limits);
    add(100, 1 * kib, 200 * kib);
    add(200, 100 * kib, 20 * kib);
    run(60s);
    CHECK(most < limits.totalBytes);
    for (const SimulatedReader &one : readers) {
        CAPTURE(one.id);
        if (one.readsPerSecond > 1 * kib) {
            CHECK_FALSE(one.ended);
            CHECK(one.longestUnread == Duration(0));
        }
    }
    CHECK(std::any_of(readers.begin(), readers.end(), [](const auto &one) { return one.ended; }));
    CHECK(total() < limits.totalBytes);
}

TEST_CASE_METHOD(ReadersFixture, "budget_slowReadersWithinTheBound_endsNone")
{
    add(30, 1 * kib, 200 * kib);
    run(30s);
    CHECK(std::none_of(readers.begin(), readers.end(), [](const auto &one) { return one.ended; }));
    // Each stays within its own bound and one piece.
    CHECK(most <= 30 * (limits.exchangeBytes + 4 * kib));
}

TEST_CASE_METHOD(ReadersFixture, "budget_exceededByReadersThatKeepUp_endsNone")
{
    limits.totalBytes = 1 * mib;
    budget = BufferBudget(limits);
    // Held for each of them: what arrives in a step. All read it in the next one.
    add(300, 40 * kib, 40 * kib);
    run(20s);
    CHECK(most > limits.totalBytes);
    CHECK(std::none_of(readers.begin(), readers.end(), [](const auto &one) { return one.ended; }));
    CHECK_FALSE(budget.accepts(most, 0));
}

TEST_CASE_METHOD(ReadersFixture,
                 "budget_answerThatHasJustBegun_isNotEndedBeforeItsReaderIsMeasured")
{
    limits.totalBytes = 2 * mib;
    budget = BufferBudget(limits);
    const std::vector<ReaderSample> samples{{1, 1 * mib, 0}, {2, 2 * mib, 0}};
    CHECK(budget.update(samples, 3 * mib, now).empty());
    CHECK(budget.update(samples, 3 * mib, now + 900ms).empty());
    CHECK(budget.update(samples, 3 * mib, now + 1s) == std::vector<std::uint64_t>{2});
}

TEST_CASE_METHOD(ReadersFixture, "budget_severalSlowReaders_endsTheLargestHoldersFirst")
{
    limits.totalBytes = 8 * mib;
    budget = BufferBudget(limits);
    const std::vector<ReaderSample> samples{{1, 1 * mib, 0}, {2, 4 * mib, 0}, {3, 3 * mib, 0}};
    budget.update(samples, 8 * mib, now);
    // Half of the bound is free then.
    CHECK(budget.update(samples, 8 * mib, now + 1s) == std::vector<std::uint64_t>{2});
}

// Replays a caller that reads less than its server sends: the bound is reached, and the server,
// which cuts off what stays unread for seconds, must still be read at short intervals.
TEST_CASE_METHOD(ReadersFixture, "pacer_callerReadsSlowerThanItsServerSends_readsTheServerOften")
{
    add(1, 50 * kib, 400 * kib);
    run(60s);
    CHECK(readers[0].longestUnread <= 1s);
    CHECK(readers[0].held <= static_cast<double>(limits.exchangeBytes + 4 * kib));
    CHECK_FALSE(readers[0].ended);
}

TEST_CASE_METHOD(ReadersFixture, "pacer_callerReadsNothing_staysPaused")
{
    add(1, 0, 400 * kib);
    run(30s);
    CHECK(readers[0].pacer.isPaused());
    CHECK(readers[0].held <= static_cast<double>(limits.exchangeBytes + 4 * kib));
}

TEST_CASE("pacer_briefPause_endsAtTheLowMark")
{
    const BufferLimits limits;
    ReadPacer pacer;
    const TimePoint now = TimePoint{} + 1h;
    CHECK_FALSE(pacer.shouldPause(limits, limits.exchangeBytes, 0, now));
    CHECK(pacer.shouldPause(limits, limits.exchangeBytes + 1, 0, now));
    CHECK(pacer.shouldPause(limits, limits.exchangeBytes / 2 + 1, 0, now + 100ms));
    CHECK_FALSE(pacer.shouldPause(limits, limits.exchangeBytes / 2, 0, now + 100ms));
}

TEST_CASE("pacer_sumIsNearItsBound_pausesAtTheSmallerMark")
{
    const BufferLimits limits;
    ReadPacer pacer;
    const TimePoint now = TimePoint{} + 1h;
    const std::size_t held = limits.exchangeBytesWhenShort + 1;
    CHECK_FALSE(pacer.shouldPause(limits, held, limits.totalBytes / 2, now));
    CHECK(pacer.shouldPause(limits, held, limits.totalBytes, now));
}
