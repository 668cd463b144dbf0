// Configuration, residency and regions on real processes.
#include <csignal>
#include <future>
#include <set>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fleet.h"
#include "ibisnotch/config-admin.h"
#include "ibisnotch/result-code.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr int code(ResultCode result)
{
    return static_cast<int>(result);
}

struct ConfigFleetFixture
{
    Fleet fleet{FleetShape{.regions = 2, .instances = 2, .models = 1}};

    absl::StatusOr<ConfigDocument> change(const std::string &note)
    {
        ConfigAdmin admin(fleet.store());
        ConfigDocument draft = fleet.document();
        draft.note = note;
        draft.overlays["a"].text += "# " + note + "\n";
        return admin.apply(draft, std::nullopt);
    }

    void eventuallyInForce(std::uint64_t version)
    {
        for (const char *entry : {"a1", "a2", "b1", "b2"})
            eventually(std::string(entry) + " has it in force",
                       [&] { return fleet.configVersion(entry) >= version; });
    }
};

} // namespace

// What operators see: each change accepted once or turned down, none lost. In what order: three
// operators change the rules at the same time, the store loses some answers. Why: the version is
// written by compare-and-swap, and a lost answer is settled by reading back.
TEST_CASE_METHOD(ConfigFleetFixture, "config_operatorsRace_eachVersionHasOneAuthor")
{
    std::vector<std::future<std::vector<ConfigDocument>>> operators;
    for (int one = 0; one < 3; ++one)
        operators.push_back(std::async(std::launch::async, [this, one] {
            std::vector<ConfigDocument> accepted;
            for (int i = 0; i < 6; ++i) {
                const auto result = change("operator " + std::to_string(one * 100 + i));
                if (result.ok())
                    accepted.push_back(*result);
            }
            return accepted;
        }));
    fleet.setFault("store", "loseAnswers", 6);
    std::set<std::uint64_t> versions;
    std::vector<ConfigDocument> all;
    for (auto &one : operators) {
        for (const ConfigDocument &document : one.get()) {
            CHECK(versions.insert(document.version).second);
            all.push_back(document);
        }
    }
    REQUIRE_FALSE(all.empty());
    ConfigAdmin admin(fleet.store());
    for (const ConfigDocument &document : all)
        CHECK(admin.version(document.version)->note == document.note);
    eventuallyInForce(*versions.rbegin());
}

// What operators see: the newest rules, also on an instance that starts while the store is down.
// In what order: a change is in force, the store goes down, an instance is replaced. Why: it asks
// its peers, and takes no requests before it has a version.
TEST_CASE_METHOD(ConfigFleetFixture, "config_instanceStartsDuringAStoreOutage_hasTheNewest")
{
    const auto changed = change("before the outage");
    REQUIRE(changed.ok());
    eventuallyInForce(changed->version);
    fleet.setFault("store", "down");
    fleet.stop("b2", SIGKILL);
    fleet.start("b2");
    fleet.waitReady("b2");
    CHECK(fleet.configVersion("b2") == changed->version);
    CHECK(fleet.chat("b2", false).code == code(ResultCode::served));
}

// What the caller sees: "not run", and other instances to use. In what order: an instance starts
// with neither store nor peers. Why: without rules it cannot know where data may go.
TEST_CASE_METHOD(ConfigFleetFixture, "config_instanceWithoutAnyVersion_refuses")
{
    fleet.setFault("store", "down");
    for (const char *entry : {"a1", "a2", "b1", "b2"})
        fleet.stop(entry, SIGKILL);
    fleet.start("a1");
    Reply reply;
    eventually("it answers", [&] {
        reply = fleet.chat("a1", false);
        return reply.status != 0;
    });
    CHECK(reply.code == code(ResultCode::notReady));
    CHECK(reply.runState == "not run");
}

// What operators see: a change is in force in the cut region as soon as the cut ends, and never an
// older one. In what order: a region is frozen, rules change twice, it wakes.
TEST_CASE_METHOD(ConfigFleetFixture, "config_regionAwayDuringChanges_catchesUp")
{
    for (const char *entry : {"b1", "b2"})
        fleet.signal(entry, SIGSTOP);
    REQUIRE(change("one").ok());
    const auto last = change("two");
    REQUIRE(last.ok());
    for (const char *entry : {"b1", "b2"})
        fleet.signal(entry, SIGCONT);
    eventuallyInForce(last->version);
}

TEST_CASE_METHOD(ConfigFleetFixture, "config_brokenDraft_neverReachesTheStore")
{
    ConfigAdmin admin(fleet.store());
    ConfigDocument draft = fleet.document();
    draft.overlays["b"].text += "backendServers: {}\n";
    CHECK(admin.apply(draft, std::nullopt).status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(admin.current()->document->version == 1);
    CHECK(admin.apply(fleet.document(), 7).status().code() == absl::StatusCode::kAborted);
    fleet.setFault("store", "down");
    CHECK(admin.apply(fleet.document(), std::nullopt).status().code()
          == absl::StatusCode::kUnavailable);
}

TEST_CASE_METHOD(ConfigFleetFixture, "config_rollBack_isANewVersion")
{
    const auto changed = change("a mistake");
    REQUIRE(changed.ok());
    ConfigAdmin admin(fleet.store());
    const auto back = admin.rollBack(1, "operator");
    REQUIRE(back.ok());
    CHECK(back->version == 3);
    CHECK(back->overlays == fleet.document().overlays);
    eventuallyInForce(3);
}

// What the caller sees: its answer, from home, or a refusal; never an answer from elsewhere. In
// what order: a customer bound to region a calls region b; then region a loses its engines. Why:
// both the sender and the receiver check the rule.
TEST_CASE_METHOD(ConfigFleetFixture, "residency_customerBoundToItsHome_isServedThereOrNotAtAll")
{
    const Reply away = fleet.chat("b1", false, 4, "hello", "homed-token");
    CHECK(away.code == code(ResultCode::served));
    CHECK(away.servedBy.find("a-m1") != std::string::npos);
    fleet.stop("a-m1", SIGKILL);
    for (const char *entry : {"a1", "b1"}) {
        const Reply refused = fleet.chat(entry, false, 4, "hello", "homed-token");
        CHECK(refused.code != code(ResultCode::served));
        CHECK(refused.servedBy.find("b-m1") == std::string::npos);
    }
    eventually("others are served elsewhere",
               [&] { return fleet.chat("a1", false).servedBy.find("b-m1") != std::string::npos; });
}

// What the caller sees: "not allowed here". In what order: a peer with other rules forwards a
// request to a region that may not hold its data. Why: the receiver checks by its own rules.
TEST_CASE_METHOD(ConfigFleetFixture, "residency_peerForwardsWrongly_isRefusedByTheReceiver")
{
    OutgoingRequest request = fleet.chatRequest("b1", false, 4, "hello", "homed-token");
    request.url = "http://" + fleet.peers("b1") + "/v1/chat/completions";
    request.headers.add("X-Ibisnotch-Path", "a1@a");
    request.headers.add("X-Customer", "homed");
    CHECK(fleet.send(request).code == code(ResultCode::residencyForbids));
}

TEST_CASE_METHOD(ConfigFleetFixture, "loops_requestThatComesBack_isRefused")
{
    OutgoingRequest request = fleet.chatRequest("a1", false, 4, "hello", "free-token");
    request.url = "http://" + fleet.peers("a1") + "/v1/chat/completions";
    OutgoingRequest away = request;
    request.headers.add("X-Ibisnotch-Path", "a1@a,b1@b");
    CHECK(fleet.send(request).code == code(ResultCode::loopRefused));
    away.headers.add("X-Ibisnotch-Path", "a2@a,b1@b");
    CHECK(fleet.send(away).code == code(ResultCode::loopRefused));
}

// What the caller sees: "unknown", not "not run". In what order: the engine at home takes the
// request and breaks off, the retry goes to another region, which refuses it. Why: a peer's refusal
// speaks of its own part only.
TEST_CASE_METHOD(ConfigFleetFixture, "refusal_ofAPeerAfterAnAttemptAtHome_neverSaysNotRun")
{
    fleet.setFault("a-m1", "drop");
    fleet.setFault("b-m1", "refuse");
    const Reply reply = fleet.chat("a1", false);
    CHECK(reply.code != code(ResultCode::served));
    CHECK(reply.runState == "unknown");
}

// What the caller sees: answers, also under steady traffic. In what order: a region without engines
// sends every request away, many more between two summaries than the other region has slots. Why:
// what came back is no longer counted as under way.
TEST_CASE_METHOD(ConfigFleetFixture, "regionWithoutEngines_steadyTraffic_isNotRefused")
{
    fleet.stop("b-m1", SIGKILL);
    eventually("requests are served by region a",
               [&] { return fleet.chat("b1", false).servedBy.find("a-m1") != std::string::npos; });
    for (int i = 0; i < 60; ++i)
        CHECK(fleet.chat("b1", false, 1).code == code(ResultCode::served));
}

// What callers see: the loss of a region costs them at most one attempt. In what order: all engines
// of a region die. Why: the region's summary goes to zero and its requests are sent on.
TEST_CASE_METHOD(ConfigFleetFixture, "regionWithoutEngines_sendsItsRequestsOn")
{
    fleet.stop("b-m1", SIGKILL);
    eventually("requests are served by region a",
               [&] { return fleet.chat("b1", true).servedBy.find("a-m1") != std::string::npos; });
}

// What operators see: engines hold what the configuration wants, also after the holder of the lease
// was frozen and another took over. In what order: a version is wanted, the first holder orders it,
// sleeps past its lease, and another version is wanted. Why: the lease and its number change hands.
TEST_CASE_METHOD(ConfigFleetFixture, "placement_holderFrozen_nextHolderGoesOnWithAHigherNumber")
{
    const auto want = [&](const std::string &version) {
        ConfigAdmin admin(fleet.store());
        ConfigDocument draft = fleet.document();
        std::string &text = draft.overlays["a"].text;
        const std::string models = "models: [m]}";
        text.replace(text.find(models), models.size(),
                     "models: [m], placement: {model: m, version: \"" + version + "\"}}");
        draft.base.text += "limits: {weightLoadsPerMinute: 600}\n";
        REQUIRE(admin.apply(draft, std::nullopt).ok());
    };
    const auto held = [&] {
        OutgoingRequest request;
        request.url = "http://" + fleet.address("a-m1") + "/v1/models";
        return nlohmann::json::parse(sendAndWait(fleet.client(), request).response.body);
    };
    want("2");
    eventually("version 2 is held", [&] { return held()["data"][0]["version"] == "2"; });
    const auto fence = held()["fence"].get<std::uint64_t>();
    fleet.signal("a1", SIGSTOP);
    want("3");
    eventually("version 3 is held", [&] { return held()["data"][0]["version"] == "3"; });
    CHECK(held()["fence"].get<std::uint64_t>() > fence);
    fleet.signal("a1", SIGCONT);
}

// What operators see: the fleet goes on with the version that each instance can take. In what
// order: a version reaches the store that no instance of this release can read (a newer tool wrote
// it). Why: it is turned down, said so in the status, and not asked for again.
TEST_CASE_METHOD(ConfigFleetFixture, "config_versionOfANewerRelease_isTurnedDownAndServingGoesOn")
{
    ConfigAdmin admin(fleet.store());
    const StoredConfig inForce = *admin.current();
    ConfigDocument newer = *inForce.document;
    newer.version = 2;
    newer.base.text += "keyOfALaterRelease: 1\n";
    std::promise<StoreWrite> written;
    fleet.store().compareAndSet("ibisnotch/config/current", inForce.index, serializeDocument(newer),
                                [&](const StoreWrite &write) { written.set_value(write); });
    REQUIRE(written.get_future().get().status == StoreStatus::ok);
    eventually("a watcher has seen it", [&] {
        return fleet.adminStatus("a1").find("keyOfALaterRelease") != std::string::npos
            || fleet.adminStatus("a2").find("keyOfALaterRelease") != std::string::npos;
    });
    for (const char *entry : {"a1", "a2", "b1", "b2"}) {
        CHECK(fleet.configVersion(entry) == 1);
        CHECK(fleet.chat(entry, false).code == code(ResultCode::served));
    }
    const auto mended = change("understood by all");
    REQUIRE(mended.ok());
    CHECK(mended->version == 3);
    eventuallyInForce(3);
}
