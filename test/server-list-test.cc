#include "ibisnotch/server-list.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct ServerListFixture
{
    ServerList list;
    TimePoint now{10s};

    static ListedServer server(const std::string &name, bool leaving = false)
    {
        ListedServer listed;
        listed.server.name = name;
        listed.leaving = leaving;
        return listed;
    }
};

} // namespace

// Guards against rejected requests while servers work: if their leases expire while the store is
// unreachable, it returns without their entries, and they write these again within two seconds.
TEST_CASE_METHOD(ServerListFixture, "serverList_expiredEntryWrittenAgain_isKeptThroughout")
{
    list.put(server("a"));
    list.remove("a", now);
    CHECK_FALSE(list.expire(now + 2s));
    CHECK(list.servers().count("a") == 1);
    CHECK(list.servers().at("a").missingSince == now);
    list.put(server("a"));
    CHECK_FALSE(list.expire(now + 10s));
    CHECK(list.servers().count("a") == 1);
    CHECK(list.servers().at("a").missingSince == TimePoint{});
}

TEST_CASE_METHOD(ServerListFixture, "serverList_entryStaysMissing_isDroppedAfterTheGrace")
{
    list.put(server("a"));
    list.remove("a", now);
    list.remove("a", now + 1s);
    CHECK(list.expire(now + ServerList::missingGrace));
    CHECK(list.servers().empty());
}

TEST_CASE_METHOD(ServerListFixture, "serverList_leavingServerRemoved_isDroppedAtOnce")
{
    list.put(server("a", true));
    list.remove("a", now);
    CHECK(list.servers().empty());
}
