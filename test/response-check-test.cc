#include "ibisnotch/response-check.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;

namespace {

const Headers streamHeaders{{"X-Request-Id", "r1"}, {"Content-Type", "text/event-stream"}};

std::string event(const std::string &id)
{
    return "data: {\"id\":\"" + id + "\",\"choices\":[]}\n\n";
}

std::string stream(int events)
{
    std::string text;
    for (int i = 0; i < events; ++i)
        text += event("c1");
    return text + "data: [DONE]\n\n";
}

} // namespace

// What the caller sees: the whole stream, however it was cut into packets. Why: only whole events
// are passed on, and the end counts only after "[DONE]".
TEST_CASE("responseCheck_streamInAnyPieces_passesItOnUnchanged")
{
    rc::prop("pieces do not matter", [] {
        const std::string text = stream(*rc::gen::inRange(0, 6));
        ResponseCheck check("r1", ResponseFormat::eventStream);
        RC_ASSERT(check.onHead(200, streamHeaders) == ResponseVerdict::valid);
        std::string passed;
        std::size_t at = 0;
        while (at < text.size()) {
            RC_ASSERT(!check.isComplete());
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, 20);
            RC_ASSERT(check.onData(std::string_view(text).substr(at, size), passed)
                      == ResponseVerdict::valid);
            at += size;
        }
        RC_ASSERT(passed == text);
        RC_ASSERT(check.isComplete());
    });
}

// What the caller sees: an error in place of a digest that lacks its end. In what order: the engine
// ends the HTTP message early but cleanly. Why: a stream without "[DONE]" is not whole.
TEST_CASE("responseCheck_streamCutAnywhere_isNotWhole")
{
    rc::prop("a prefix is never whole", [] {
        const std::string text = stream(3);
        const std::size_t size = *rc::gen::inRange<std::size_t>(0, text.size());
        ResponseCheck check("r1", ResponseFormat::eventStream);
        check.onHead(200, streamHeaders);
        std::string passed;
        check.onData(std::string_view(text).substr(0, size), passed);
        RC_ASSERT(!check.isComplete());
        RC_ASSERT(text.rfind(passed, 0) == 0);
    });
}

// What the caller sees: never another caller's words. In what order: the engine answers with the id
// of another request, or mixes another completion into the stream. Why: both ids are compared
// before anything of the event is passed on.
TEST_CASE("responseCheck_answerOfAnotherRequest_isNotOurs")
{
    ResponseCheck crossed("r1", ResponseFormat::json);
    CHECK(crossed.onHead(200, {{"X-Request-Id", "r2"}}) == ResponseVerdict::wrongRequest);
    ResponseCheck unnamed("r1", ResponseFormat::json);
    CHECK(unnamed.onHead(200, {}) == ResponseVerdict::wrongRequest);
    ResponseCheck mixed("r1", ResponseFormat::eventStream);
    mixed.onHead(200, streamHeaders);
    std::string passed;
    CHECK(mixed.onData(event("c1"), passed) == ResponseVerdict::valid);
    CHECK(mixed.onData(event("c2"), passed) == ResponseVerdict::wrongRequest);
    CHECK(passed == event("c1"));
}

TEST_CASE("responseCheck_jsonCutShort_isNotWhole")
{
    ResponseCheck check("r1", ResponseFormat::json);
    check.onHead(200, {{"X-Request-Id", "r1"}});
    std::string passed;
    check.onData("{\"a\":", passed);
    CHECK_FALSE(check.isComplete());
    check.onData("1}", passed);
    CHECK(check.isComplete());
}
