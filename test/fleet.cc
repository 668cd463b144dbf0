#include "fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include <absl/strings/numbers.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "free-ports.h"
#include "ibisnotch/booking.h"
#include "ibisnotch/config-admin.h"

extern char **environ; // NOLINT

namespace ibisnotch {

namespace {

using namespace std::chrono_literals;

std::string regionName(int index)
{
    return std::string(1, static_cast<char>('a' + index));
}

} // namespace

void eventually(const std::string &what, const std::function<bool()> &condition,
                const std::function<std::string()> &evidence)
{
    const auto until = std::chrono::steady_clock::now() + 60s;
    while (std::chrono::steady_clock::now() < until) {
        if (condition())
            return;
        std::this_thread::sleep_for(20ms);
    }
    FAIL("timed out waiting until " << what << (evidence ? "; " + evidence() : ""));
}

Fleet::Fleet(FleetShape shape) : m_shape(std::move(shape))
{
    char directory[] = "/tmp/ibisnotch-test-XXXXXX";
    m_directory = mkdtemp(directory);
    assignPorts();
    m_store = makeConsulStore(m_client, address("store"));
    startAll();
}

Fleet::~Fleet()
{
    for (const auto &[name, pid] : m_pids) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    if (std::getenv("KEEP_TEST_LOGS") == nullptr)
        std::filesystem::remove_all(m_directory);
}

std::vector<std::string> Fleet::instanceNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, ports] : m_ports) {
        if (ports.size() == 3)
            names.push_back(name);
    }
    return names;
}

void Fleet::assignPorts()
{
    constexpr int portsPerInstance = 3;
    std::vector<std::pair<std::string, int>> wanted{{"store", 1}};
    for (int r = 0; r < m_shape.regions; ++r) {
        for (int i = 1; i <= m_shape.instances; ++i)
            wanted.emplace_back(regionName(r) + std::to_string(i), portsPerInstance);
        for (int i = 1; i <= m_shape.models; ++i)
            wanted.emplace_back(regionName(r) + "-m" + std::to_string(i), 1);
        for (int i = 1; i <= m_shape.applications; ++i)
            wanted.emplace_back(regionName(r) + "-a" + std::to_string(i), 1);
    }
    std::size_t count = 0;
    for (const auto &[name, ports] : wanted)
        count += static_cast<std::size_t>(ports);
    const std::vector<std::uint16_t> ports = freePorts(count);
    std::size_t next = 0;
    for (const auto &[name, number] : wanted) {
        for (int i = 0; i < number; ++i)
            m_ports[name].push_back(ports[next++]);
    }
}

std::string Fleet::address(const std::string &name, int portIndex) const
{
    return "127.0.0.1:" + std::to_string(m_ports.at(name).at(static_cast<std::size_t>(portIndex)));
}

std::string Fleet::instanceSettings(const std::string &name) const
{
    const std::string region = name.substr(0, 1);
    std::string seeds;
    for (int r = 0; r < m_shape.regions; ++r)
        seeds += fmt::format("{}\"{}\"", r == 0 ? "" : ", ", address(regionName(r) + "1", 2));
    return fmt::format("name: {}\nregion: {}\ndataCentre: {}1\ncallers: \"{}\"\npeers: \"{}\"\n"
                       "gossip: \"{}\"\nstore: \"{}\"\nseeds: [{}]\ndrainTime: 30s\n{}",
                       name, region, region, address(name, 0), address(name, 1), address(name, 2),
                       address("store"), seeds, m_shape.extraSettings);
}

std::vector<std::string> Fleet::makeCommand(const std::string &name) const
{
    const std::string bin = IBISNOTCH_BIN_DIR;
    const std::string port = std::to_string(m_ports.at(name).front());
    if (name == "store")
        return {bin + "/standin-store", "-p", port};
    if (name.find("-m") != std::string::npos)
        return {bin + "/standin-engine",        "-p", port, "-n", name, "-m", "m", "--token-ms",
                std::to_string(m_shape.tokenMs)};
    if (name.find("-a") != std::string::npos)
        return {bin + "/standin-engine", "-p", port, "-n", name, "-s", "32"};
    const std::string path = m_directory + "/" + name + ".yaml";
    std::ofstream(path) << instanceSettings(name);
    return {bin + "/ibisnotch-entry", "--settings", path};
}

void Fleet::start(const std::string &name)
{
    const std::vector<std::string> command = makeCommand(name);
    std::vector<char *> arguments;
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = m_directory + "/" + name + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    pid_t pid = 0;
    REQUIRE(posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    m_pids[name] = pid;
}

std::vector<std::string> Fleet::logLines(const std::string &name, const std::string &text) const
{
    std::ifstream log(m_directory + "/" + name + ".log");
    std::vector<std::string> lines;
    for (std::string line; std::getline(log, line);) {
        if (line.find(text) != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

void Fleet::startAll()
{
    for (const auto &[name, ports] : m_ports)
        start(name);
    ConfigAdmin admin(*m_store);
    eventually("the store accepts the configuration", [&] {
        const auto applied = admin.apply(document(), std::nullopt);
        if (applied.status().code() == absl::StatusCode::kInvalidArgument)
            FAIL(std::string(applied.status().message()));
        return applied.ok();
    });
    for (const std::string &name : instanceNames())
        waitReady(name);
    // Waits until every instance knows all others and the loads of all other regions, so that each
    // test starts with a settled fleet.
    for (const std::string &name : instanceNames()) {
        std::string missing;
        eventually(
            name + " knows the others",
            [&] {
                missing = describeMissing(name);
                return missing.empty();
            },
            [&] { return missing + endedProcesses(); });
    }
}

std::string Fleet::describeMissing(const std::string &entry)
{
    const std::string text = adminStatus(entry);
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return "no status: '" + text + "'";
    const auto members = body["members"].size();
    std::string missing;
    if (members != instanceNames().size())
        missing += fmt::format("{} members of {}; ", members, instanceNames().size());
    for (const auto &member : body["members"]) {
        if (member["state"] != "alive")
            missing
                += fmt::format("member {} is {}; ", member["name"].dump(), member["state"].dump());
    }
    for (const auto &server : body["servers"]) {
        if (server["status"] != "usable")
            missing
                += fmt::format("server {} is {}; ", server["name"].dump(), server["status"].dump());
    }
    std::set<std::string> regions;
    for (const auto &region : body["regions"]) {
        if (region["slots"] <= 0)
            missing += "no slots: " + region.dump() + "; ";
        regions.insert(region["region"].get<std::string>());
    }
    if (regions.size() + 1 != static_cast<std::size_t>(m_shape.regions))
        missing += fmt::format("loads of {} other regions known; ", regions.size());
    return missing.empty() ? "" : missing + "status: " + text;
}

std::string Fleet::endedProcesses()
{
    std::string ended;
    for (const auto &[name, ports] : m_ports) {
        if (!isRunning(name))
            ended += "; process " + name + " has ended, see " + m_directory + "/" + name + ".log";
    }
    return ended;
}

void Fleet::waitReady(const std::string &entry)
{
    eventually(entry + " is ready", [&] {
        OutgoingRequest request;
        request.url = "http://" + callers(entry) + "/readyz";
        return sendAndWait(m_client, request).response.status == 200;
    });
}

ConfigDocument Fleet::document() const
{
    ConfigDocument document;
    document.author = "test";
    document.base.name = "base.yaml";
    std::string &base = document.base.text;
    base = "deployment: test\nregionOneWay: 80ms\nregions:\n";
    for (int r = 0; r < m_shape.regions; ++r)
        base += fmt::format("  {0}: {{dataCentres: [{0}1]}}\n", regionName(r));
    base += "services:\n"
            "  digest: {kind: model, model: m, deadline: 20s, expected: 100ms}\n"
            "  order: {kind: application, method: POST, path: /orders, idempotent: false, "
            "deadline: 10s, expected: 20ms}\n"
            "  status: {kind: application, path: /status, deadline: 5s, expected: 20ms}\n"
            "customers:\n";
    base += "  free: {tokenSha256: " + sha256Hex("free-token") + "}\n";
    base += "  homed: {tokenSha256: " + sha256Hex("homed-token") + ", regions: [a]}\n";
    base += m_shape.extraBaseText;
    for (int r = 0; r < m_shape.regions; ++r) {
        const std::string region = regionName(r);
        std::string text = "backendServers:\n";
        for (int i = 1; i <= m_shape.models; ++i)
            text += fmt::format("  {0}-m{1}: {{kind: model, dataCentre: {0}1, address: \"{2}\", "
                                "slots: 8, models: [m]}}\n",
                                region, i, address(region + "-m" + std::to_string(i)));
        for (int i = 1; i <= m_shape.applications; ++i)
            text += fmt::format("  {0}-a{1}: {{kind: application, dataCentre: {0}1, address: "
                                "\"{2}\", slots: 32, services: [order, status]}}\n",
                                region, i, address(region + "-a" + std::to_string(i)));
        document.overlays[region] = {"sites/" + region + ".yaml", text};
    }
    return document;
}

void Fleet::signal(const std::string &name, int number)
{
    REQUIRE(kill(m_pids.at(name), number) == 0);
}

int Fleet::stop(const std::string &name, int number)
{
    signal(name, number);
    int status = 0;
    waitpid(m_pids.at(name), &status, 0);
    m_pids.erase(name);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool Fleet::isRunning(const std::string &name)
{
    const auto found = m_pids.find(name);
    if (found == m_pids.end())
        return false;
    if (waitpid(found->second, nullptr, WNOHANG) == 0)
        return true;
    m_pids.erase(found);
    return false;
}

void Fleet::setFault(const std::string &standin, const std::string &mode, int count)
{
    OutgoingRequest request;
    request.method = "PUT";
    request.url
        = fmt::format("http://{}/standin/fault?mode={}&count={}", address(standin), mode, count);
    REQUIRE(sendAndWait(m_client, request).response.status == 200);
}

std::map<std::string, int> Fleet::runCounts(const std::string &engine)
{
    OutgoingRequest request;
    request.url = "http://" + address(engine) + "/standin/runs";
    const BufferedResponse answer = sendAndWait(m_client, request);
    return nlohmann::json::parse(answer.response.body).get<std::map<std::string, int>>();
}

int Fleet::totalRuns(const std::string &key)
{
    int total = 0;
    for (const auto &[name, ports] : m_ports) {
        if (name.find("-a") != std::string::npos && isRunning(name))
            total += runCounts(name)[key];
    }
    return total;
}

Reply Fleet::send(OutgoingRequest request)
{
    request.limits.firstByte = 60s;
    request.limits.idle = 60s;
    const BufferedResponse answer = sendAndWait(m_client, std::move(request));
    const Headers &headers = answer.response.headers;
    Reply reply;
    reply.status = answer.response.status;
    (void)absl::SimpleAtoi(headers.get("X-Result-Code").value_or("0"), &reply.code);
    (void)absl::SimpleAtoi(headers.get("Retry-After").value_or("0"), &reply.retryAfter);
    reply.runState = headers.get("X-Run-State").value_or("");
    reply.servedBy = headers.get("X-Served-By").value_or("");
    reply.requestId = headers.get("X-Request-Id").value_or("");
    reply.body = answer.response.body;
    reply.isComplete = answer.result.outcome == TransferOutcome::complete;
    return reply;
}

OutgoingRequest Fleet::chatRequest(const std::string &entry, bool stream, int tokens,
                                   const std::string &text, const std::string &token) const
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + callers(entry) + "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + token}};
    request.body = nlohmann::json{{"model", "m"},
                                  {"stream", stream},
                                  {"max_tokens", tokens},
                                  {"messages", {{{"role", "user"}, {"content", text}}}}}
                       .dump();
    return request;
}

OutgoingRequest Fleet::bookRequest(const std::string &entry, const std::string &key,
                                   const std::string &body, const std::string &token) const
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + callers(entry) + "/v1/services/order";
    request.headers = {{"Authorization", "Bearer " + token}, {"Idempotency-Key", key}};
    request.body = body;
    return request;
}

Reply Fleet::chat(const std::string &entry, bool stream, int tokens, const std::string &text,
                  const std::string &token)
{
    return send(chatRequest(entry, stream, tokens, text, token));
}

Reply Fleet::book(const std::string &entry, const std::string &key, const std::string &body,
                  const std::string &token)
{
    return send(bookRequest(entry, key, body, token));
}

Reply Fleet::readStatus(const std::string &entry, const std::string &token)
{
    OutgoingRequest request;
    request.url = "http://" + callers(entry) + "/v1/services/status";
    request.headers = {{"Authorization", "Bearer " + token}};
    return send(request);
}

std::string Fleet::callerKey()
{
    static Random random(20261203);
    return makeCallerKey(SystemClock().wallNow(), random);
}

std::string Fleet::issuedKey(const std::string &entry)
{
    OutgoingRequest request;
    request.url = "http://" + callers(entry) + "/v1/entries?keys=1";
    request.headers = {{"Authorization", "Bearer free-token"}};
    const Reply reply = send(request);
    return nlohmann::json::parse(reply.body).at("booking_keys").at(0);
}

std::string Fleet::adminStatus(const std::string &entry)
{
    OutgoingRequest request;
    request.url = "http://" + peers(entry) + "/admin/status";
    request.limits.total = 2s;
    return sendAndWait(m_client, request).response.body;
}

std::uint64_t Fleet::configVersion(const std::string &entry)
{
    const auto body = nlohmann::json::parse(adminStatus(entry), nullptr, false);
    return body.is_object() ? body.value("configVersion", std::uint64_t(0)) : 0;
}

} // namespace ibisnotch
