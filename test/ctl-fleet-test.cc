// The operators' command line tool and the burn report, as an operator runs them.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fleet.h"

using namespace ibisnotch;

namespace {

struct Output
{
    int code = -1;
    std::string text;
};

Output runProgram(const std::string &command)
{
    FILE *pipe = popen((std::string(IBISNOTCH_BIN_DIR) + "/" + command + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    Output output;
    char buffer[4096];
    while (const std::size_t size = fread(buffer, 1, sizeof buffer, pipe))
        output.text.append(buffer, size);
    output.code = WEXITSTATUS(pclose(pipe));
    return output;
}

struct OperatorFixture
{
    Fleet fleet{FleetShape{.regions = 1, .instances = 2, .models = 1}};
    std::string folder;
    std::string store = "--store " + fleet.address("store") + " ";
    std::string entries = "--entries " + fleet.peers("a1") + "," + fleet.peers("a2") + " ";

    OperatorFixture()
    {
        char name[] = "/tmp/ibisnotch-ctl-XXXXXX";
        folder = mkdtemp(name);
        std::filesystem::create_directory(folder + "/sites");
        writeFiles("");
    }

    ~OperatorFixture() { std::filesystem::remove_all(folder); }

    void writeFiles(const std::string &more)
    {
        const ConfigDocument document = fleet.document();
        std::ofstream(folder + "/base.yaml") << document.base.text << more;
        std::ofstream(folder + "/sites/a.yaml") << document.overlays.at("a").text;
    }

    Output ctl(const std::string &words) { return runProgram("ibisnotchctl " + words); }
};

} // namespace

TEST_CASE_METHOD(OperatorFixture, "ctl_changeFromCheckToRollBack_hasStableExitCodes")
{
    CHECK(ctl("--help").code == 0);
    CHECK(ctl("dance").code == 1);
    const Output customers = ctl(entries + "customers");
    CHECK(customers.code == 0);
    CHECK(customers.text.find("free: keys " + sha256Hex("free-token").substr(0, 12) + ", no cap")
          != std::string::npos);
    CHECK(ctl("--no-such-option").code == 1);
    CHECK(ctl("check " + folder).code == 0);
    CHECK(ctl("check " + folder + "/nowhere").code == 6);
    CHECK(ctl("effective " + folder + " --site a").text.find("deployment = test  # base.yaml:1")
          != std::string::npos);

    writeFiles("weights: {cost: 3}\n");
    CHECK(ctl(store + "diff " + folder).text.find("+ weights: {cost: 3}") != std::string::npos);
    CHECK(ctl(store + "--author mk --note cheaper --based-on 1 apply " + folder).code == 0);
    CHECK(ctl(store + "--based-on 1 apply " + folder).code == 3);
    CHECK(ctl(store + "history").text.find("2  mk  cheaper") != std::string::npos);
    CHECK(ctl(store + "rollback 1").code == 0);
    CHECK(ctl(store + "--json show").text.find("\"version\":3") != std::string::npos);
    CHECK(ctl(store + "show 99").code == 6);

    writeFiles("nonsense: 1\n");
    const Output refused = ctl(store + "apply " + folder);
    CHECK(refused.code == 2);
    CHECK(refused.text.find("nonsense: unknown key") != std::string::npos);
    // A half-written file.
    std::ofstream(folder + "/base.yaml") << "deployment: test\nregions: {a: {dataCe";
    CHECK(ctl(store + "apply " + folder).code == 2);
    writeFiles("");
    fleet.setFault("store", "down");
    CHECK(ctl(store + "apply " + folder).code == 4);
    fleet.setFault("store", "none");
    CHECK(ctl(store + "--json show").text.find("\"version\":3") != std::string::npos);
}

TEST_CASE_METHOD(OperatorFixture, "ctl_explain_tellsEachStepOfARequest")
{
    fleet.setFault("a-m1", "error");
    const Reply reply = fleet.chat("a1", false);
    const Output explained = ctl(entries + "explain " + reply.requestId);
    CHECK(explained.code == 0);
    CHECK(explained.text.find("picked a-m1") != std::string::npos);
    CHECK(explained.text.find("attempt 1 at a-m1: server error") != std::string::npos);
    CHECK(explained.text.find("refused: backendFailed") != std::string::npos);
    CHECK(explained.text.find("hello") == std::string::npos);
    CHECK(ctl(entries + "explain nobody").code == 6);
}

TEST_CASE_METHOD(OperatorFixture, "ctl_drainedServer_getsNoNewWorkUntilUndrained")
{
    CHECK(ctl(entries + "drain a-a1").code == 0);
    for (const char *entry : {"a1", "a2"})
        eventually("it is drained", [&] { return fleet.readStatus(entry).code == 3002; });
    CHECK(ctl(entries + "status").text.find("a-a1: leaving") != std::string::npos);
    CHECK(ctl(entries + "undrain a-a1").code == 0);
    for (const char *entry : {"a1", "a2"})
        eventually("it is back", [&] { return fleet.readStatus(entry).code == 1000; });
    CHECK(ctl(entries + "drain nobody").code == 6);
}

TEST_CASE_METHOD(OperatorFixture, "burn_oneInstanceMissing_mergesTheRestAndSaysSo")
{
    for (int i = 0; i < 3; ++i) {
        fleet.readStatus("a1");
        fleet.readStatus("a2");
    }
    const std::string options = "ibisnotch-burn " + store + entries;
    const auto report = nlohmann::json::parse(runProgram(options + "--format json").text);
    REQUIRE(report["rows"].size() == 1);
    CHECK(report["rows"][0]["service"] == "status");
    CHECK(report["rows"][0]["burn"]["5m"] == 0);
    fleet.stop("a2", SIGKILL);
    const Output text = runProgram(options);
    CHECK(text.code == 0);
    CHECK(text.text.find("missing: instance " + fleet.peers("a2")) != std::string::npos);
    CHECK(runProgram(options + "--format html").text.find("<svg") != std::string::npos);
}
