#include "ibisnotch/stream-statistics.h"

#include <deque>

#include <catch2/catch.hpp>

#include "ibisnotch/admission.h"
#include "ibisnotch/random.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct StatisticsFixture
{
    ServerCounters counters;
    StreamStatistics statistics;
    Service answers; // short prompts with long answers
    Service digests; // long prompts, less urgent
    TimePoint now{1h};

    StatisticsFixture()
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

    void endStreams(const Service &service, int events, int times = 50)
    {
        for (int i = 0; i < times; ++i)
            statistics.onStreamEnded(service, service.priority, "pool", events, now);
    }
};

// Simulates an engine that generates an event of each stream every 50 ms, and every 300 ms while it
// reads prompts. Short prompts with answers of 40 events arrive ten times per second. Long prompts
// that take 100 ms to read arrive 15 times per second, 1.5 times as many as it can read. Its event
// interval is known 200 ms late.
struct ReadingFixture : StatisticsFixture
{
    Admission admission;
    Customer customer{"c", {}, {}, {}, 1, {}, {}, false};
    Random random{1};

    struct Stream
    {
        double eventsLeft = 40;
        double deadline = 0;
    };

    struct Outcome
    {
        // Fractions of all requests of the service.
        double answersEnded = 0;
        double answersExpired = 0; // at their deadline
        double digestsAccepted = 0;
    };

    bool accepts(const Service &service, double seconds, double maxInterval)
    {
        AdmissionInput input;
        input.customer = &customer;
        input.service = &service;
        input.slots = 128;
        input.remaining = 10s;
        input.eventIntervalSeconds = seconds;
        input.maxEventIntervalSeconds = maxInterval;
        input.priority = service.priority;
        input.lessUrgentServices = statistics.lessUrgentServices("pool", service.priority, now);
        input.rejectionDraw = random.uniform();
        return admission.decide(input, random).code == ResultCode::served;
    }

    Outcome simulate(bool limitsInterval)
    {
        constexpr double step = 0.01;
        constexpr double idleInterval = 0.05;
        constexpr double readingInterval = 0.3;
        constexpr std::size_t reportAge = 20; // steps
        endStreams(answers, 40);
        endStreams(digests, 40);
        const double maxInterval
            = limitsInterval ? statistics.maxEventIntervalSeconds("pool", now) : 0;
        std::deque<double> reports{idleInterval};
        std::deque<Stream> streams;
        double toRead = 0;
        double interval = idleInterval;
        int answersArrived = 0;
        int ended = 0;
        int expired = 0;
        int digestsArrived = 0;
        int digestsAccepted = 0;
        for (int i = 0; i < 4000; ++i) {
            const double at = i * step;
            const bool isArriving = at < 30; // the last streams have time to end
            if (isArriving && i % 10 == 0) {
                ++answersArrived;
                if (accepts(answers, reports.front(), maxInterval))
                    streams.push_back({40, at + 10});
            }
            if (isArriving && (i % 20 == 0 || i % 20 == 7 || i % 20 == 14)) {
                ++digestsArrived;
                const bool accepted = accepts(digests, reports.front(), maxInterval);
                digestsAccepted += accepted ? 1 : 0;
                toRead += accepted ? 0.1 : 0;
            }
            const double current = toRead > 0 ? readingInterval : idleInterval;
            toRead = std::max(0.0, toRead - step);
            interval = 0.95 * interval + 0.05 * current;
            reports.push_back(interval);
            if (reports.size() > reportAge)
                reports.pop_front();
            for (Stream &stream : streams)
                stream.eventsLeft -= step / current;
            std::erase_if(streams, [&](const Stream &stream) {
                ended += stream.eventsLeft <= 0 ? 1 : 0;
                expired += stream.eventsLeft > 0 && stream.deadline <= at ? 1 : 0;
                return stream.eventsLeft <= 0 || stream.deadline <= at;
            });
        }
        const double all = answersArrived;
        return {ended / all, expired / all, static_cast<double>(digestsAccepted) / digestsArrived};
    }
};

} // namespace

TEST_CASE_METHOD(StatisticsFixture, "eventIntervalSeconds_eventsOfStreams_followsTheirInterval")
{
    CHECK(eventIntervalSeconds(counters, now) == 0);
    recordEvents(counters, 2, 100ms, now);
    CHECK(eventIntervalSeconds(counters, now) == Approx(0.05));
    for (int i = 0; i < 50; ++i)
        recordEvents(counters, 1, 200ms, now);
    CHECK(eventIntervalSeconds(counters, now) == Approx(0.2).margin(0.01));
}

// Guards against an outdated interval: an engine without events for a while may have read all
// prompts that made it slow.
TEST_CASE_METHOD(StatisticsFixture, "eventIntervalSeconds_noEventsForASecond_isUnknown")
{
    recordEvents(counters, 1, 200ms, now);
    CHECK(eventIntervalSeconds(counters, now + 2s) == 0);
}

TEST_CASE_METHOD(StatisticsFixture, "streamStatistics_longAnswers_limitTheIntervalByTheirDeadline")
{
    CHECK(statistics.maxEventIntervalSeconds("pool", now) == 0);
    endStreams(answers, 40);
    CHECK(statistics.maxEventIntervalSeconds("pool", now) == Approx(0.1)); // 8 s for 80 events
    CHECK(statistics.maxEventIntervalSeconds("other", now) == 0);
    CHECK(statistics.maxEventIntervalSeconds("pool", now + 1min) == 0);
}

// Guards against rejecting all prompts of a pool if an operator sets a service's deadline to just
// above its target, which would leave no time for the stream.
TEST_CASE_METHOD(StatisticsFixture,
                 "streamStatistics_targetNearTheDeadline_leavesHalfOfTheDeadline")
{
    answers.deadline = 2600ms;
    answers.targetLatency = 2500ms;
    endStreams(answers, 2);
    CHECK(statistics.maxEventIntervalSeconds("pool", now) == Approx(0.325)); // 1.3 s for 4 events
}

TEST_CASE_METHOD(StatisticsFixture, "streamStatistics_maxEventGap_limitsTheIntervalToHalfOfIt")
{
    answers.maxEventGap = 100ms;
    endStreams(answers, 2);
    CHECK(statistics.maxEventIntervalSeconds("pool", now) == Approx(0.05));
}

TEST_CASE_METHOD(StatisticsFixture,
                 "streamStatistics_lessUrgentServices_countsRecentServicesOfThePool")
{
    endStreams(answers, 40);
    endStreams(digests, 40);
    CHECK(statistics.lessUrgentServices("pool", answers.priority, now) == 1);
    CHECK(statistics.lessUrgentServices("pool", digests.priority, now) == 0);
    CHECK(statistics.lessUrgentServices("pool", answers.priority, now + 1min) == 0);
}

// Guards against answers that exceed their deadlines, most of them near their end, although slots
// are free and first tokens are in time: if all of too many long prompts are accepted, reading them
// slows the streams to a sixth. Some must be rejected, those of the less urgent service first.
TEST_CASE_METHOD(ReadingFixture, "admission_promptsBeyondTheReadingRate_answersStillEnd")
{
    const Outcome without = simulate(false);
    const Outcome with = simulate(true);
    CHECK(without.answersExpired > 0.5);
    CHECK(with.answersEnded > 0.5);
    CHECK(with.answersExpired < 0.1);
    CHECK(with.digestsAccepted > 0.3);
}
