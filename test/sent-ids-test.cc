#include "ibisnotch/sent-ids.h"

#include <set>
#include <string>

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct SentIdsFixture
{
    bool add(int id) { return ids.add("request-" + std::to_string(id), now); }

    SentIds ids;
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

// A request that came again was sent on a connection with a response to its first run to come.
TEST_CASE_METHOD(SentIdsFixture, "sentIds_sameIdWithinKeptTime_isKnown")
{
    CHECK_FALSE(add(1));
    now += SentIds::minKeptTime - 1ms;
    CHECK_FALSE(add(2));
    CHECK(add(1));
    now += 1ms;
    CHECK_FALSE(add(3));
    now += SentIds::minKeptTime - 2ms;
    CHECK(add(2));
    CHECK(add(1));
}

TEST_CASE_METHOD(SentIdsFixture, "sentIds_sameIdMuchLater_isForgotten")
{
    CHECK_FALSE(add(1));
    now += SentIds::minKeptTime;
    CHECK_FALSE(add(2));
    now += SentIds::minKeptTime;
    CHECK_FALSE(add(1));
}

// Ids without end took memory without end.
TEST_CASE_METHOD(SentIdsFixture, "sentIds_moreIdsThanKept_newestAreKnown")
{
    const int count = 4 * static_cast<int>(SentIds::maxKept);
    int known = 0;
    for (int i = 0; i < count; ++i)
        known += add(i) ? 1 : 0;
    CHECK(known == 0);
    CHECK(add(count - 1));
    CHECK(add(count - static_cast<int>(SentIds::maxKept / 2)));
    CHECK_FALSE(add(0));
}
