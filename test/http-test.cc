#include "ibisnotch/http.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;

TEST_CASE("headers_get_ignoresCaseAndTakesTheFirst")
{
    Headers headers{{"X-One", "1"}, {"x-one", "2"}};
    CHECK(headers.get("x-ONE") == "1");
    CHECK_FALSE(headers.get("X-Two"));
    headers.add("X-Two", "");
    CHECK(headers.get("x-two") == "");
}

TEST_CASE("queryValue_ofAQuery_findsWholeNames")
{
    CHECK(queryValue("a=1&ab=2&c", "ab") == "2");
    CHECK(queryValue("a=1=2", "a") == "1=2");
    CHECK(queryValue("c", "c") == "");
    CHECK_FALSE(queryValue("", "a"));
}

// A prompt of tens of kilobytes is held by the server's request, by the exchange and by each
// attempt at once; an instance with hundreds of streams under way held three copies of each.
TEST_CASE("body_handedOn_isShared")
{
    const auto kept = std::make_shared<const std::string>("a long prompt");
    const ibisnotch::Body received(kept);
    ibisnotch::HttpRequest request;
    request.body = received;
    const ibisnotch::HttpRequest passedOn = request;
    CHECK(passedOn.body.text().data() == kept->data());
    CHECK(passedOn.body == ibisnotch::Body("a long prompt"));
}

TEST_CASE("body_none_isEmpty")
{
    CHECK(ibisnotch::Body().empty());
    CHECK(ibisnotch::Body() == ibisnotch::Body(""));
}
