// Runs the operators' command line tool and the burn rate report as an operator does.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fleet.h"

using namespace ibisnotch;

namespace {

struct ProgramOutput
{
    int exitCode = -1;
    std::string text;
};

ProgramOutput runProgram(const std::string &command)
{
    FILE *pipe = popen((std::string(IBISNOTCH_BIN_DIR) + "/" + command + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    ProgramOutput output;
    char buffer[4096];
    while (const std::size_t size = fread(buffer, 1, sizeof buffer, pipe))
        output.text.append(buffer, size);
    output.exitCode = WEXITSTATUS(pclose(pipe));
    return output;
}

struct OperatorFixture
{
    Fleet fleet{FleetShape{.regions = 1, .instances = 2, .models = 1}};
    std::string folder;
    std::string storeOption = "--store " + fleet.address("store") + " ";
    std::string entriesOption = "--entries " + fleet.peers("a1") + "," + fleet.peers("a2") + " ";

    OperatorFixture()
    {
        char name[] = "/tmp/ibisnotch-ctl-XXXXXX";
        folder = mkdtemp(name);
        std::filesystem::create_directory(folder + "/sites");
        writeFiles("");
    }

    ~OperatorFixture() { std::filesystem::remove_all(folder); }

    void writeFiles(const std::string &extraBaseText)
    {
        const ConfigDocument document = fleet.document();
        std::ofstream(folder + "/base.yaml") << document.base.text << extraBaseText;
        std::ofstream(folder + "/sites/a.yaml") << document.overlays.at("a").text;
    }

    ProgramOutput ctl(const std::string &arguments)
    {
        return runProgram("ibisnotchctl " + arguments);
    }
};

} // namespace

TEST_CASE_METHOD(OperatorFixture, "ctl_configCommands_haveStableExitCodes")
{
    CHECK(ctl("--help").exitCode == 0);
    CHECK(ctl("no-such-command").exitCode == 1);
    const ProgramOutput customers = ctl(entriesOption + "customers");
    CHECK(customers.exitCode == 0);
    CHECK(customers.text.find("free: keys " + sha256Hex("free-token").substr(0, 12) + ", no cap")
          != std::string::npos);
    CHECK(ctl("--no-such-option").exitCode == 1);
    CHECK(ctl("check " + folder).exitCode == 0);
    CHECK(ctl("check " + folder + "/nowhere").exitCode == 6);
    CHECK(ctl("effective " + folder + " --site a").text.find("deployment = test  # base.yaml:1")
          != std::string::npos);

    writeFiles("weights: {cost: 3}\n");
    CHECK(ctl(storeOption + "diff " + folder).text.find("+ weights: {cost: 3}")
          != std::string::npos);
    CHECK(ctl(storeOption + "--author mk --note cheaper --based-on 1 apply " + folder).exitCode
          == 0);
    CHECK(ctl(storeOption + "--based-on 1 apply " + folder).exitCode == 3);
    CHECK(ctl(storeOption + "history").text.find("2  mk  cheaper") != std::string::npos);
    CHECK(ctl(storeOption + "rollback 1").exitCode == 0);
    CHECK(ctl(storeOption + "--json show").text.find("\"version\":3") != std::string::npos);
    CHECK(ctl(storeOption + "show 99").exitCode == 6);

    writeFiles("nonsense: 1\n");
    const ProgramOutput rejected = ctl(storeOption + "apply " + folder);
    CHECK(rejected.exitCode == 2);
    CHECK(rejected.text.find("nonsense: unknown key") != std::string::npos);
    // A file that was written only in part.
    std::ofstream(folder + "/base.yaml") << "deployment: test\nregions: {a: {dataCe";
    CHECK(ctl(storeOption + "apply " + folder).exitCode == 2);
    writeFiles("");
    fleet.setFault("store", "down");
    CHECK(ctl(storeOption + "apply " + folder).exitCode == 4);
    fleet.setFault("store", "none");
    CHECK(ctl(storeOption + "--json show").text.find("\"version\":3") != std::string::npos);
}

TEST_CASE_METHOD(OperatorFixture, "ctl_explain_printsEachStepOfRequest")
{
    fleet.setFault("a-m1", "error");
    const Reply reply = fleet.chat("a1", false);
    const ProgramOutput explained = ctl(entriesOption + "explain " + reply.requestId);
    CHECK(explained.exitCode == 0);
    CHECK(explained.text.find("picked a-m1") != std::string::npos);
    CHECK(explained.text.find("attempt 1 at a-m1: server error") != std::string::npos);
    CHECK(explained.text.find("refused: backendFailed") != std::string::npos);
    CHECK(explained.text.find("hello") == std::string::npos);
    CHECK(ctl(entriesOption + "explain nobody").exitCode == 6);
}

TEST_CASE_METHOD(OperatorFixture, "ctl_drainedServer_getsNoRequestsUntilUndrained")
{
    CHECK(ctl(entriesOption + "drain a-a1").exitCode == 0);
    for (const char *entry : {"a1", "a2"})
        eventually("the backend server is drained",
                   [&] { return fleet.readStatus(entry).code == 3002; });
    CHECK(ctl(entriesOption + "status").text.find("a-a1: leaving") != std::string::npos);
    CHECK(ctl(entriesOption + "undrain a-a1").exitCode == 0);
    for (const char *entry : {"a1", "a2"})
        eventually("the backend server serves again",
                   [&] { return fleet.readStatus(entry).code == 1000; });
    CHECK(ctl(entriesOption + "drain nobody").exitCode == 6);
}

TEST_CASE_METHOD(OperatorFixture, "burn_unreachableInstance_mergesOthersAndNamesIt")
{
    for (int i = 0; i < 3; ++i) {
        fleet.readStatus("a1");
        fleet.readStatus("a2");
    }
    const std::string options = "ibisnotch-burn " + storeOption + entriesOption;
    const auto report = nlohmann::json::parse(runProgram(options + "--format json").text);
    REQUIRE(report["rows"].size() == 1);
    CHECK(report["rows"][0]["service"] == "status");
    CHECK(report["rows"][0]["burn"]["5m"] == 0);
    fleet.stop("a2", SIGKILL);
    const ProgramOutput textReport = runProgram(options);
    CHECK(textReport.exitCode == 0);
    CHECK(textReport.text.find("missing: instance " + fleet.peers("a2")) != std::string::npos);
    CHECK(runProgram(options + "--format html").text.find("<svg") != std::string::npos);
}
