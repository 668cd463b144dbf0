#include "ibisnotch/result-code.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;

TEST_CASE("resultTable_allCodes_areAscendingAndUnique")
{
    int last = 0;
    for (const ResultInfo &info : resultTable()) {
        CHECK(static_cast<int>(info.code) > last);
        last = static_cast<int>(info.code);
    }
}

TEST_CASE("makeStatus_withCode_preservesTheCode")
{
    const absl::Status status = makeStatus(ResultCode::loopRefused, "came by here");
    CHECK(resultCodeOf(status) == ResultCode::loopRefused);
    CHECK(resultCodeOf(absl::InternalError("other")) == ResultCode::malformedRequest);
}

TEST_CASE("resultTable_codesFrom2000To3999_areNotRun")
{
    for (const ResultInfo &info : resultTable()) {
        const int number = static_cast<int>(info.code);
        if (number >= 2000 && number < 4000)
            CHECK(info.runState == RunState::notRun);
        if (number >= 4000)
            CHECK(info.runState == RunState::unknown);
    }
}

// Guards against an instance that reads behind its table when a peer of a later release answers.
TEST_CASE("resultCodeOf_numberOfALaterRelease_saysNothingOfTheRequest")
{
    CHECK(resultCodeOf(3001) == ResultCode::overloaded);
    CHECK(resultCodeOf(3999) == ResultCode::backendFailed);
    CHECK(resultCodeOf(std::int64_t(3001) + (std::int64_t(1) << 32U)) == ResultCode::backendFailed);
}
