#include "ibisnotch/active-config.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "config-fixture.h"

using namespace ibisnotch;

// Guards against reverting an accepted change when versions arrive in any order or more than once,
// from the store and from peers that lag or were restarted.
TEST_CASE_METHOD(ConfigFixture, "activeConfig_versionsInAnyOrder_neverReverts")
{
    rc::prop("versions only rise", [this] {
        ActiveConfig active("a");
        std::uint64_t highest = 0;
        for (int i = 0; i < 20; ++i) {
            const auto number = *rc::gen::inRange<std::uint64_t>(1, 10);
            const ConfigApplyResult result = active.apply(withVersion(number));
            RC_ASSERT((result == ConfigApplyResult::accepted) == (number > highest));
            highest = std::max(highest, number);
            RC_ASSERT(active.version() == highest);
            RC_ASSERT(active.config()->version == highest);
        }
    });
}

TEST_CASE_METHOD(ConfigFixture, "activeConfig_invalidDocument_keepsTheVersionInForce")
{
    ActiveConfig active("a");
    active.apply(withVersion(3));
    ConfigDocument broken = withVersion(4);
    broken.base.text += "nonsense: 1\n";
    CHECK(active.apply(broken) == ConfigApplyResult::invalid);
    CHECK(active.version() == 3);
    CHECK(active.lastError().find("nonsense") != std::string::npos);
}

// Guards against instances with different documents after they applied deltas from any older
// version, or from none.
TEST_CASE_METHOD(ConfigFixture, "applyDelta_fromAnyVersion_givesTheSameDocument")
{
    rc::prop("apply(make(from, to)) == to", [this] {
        ConfigDocument from = withVersion(*rc::gen::inRange<std::uint64_t>(1, 5));
        ConfigDocument to = withVersion(*rc::gen::inRange<std::uint64_t>(5, 9));
        if (*rc::gen::arbitrary<bool>())
            to.base.text += "# other\n";
        if (*rc::gen::arbitrary<bool>())
            to.overlays.erase("c");
        std::string &text = to.overlays["b"].text;
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(at, *rc::gen::inRange<std::size_t>(0, 20),
                     *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab\n"))));
        const bool fresh = *rc::gen::arbitrary<bool>();
        const ConfigDelta delta = makeDelta(fresh ? nullptr : &from, to);
        const auto result = applyDelta(fresh ? nullptr : &from, delta);
        RC_ASSERT(result.ok());
        RC_ASSERT(*result == to);
    });
}

TEST_CASE_METHOD(ConfigFixture, "applyDelta_onAnotherVersion_fails")
{
    const ConfigDocument two = withVersion(2);
    const ConfigDocument three = withVersion(3);
    const ConfigDelta delta = makeDelta(&two, withVersion(4));
    CHECK_FALSE(applyDelta(&three, delta).ok());
    ConfigDelta damaged = delta;
    damaged.note = "modified in transit";
    CHECK_FALSE(applyDelta(&two, damaged).ok());
}

TEST_CASE_METHOD(ConfigFixture, "makeDelta_ofOneOverlay_omitsTheBase")
{
    const ConfigDocument two = withVersion(2);
    const ConfigDelta delta = makeDelta(&two, withVersion(3));
    CHECK_FALSE(delta.baseChanged);
    CHECK(delta.base == FileDelta{});
    REQUIRE(delta.changedOverlays.size() == 1);
    CHECK(delta.changedOverlays.at("b").replacement == "3");
}
