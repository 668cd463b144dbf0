#include "entry/refresh-batcher.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// Runs tasks when their time has come.
class TimedRunner final : public TaskRunner
{
public:
    explicit TimedRunner(ManualClock &clock) : m_clock(clock) { }

    void post(std::function<void()> task) override { postAfter(Duration(0), std::move(task)); }
    void postAfter(Duration delay, std::function<void()> task) override
    {
        m_tasks.emplace(m_clock.now() + delay, std::move(task));
    }

    void pass(Duration time)
    {
        const TimePoint end = m_clock.now() + time;
        while (!m_tasks.empty() && m_tasks.begin()->first <= end) {
            const auto next = m_tasks.begin();
            m_clock.advance(std::max(next->first - m_clock.now(), Duration(0)));
            const auto task = std::move(next->second);
            m_tasks.erase(next);
            task();
        }
        m_clock.advance(end - m_clock.now());
    }

private:
    ManualClock &m_clock;
    std::multimap<TimePoint, std::function<void()>> m_tasks;
};

struct RefreshBatcherFixture
{
    RefreshBatcherFixture() { clock.advance(1s); }

    void request()
    {
        batcher.request([this](bool isCurrent) { ++(isCurrent ? current : failed); });
    }

    // Says nothing more if the read has ended.
    void endLastRead()
    {
        const RefreshBatcher::Done done = reads.back();
        done(true);
    }

    ManualClock clock;
    TimedRunner tasks{clock};
    std::vector<RefreshBatcher::Done> reads; // of the reads that began
    RefreshBatcher batcher{tasks, clock,
                           [this](RefreshBatcher::Done done) { reads.push_back(std::move(done)); }};
    int current = 0;
    int failed = 0;
};

} // namespace

TEST_CASE_METHOD(RefreshBatcherFixture, "refreshBatcher_firstRequest_readsAtOnce")
{
    request();
    REQUIRE(reads.size() == 1);
    reads[0](true);
    CHECK(current == 1);
}

// Guards against an answer that the store gave before it was asked: it may lack what came since.
TEST_CASE_METHOD(RefreshBatcherFixture, "refreshBatcher_requestsDuringARead_shareTheNextOne")
{
    request();
    request();
    request();
    reads[0](true);
    CHECK(current == 1);
    tasks.pass(RefreshBatcher::minInterval);
    REQUIRE(reads.size() == 2);
    reads[1](true);
    CHECK(current == 3);
}

// Guards against a call to the store for each of a crowd of callers.
TEST_CASE_METHOD(RefreshBatcherFixture, "refreshBatcher_manyRequests_readsAFewTimesASecond")
{
    for (int i = 0; i < 1000; ++i) {
        request();
        tasks.pass(1ms);
        endLastRead();
    }
    constexpr std::size_t mostReads = 1 + 1s / RefreshBatcher::minInterval; // the first one at 0 s
    CHECK(reads.size() <= mostReads);
    tasks.pass(RefreshBatcher::minInterval);
    endLastRead();
    CHECK(current == 1000);
}

// Guards against callers that wait for a store that doesn't answer.
TEST_CASE_METHOD(RefreshBatcherFixture, "refreshBatcher_noAnswer_failsAndReadsAgain")
{
    request();
    tasks.pass(RefreshBatcher::readTimeout - 1ms);
    request();
    CHECK(failed == 0);
    tasks.pass(1ms);
    CHECK(failed == 1);
    REQUIRE(reads.size() == 2);
    reads[0](true); // late
    CHECK(current == 0);
    reads[1](true);
    CHECK(current == 1);
}

// Guards against memory that grows with the requests while the store doesn't answer.
TEST_CASE_METHOD(RefreshBatcherFixture, "refreshBatcher_tooManyWait_failAtOnce")
{
    for (std::size_t i = 0; i < RefreshBatcher::maxWaiting + 2; ++i)
        request();
    CHECK(failed == 1); // the first one is being read for
}
