#include "ibisnotch/stream-statistics.h"

#include <deque>

#include <catch2/catch.hpp>

#include "ibisnotch/admission.h"
#include "ibisnotch/random.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct PaceFixture
{
    ServerCounters counters;
    StreamStatistics habits;
    Service answers; // long answers to short prompts
    Service digests; // long prompts, less urgent
    TimePoint now{1h};

    PaceFixture()
    {
        answers.name = "answers";
        answers.priority = 1;
        answers.deadline = 10s;
        answers.targetLatency = 2s;
        answers.expectedDuration = 1s;
        digests = answers;
        digests.name = "digests";
        digests.priority = 2;
    }

    void ended(const Service &service, int events, int times = 50)
    {
        for (int i = 0; i < times; ++i)
            habits.onStreamEnded(service, service.priority, "pool", events, now);
    }
};

// One engine that makes an event of each stream every 50 ms, and every 300 ms while it reads. Short
// prompts with answers of 40 events come ten times a second; long prompts that take 100 ms to read
// come 15 times a second, half as many again as it can read. News of its pace is 200 ms old.
struct ReadingFixture : PaceFixture
{
    Admission admission;
    Customer customer{"c", {}, {}, {}, 1, {}, {}, false};
    Random random{1};

    struct Stream
    {
        double left = 40;
        double until = 0;
    };

    struct Outcome
    {
        double answersEnded = 0; // parts of all that came
        double answersDied = 0; // at their deadline
        double digestsTaken = 0;
    };

    bool takes(const Service &service, double seconds, double bearable)
    {
        AdmissionInput input;
        input.customer = &customer;
        input.service = &service;
        input.slots = 128;
        input.remaining = 10s;
        input.eventIntervalSeconds = seconds;
        input.maxEventIntervalSeconds = bearable;
        input.priority = service.priority;
        input.lessUrgentServices = habits.lessUrgentServices("pool", service.priority, now);
        input.rejectionDraw = random.uniform();
        return admission.decide(input, random).code == ResultCode::served;
    }

    Outcome play(bool judgesPace)
    {
        constexpr double step = 0.01;
        constexpr double calm = 0.05;
        constexpr double reading = 0.3;
        constexpr std::size_t newsAge = 20; // steps
        ended(answers, 40);
        ended(digests, 40);
        const double bearable = judgesPace ? habits.maxEventIntervalSeconds("pool", now) : 0;
        std::deque<double> news{calm};
        std::deque<Stream> streams;
        double toRead = 0;
        double pace = calm;
        int came = 0;
        int ended = 0;
        int died = 0;
        int digestsCame = 0;
        int digestsTaken = 0;
        for (int i = 0; i < 4000; ++i) {
            const double at = i * step;
            const bool open = at < 30; // the last ones get the time to end
            if (open && i % 10 == 0) {
                ++came;
                if (takes(answers, news.front(), bearable))
                    streams.push_back({40, at + 10});
            }
            if (open && (i % 20 == 0 || i % 20 == 7 || i % 20 == 14)) {
                ++digestsCame;
                const bool taken = takes(digests, news.front(), bearable);
                digestsTaken += taken ? 1 : 0;
                toRead += taken ? 0.1 : 0;
            }
            const double each = toRead > 0 ? reading : calm;
            toRead = std::max(0.0, toRead - step);
            pace = 0.95 * pace + 0.05 * each;
            news.push_back(pace);
            if (news.size() > newsAge)
                news.pop_front();
            for (Stream &stream : streams)
                stream.left -= step / each;
            std::erase_if(streams, [&](const Stream &stream) {
                ended += stream.left <= 0 ? 1 : 0;
                died += stream.left > 0 && stream.until <= at ? 1 : 0;
                return stream.left <= 0 || stream.until <= at;
            });
        }
        const double all = came;
        return {ended / all, died / all, static_cast<double>(digestsTaken) / digestsCame};
    }
};

} // namespace

TEST_CASE_METHOD(PaceFixture, "eventIntervalSeconds_eventsOfStreams_followsTheirInterval")
{
    CHECK(eventIntervalSeconds(counters, now) == 0);
    recordEvents(counters, 2, 100ms, now);
    CHECK(eventIntervalSeconds(counters, now) == Approx(0.05));
    for (int i = 0; i < 50; ++i)
        recordEvents(counters, 1, 200ms, now);
    CHECK(eventIntervalSeconds(counters, now) == Approx(0.2).margin(0.01));
}

// Why: an engine that nobody asked for a while may have read all that made it slow.
TEST_CASE_METHOD(PaceFixture, "eventIntervalSeconds_noEventsForASecond_isUnknown")
{
    recordEvents(counters, 1, 200ms, now);
    CHECK(eventIntervalSeconds(counters, now + 2s) == 0);
}

TEST_CASE_METHOD(PaceFixture, "streamHabits_longAnswers_bearNoMoreThanTheirDeadlineGives")
{
    CHECK(habits.maxEventIntervalSeconds("pool", now) == 0);
    ended(answers, 40);
    CHECK(habits.maxEventIntervalSeconds("pool", now) == Approx(0.1)); // 8 s for 80 events
    CHECK(habits.maxEventIntervalSeconds("other", now) == 0);
    CHECK(habits.maxEventIntervalSeconds("pool", now + 1min) == 0);
}

// What callers see: prompts refused by idle engines. In what order: an operator shortens a
// service's deadline to just above its target; the streams of its pool seem to bear no pace at all.
// Why: half of the deadline is left to a stream whatever the target says.
TEST_CASE_METHOD(PaceFixture, "streamHabits_targetNearTheDeadline_leavesHalfOfIt")
{
    answers.deadline = 2600ms;
    answers.targetLatency = 2500ms;
    ended(answers, 2);
    CHECK(habits.maxEventIntervalSeconds("pool", now) == Approx(0.325)); // 1.3 s for 4 events
}

TEST_CASE_METHOD(PaceFixture, "streamHabits_pausesMakeLate_bearHalfOfTheLongest")
{
    answers.maxEventGap = 100ms;
    ended(answers, 2);
    CHECK(habits.maxEventIntervalSeconds("pool", now) == Approx(0.05));
}

TEST_CASE_METHOD(PaceFixture, "streamHabits_lessUrgent_countsServicesOfThePoolInUse")
{
    ended(answers, 40);
    ended(digests, 40);
    CHECK(habits.lessUrgentServices("pool", answers.priority, now) == 1);
    CHECK(habits.lessUrgentServices("pool", digests.priority, now) == 0);
    CHECK(habits.lessUrgentServices("pool", answers.priority, now + 1min) == 0);
}

// What callers see: answers that break off at their deadline, most of them near their end, though
// slots are free and first tokens come in time. In what order: long prompts come faster than the
// engine reads them; each is taken; the streams beside them go at a sixth of their pace. Why: what
// cannot be read without stopping the others is turned away at once, the less urgent first.
TEST_CASE_METHOD(ReadingFixture, "admission_promptsBeyondThePace_answersStillEnd")
{
    const Outcome without = play(false);
    const Outcome with = play(true);
    CHECK(without.answersDied > 0.5);
    CHECK(with.answersEnded > 0.5);
    CHECK(with.answersDied < 0.1);
    CHECK(with.digestsTaken > 0.3);
}
