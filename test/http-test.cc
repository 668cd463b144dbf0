#include "ibisnotch/http.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;

TEST_CASE("headers_nameInAnyCase_returnsFirstValue")
{
    Headers headers{{"X-One", "1"}, {"x-one", "2"}};
    CHECK(headers.get("x-ONE") == "1");
    CHECK_FALSE(headers.get("X-Two"));
    headers.add("X-Two", "");
    CHECK(headers.get("x-two") == "");
}

TEST_CASE("queryValue_nameWithinAnotherName_findsWholeNamesOnly")
{
    CHECK(queryValue("a=1&ab=2&c", "ab") == "2");
    CHECK(queryValue("a=1=2", "a") == "1=2");
    CHECK(queryValue("c", "c") == "");
    CHECK_FALSE(queryValue("", "a"));
}

// Guards against copies of long prompts: the received request, the exchange and each attempt hold a
// prompt of tens of kilobytes at the same time, and an instance with hundreds of streams in
// progress had three copies of each.
TEST_CASE("body_copiedWithARequest_isShared")
{
    const auto prompt = std::make_shared<const std::string>("a long prompt");
    const ibisnotch::Body received(prompt);
    ibisnotch::HttpRequest request;
    request.body = received;
    const ibisnotch::HttpRequest forwarded = request;
    CHECK(forwarded.body.text().data() == prompt->data());
    CHECK(forwarded.body == ibisnotch::Body("a long prompt"));
}

TEST_CASE("body_default_isEmpty")
{
    CHECK(ibisnotch::Body().empty());
    CHECK(ibisnotch::Body() == ibisnotch::Body(""));
}
