#include "ibisnotch/forward-path.h"

#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "ibisnotch/result-code.h"

using namespace ibisnotch;

namespace {

const std::vector<Hop> fleet{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}};

} // namespace

// Guards against forwarding loops when senders ignore the rules: the receiver checks the instances
// and region changes itself, so every path ends after a few hops.
TEST_CASE("forwardPath_sendersIgnoringTheRules_endsWithoutALoop")
{
    rc::prop("no loops", [] {
        ForwardPath path;
        Hop at = *rc::gen::elementOf(fleet);
        int hops = 0;
        for (;;) {
            const Hop next = *rc::gen::elementOf(fleet);
            path.push_back(at);
            if (!checkForwardPath(path, next).ok())
                break;
            at = next;
            ++hops;
            RC_ASSERT(hops <= 2);
            RC_ASSERT(regionChanges(path) <= 1);
        }
        std::set<std::string> seen;
        for (const Hop &hop : path)
            RC_ASSERT(seen.insert(hop.instance).second);
    });
}

TEST_CASE("checkForwardPath_backToTheFirstRegion_isRejected")
{
    const ForwardPath path{{"a1", "a"}, {"b1", "b"}};
    CHECK(resultCodeOf(checkForwardPath(path, {"a2", "a"})) == ResultCode::loopRefused);
    CHECK(checkForwardPath(path, {"b2", "b"}).ok());
    CHECK_FALSE(canForwardTo({{"a1", "a"}}, {"b1", "b"}, {"c1", "c"}));
    CHECK(canForwardTo({}, {"a1", "a"}, {"c1", "c"}));
}

TEST_CASE("parseForwardPath_ofFormattedPaths_returnsThem")
{
    const ForwardPath path{{"a1", "a"}, {"b1", "b"}};
    CHECK(*parseForwardPath(formatForwardPath(path)) == path);
    for (const char *text : {"", "a1", "a1@", "@a", "a1@a,,b1@b", "a1@a@b"})
        CHECK_FALSE(parseForwardPath(text).ok());
}
