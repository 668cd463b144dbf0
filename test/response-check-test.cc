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

// Guards against a stream that depends on how the network splits it: however it is split, it is
// forwarded unchanged and is complete only after "[DONE]".
TEST_CASE("responseCheck_streamSplitAnywhere_isForwardedUnchanged")
{
    rc::prop("any split forwards the same text", [] {
        const std::string text = stream(*rc::gen::inRange(0, 6));
        ResponseCheck check("r1", ResponseFormat::eventStream);
        RC_ASSERT(check.onHead(200, streamHeaders) == ResponseVerdict::valid);
        std::string forwarded;
        std::size_t at = 0;
        while (at < text.size()) {
            RC_ASSERT(!check.isComplete());
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, 20);
            RC_ASSERT(check.onData(std::string_view(text).substr(at, size), forwarded)
                      == ResponseVerdict::valid);
            at += size;
        }
        RC_ASSERT(forwarded == text);
        RC_ASSERT(check.isComplete());
    });
}

// Guards against a truncated response that looks complete: the engine ends the HTTP message early
// but correctly, so only the missing "[DONE]" shows it.
TEST_CASE("responseCheck_streamTruncatedAnywhere_isIncomplete")
{
    rc::prop("a prefix is never complete", [] {
        const std::string text = stream(3);
        const std::size_t size = *rc::gen::inRange<std::size_t>(0, text.size());
        ResponseCheck check("r1", ResponseFormat::eventStream);
        check.onHead(200, streamHeaders);
        std::string forwarded;
        check.onData(std::string_view(text).substr(0, size), forwarded);
        RC_ASSERT(!check.isComplete());
        RC_ASSERT(text.rfind(forwarded, 0) == 0);
    });
}

// Guards against a caller that receives another caller's response: the engine responds with the id
// of another request, or mixes another completion into the stream. Both ids are checked before an
// event is forwarded.
TEST_CASE("responseCheck_responseToAnotherRequest_isRejected")
{
    ResponseCheck otherId("r1", ResponseFormat::json);
    CHECK(otherId.onHead(200, {{"X-Request-Id", "r2"}}) == ResponseVerdict::wrongRequest);
    ResponseCheck withoutId("r1", ResponseFormat::json);
    CHECK(withoutId.onHead(200, {}) == ResponseVerdict::wrongRequest);
    ResponseCheck mixedStream("r1", ResponseFormat::eventStream);
    mixedStream.onHead(200, streamHeaders);
    std::string forwarded;
    CHECK(mixedStream.onData(event("c1"), forwarded) == ResponseVerdict::valid);
    CHECK(mixedStream.onData(event("c2"), forwarded) == ResponseVerdict::wrongRequest);
    CHECK(forwarded == event("c1"));
}

TEST_CASE("responseCheck_truncatedJson_isIncomplete")
{
    ResponseCheck check("r1", ResponseFormat::json);
    check.onHead(200, {{"X-Request-Id", "r1"}});
    std::string forwarded;
    check.onData("{\"a\":", forwarded);
    CHECK_FALSE(check.isComplete());
    check.onData("1}", forwarded);
    CHECK(check.isComplete());
}

// An answer to another request was taken for the answer to the request in progress.
TEST_CASE("findForeign_idsOfResponse_mustAllNameTheRequest")
{
    const auto find = [](const Headers &headers, std::string_view id) {
        return findForeign(headers, "X-Request-Id", id);
    };
    CHECK(find({{"X-Request-Id", "r1"}}, "r1") == MismatchCause::none);
    CHECK(find({{"x-request-id", "r1"}, {"X-Request-Id", "r1"}}, "r1") == MismatchCause::none);
    CHECK(find({}, "") == MismatchCause::none);
    CHECK(find({}, "r1") == MismatchCause::noRequest);
    CHECK(find({{"X-Request-Id", "r2"}}, "r1") == MismatchCause::otherRequest);
    CHECK(find({{"X-Request-Id", "r1"}, {"x-request-id", "r2"}}, "r1")
          == MismatchCause::otherRequest);
    CHECK(find({{"X-Request-Id", ""}}, "r1") == MismatchCause::otherRequest);
    CHECK(find({{"X-Request-Id", "r1"}}, "") == MismatchCause::otherRequest);
}

// Guards against a copy of a long answer that is kept for its check though it was passed on,
// and against a check that finds less without it.
TEST_CASE("responseCheck_longJsonWithoutACopy_isCompleteAtItsLastBracketOnly")
{
    const std::string text = " {\"a\": [\"}\\\"]\", {\"b\": [1, 2]}], \"c\": \"\\\\\"} \n";
    const std::size_t lastBracket = text.rfind('}');
    for (std::size_t size = 1; size <= text.size(); ++size) {
        INFO(text.substr(0, size));
        ResponseCheck check("r1", ResponseFormat::json);
        std::string out;
        check.onData(text.substr(0, size / 2), out);
        check.dropCopy();
        check.onData(text.substr(size / 2, size - size / 2), out);
        CHECK(check.heldBytes() == 0);
        CHECK(out == text.substr(0, size));
        CHECK(check.isComplete() == (size > lastBracket));
    }
    ResponseCheck twice("r1", ResponseFormat::json);
    std::string out;
    twice.dropCopy();
    twice.onData("{}{}", out);
    CHECK_FALSE(twice.isComplete());
}
