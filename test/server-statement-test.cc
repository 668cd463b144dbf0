// What processes of servers said of themselves.
#include "ibisnotch/server-statement.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

const std::string server = "s";
const std::string address = "127.0.0.1:1";

} // namespace

// Guards against a server that says that it leaves and gets requests again although no later
// process of it is known: its entry names no start time, that of the same process, or of an earlier
// one.
TEST_CASE("statements_noLaterProcessIsKnown_stay")
{
    rc::prop("no entry ends them", [] {
        ServerStatements statements;
        const auto startedBy = *rc::gen::inRange<std::uint64_t>(1, 1000);
        statements.onLeaving({server, address, startedBy}, TimePoint(1h));
        for (int i = 0; i < 10; ++i) {
            const auto listed = *rc::gen::inRange<std::uint64_t>(0, startedBy + 1);
            RC_ASSERT(statements.isLeaving(server, address, listed));
        }
    });
}

// Guards against a process that is left out for what the one before it said.
TEST_CASE("statements_laterProcessIsKnown_end")
{
    ServerStatements statements;
    statements.onLeaving({server, address, 7}, TimePoint(1h));
    CHECK_FALSE(statements.isLeaving(server, address, 8));
    CHECK_FALSE(statements.isLeaving(server, address, 0));
    CHECK_FALSE(statements.isLeaving(server, "127.0.0.1:2", 7));
    CHECK_FALSE(statements.isLeaving("other", address, 7));
}

// Guards against the statement of a process that is ended by the entry of the one before it, which
// is read after the process has spoken.
TEST_CASE("statements_processSpeaksBeforeItIsListed_stay")
{
    ServerStatements statements;
    statements.onLeaving({server, address, 7}, TimePoint(1h));
    statements.onLeaving({server, address, 12}, TimePoint(2h));
    CHECK(statements.isLeaving(server, address, 8));
    CHECK(statements.isLeaving(server, address, 12));
    CHECK_FALSE(statements.isLeaving(server, address, 13));
}

// Guards against a rest that a later answer, or the entry of the same process, ends early.
TEST_CASE("statements_rests_keepTheLongestOfTheProcess")
{
    ServerStatements statements;
    const TimePoint now(1h);
    statements.onRest({server, address, 7}, now + 5s, now);
    statements.onRest({server, address, 9}, now + 2s, now + 1s);
    CHECK(statements.restsUntil(server, address, 0) == now + 5s);
    CHECK(statements.restsUntil(server, address, 9) == now + 5s);
    CHECK_FALSE(statements.isLeaving(server, address, 9));
    CHECK(statements.restsUntil(server, "127.0.0.1:2", 9) == TimePoint{});
    CHECK(statements.restsUntil(server, address, 10) == TimePoint{});
}

// Guards against memory that grows with each server that ever left.
TEST_CASE("statements_manyServersLeave_keepsTheLatest")
{
    ServerStatements statements;
    const int count = static_cast<int>(ServerStatements::maxKept) + 10;
    for (int i = 0; i < count; ++i)
        statements.onLeaving({std::to_string(i), address, 7}, TimePoint(1h + i * 1s));
    CHECK_FALSE(statements.isLeaving("0", address, 7));
    CHECK(statements.isLeaving("10", address, 7));
    CHECK(statements.isLeaving(std::to_string(count - 1), address, 7));
}
