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
