#include "ibisnotch/event-stream.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;

namespace {

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: x" + std::to_string(number) + "\n\n";
}

} // namespace

TEST_CASE("eventStream_truncatedAnywhere_forwardsCompleteEventsOnly")
{
    rc::prop("complete events before the truncation", [] {
        std::string all;
        const int count = *rc::gen::inRange(1, 8);
        for (int i = 0; i < count; ++i)
            all += event(i);
        const auto truncatedAt = *rc::gen::inRange<std::size_t>(0, all.size() + 1);
        EventStreamParser stream("");
        std::string out;
        std::size_t begin = 0;
        while (begin < truncatedAt) {
            const auto size = std::min(truncatedAt - begin, *rc::gen::inRange<std::size_t>(1, 9));
            RC_ASSERT(stream.consume(all.substr(begin, size), out));
            begin += size;
        }
        RC_ASSERT(all.compare(0, out.size(), out) == 0);
        RC_ASSERT((out.empty() || out.ends_with("\n\n")));
        RC_ASSERT((stream.isComplete() == (out.size() == truncatedAt)));
        RC_ASSERT((out.empty() == stream.lastEventId().empty()));
    });
}

// Guards against a caller that receives an event twice or events of two responses: a stream is
// interrupted and resumed on another server, which starts with an earlier event.
TEST_CASE("eventStream_idThatDoesNotIncrease_isRejected")
{
    EventStreamParser stream("4");
    std::string out;
    CHECK(stream.consume(event(5), out));
    CHECK_FALSE(stream.consume(event(5), out));
    CHECK(out == event(5));
    EventStreamParser resumed("4");
    CHECK_FALSE(resumed.consume(event(4), out));
    EventStreamParser unnumbered("");
    CHECK_FALSE(unnumbered.consume("data: x\n\n", out));
}

// Guards against a response behind a stream without a length that is joined to it.
TEST_CASE("eventStream_responseFollows_isRejected")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    EventStreamParser stream("");
    std::string out;
    CHECK(stream.consume(event(1), out));
    CHECK_FALSE(stream.consume(head + event(2), out));
    CHECK(out == event(1));
}

// Guards against a report of a peer that reaches the caller, wherever the data is divided.
TEST_CASE("eventStream_reportsOfAPeer_areNotPassedOn")
{
    rc::prop("events are passed on, the last report is kept", [] {
        const std::string all = event(1) + ":n=1\n" + event(2) + ":n=2\n" + event(3);
        EventStreamParser stream("", ":n=");
        std::string out;
        for (std::size_t begin = 0; begin < all.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 12);
            RC_ASSERT(stream.consume(all.substr(begin, size), out));
            begin += size;
        }
        RC_ASSERT(out == event(1) + event(2) + event(3));
        RC_ASSERT(stream.lastComment() == "2");
        RC_ASSERT(stream.eventCount() == 3);
    });
}

// Guards against a comment of a backend server that is lost on its way through a peer.
TEST_CASE("eventStream_otherComments_arePassedOnWithTheirEvents")
{
    EventStreamParser stream("", ":n=");
    std::string out;
    CHECK(stream.consume(":a\n" + event(1), out));
    CHECK(out == ":a\n" + event(1));
    CHECK(stream.lastComment().empty());
}

// Guards against a report without an event, after which a stream could not be resumed.
TEST_CASE("eventStream_reportWithoutEvent_isRejected")
{
    EventStreamParser stream("", ":n=");
    std::string out;
    CHECK_FALSE(stream.consume(":n=1\n\n" + event(1), out));
}

// Guards against a long event that is counted nowhere, or whose memory is kept behind it.
TEST_CASE("eventStream_longEvent_isHeldUntilItIsComplete")
{
    EventStreamParser stream("");
    std::string out;
    CHECK(stream.consume("id: 1\ndata: " + std::string(500000, 'x'), out));
    CHECK(stream.heldBytes() >= 500000);
    CHECK(stream.consume("\n", out));
    CHECK(stream.consume("\n" + event(2) + "id", out));
    CHECK(stream.eventCount() == 2);
    CHECK(stream.heldBytes() < 1000);
    CHECK(stream.consume(": 3\n", out));
    CHECK(stream.consume("\n", out));
    CHECK(stream.heldBytes() == 0);
    CHECK(stream.isComplete());
}
