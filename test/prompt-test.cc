#include "ibisnotch/prompt.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;

TEST_CASE("sharedParts_severalParts_leavesOutTheLast")
{
    CHECK(Prompt{}.sharedParts().empty());
    CHECK(Prompt{{{1, 800, "a"}}, 0, 0}.sharedParts().empty());
    const Prompt prompt{{{1, 800, "a"}, {2, 400, "b"}, {3, 100, "c"}}, 1300, 40};
    CHECK(prompt.sharedParts().size() == 2);
    CHECK(prompt.sharedTokens() == 1200);
}

// Guards against log lines that a caller could forge or fill by the name of a part.
TEST_CASE("loggablePartName_longOrWithOtherCharacters_isLeftOut")
{
    CHECK(loggablePartName("5c1e07a2") == "5c1e07a2");
    CHECK(loggablePartName(std::string(33, 'a')).empty());
    CHECK(loggablePartName("a b").empty());
    CHECK(loggablePartName("a\nb").empty());
}

TEST_CASE("sharedPartsText_partWithoutName_showsItsHash")
{
    CHECK(sharedPartsText({{{1, 0, "a"}, {255, 0, ""}, {3, 0, "c"}}, 0, 0})
          == "a,#00000000000000ff");
}
