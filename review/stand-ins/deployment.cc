#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace review {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

const Clock::time_point startedAt = Clock::now();
std::mutex recordMutex;
std::mutex processMutex;
std::vector<pid_t> processes;
std::mutex runsMutex;
std::map<std::string, std::vector<std::string>> runs;

constexpr int endedByAlarmAfterS = 110;
// Members that have just started don't know each other yet.
constexpr int settleMs = 3500;

void endProcesses()
{
    const std::lock_guard lock(processMutex);
    for (const pid_t process : processes)
        kill(process, SIGKILL);
    for (const pid_t process : processes)
        waitpid(process, nullptr, 0);
    processes.clear();
}

void onAlarm(int)
{
    for (const pid_t process : processes)
        kill(process, SIGKILL);
    _exit(exitCouldNotRun);
}

const std::map<std::string, std::string> &regionsOfZones()
{
    static const std::map<std::string, std::string> regions{
        {"brno-a", "cz-brno"}, {"praha-a", "cz-praha"}, {"ostrava-a", "cz-ostrava"}};
    return regions;
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void finish(int code, const std::string &reason)
{
    record("end: exit " + std::to_string(code) + ": " + reason);
    std::printf("exit %d: %s\n", code, reason.c_str());
    std::fflush(stdout);
    endProcesses();
    _exit(code);
}

void record(const std::string &line)
{
    static std::ofstream file("record.txt");
    const std::lock_guard lock(recordMutex);
    const auto ms
        = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
    file << ms << " ms  " << line << std::endl;
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Server::Server(std::string name, std::string service)
    : m_name(std::move(name)), m_service(std::move(service)),
      m_listener([this](Connection &connection) { serve(connection); })
{
}

void Server::setBehaviour(Behaviour behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_behaviour = std::move(behaviour);
}

std::string Server::stampOf(const std::string &body) const
{
    return m_name + "." + std::to_string(std::hash<std::string>()(body));
}

std::string Server::head(const Request &request, int status, const std::string &body,
                         const std::string &more) const
{
    return "HTTP/1.1 " + std::to_string(status)
        + " OK\r\nX-Ibisnotch-Request-Id: " + fieldValue(request.fields, "X-Ibisnotch-Request-Id")
        + "\r\nX-Ibisnotch-Server-Stamp: " + stampOf(body)
        + "\r\nX-Ibisnotch-Instance-Id: " + m_name + "\r\nX-Ibisnotch-Instance-Load: 1,0,6\r\n"
        + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
}

void Server::serve(Connection &connection)
{
    for (int number = 1;; ++number) {
        const auto request = connection.readRequest();
        if (!request)
            return;
        const std::string expected = fieldValue(request->fields, "X-Ibisnotch-Expect-Instance");
        if (request->target == "/healthz" || request->target == "/ibisnotch/report") {
            connection.send(head(*request, 200, "{}") + "{}");
            continue;
        }
        if (!expected.empty() && expected != m_name) {
            connection.send(head(*request, 421, "", "X-Ibisnotch-Not-Run: 1\r\n"));
            continue;
        }
        Runs::add(fieldValue(request->fields, "X-Ibisnotch-Request-Id"), m_name);
        Behaviour behaviour;
        {
            const std::lock_guard lock(m_mutex);
            behaviour = m_behaviour;
        }
        if (behaviour) {
            if (!behaviour(connection, *request, number))
                return;
            continue;
        }
        const std::string body = "answer to " + request->target;
        connection.send(head(*request, 200, body) + body);
    }
}

void Runs::add(const std::string &request, const std::string &server)
{
    record("server " + server + " runs " + request);
    const std::lock_guard lock(runsMutex);
    runs[request].push_back(server);
}

std::map<std::string, std::vector<std::string>> Runs::all()
{
    const std::lock_guard lock(runsMutex);
    return runs;
}

Deployment::Deployment(std::string entryProgram, std::string folder)
    : m_entryProgram(std::move(entryProgram)), m_folder(std::move(folder))
{
    signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGALRM, SIGTERM, SIGINT})
        signal(number, onAlarm);
    alarm(endedByAlarmAfterS);
}

void Deployment::addServer(std::string name, std::string service, std::string zone)
{
    m_zones[name] = std::move(zone);
    servers.push_back(std::make_unique<Server>(std::move(name), std::move(service)));
}

void Deployment::addInstance(const std::string &name, const std::string &zone)
{
    const std::vector<int> ports = freePorts(6);
    Instance instance{name, regionsOfZones().at(zone), zone, {}, 0};
    std::size_t next = 0;
    for (const char *use : {"callers", "ready", "directory", "gossip", "peers", "metrics"})
        instance.ports[use] = ports[next++];
    instances.push_back(std::move(instance));
}

// The same as deploy/settings.yaml, filled in with the values of a small deployment.
void Deployment::writeSettings(const Instance &instance) const
{
    std::ofstream file(m_folder + "/" + instance.name + ".yaml");
    file << "interfaces: platform\nname: " << instance.name << "\nregion: " << instance.region
         << "\ndataCentre: " << instance.zone << "\n";
    for (const auto &[use, port] : instance.ports)
        file << use << ": \"127.0.0.1:" << port << "\"\n";
    file << "store: \"127.0.0.1:" << store.port() << "\"\nseeds: [";
    for (std::size_t i = 0; i < instances.size() && i < 3; ++i)
        file << (i == 0 ? "" : ",") << "\"127.0.0.1:" << instances[i].ports.at("gossip") << "\"";
    file << "]\ndataCentres:\n";
    for (const auto &[zone, region] : regionsOfZones())
        file << "  " << zone << ": {region: " << region << " }\n";
    file << "killedAfter: 8s\nworkers: 1\nidleTimeout: 20s\nmaxConnections: 3000\n"
            "retries:\n  share: 0.2\n  slack: 58\nbuffers:\n  memoryMb: 260\n"
            "warmup:\n  factor: 1.5\n  slack: 3\nserveOn: 2700ms\n"
            "features:\n  regionPlan: true\n  prefixWeighing: true\n  customerShares: true\n"
            "  bufferLimits: true\n";
}

void Deployment::startInstance(Instance &instance) const
{
    const std::string settings = m_folder + "/" + instance.name + ".yaml";
    const std::string log = m_folder + "/" + instance.name + ".log";
    std::string program = m_entryProgram;
    std::string option = "--settings";
    std::string path = settings;
    char *arguments[] = {program.data(), option.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int error
        = posix_spawn(&instance.process, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        finish(exitCouldNotRun, program + " could not be started");
    const std::lock_guard lock(processMutex);
    processes.push_back(instance.process);
}

bool Deployment::isReady(const Instance &instance)
{
    constexpr int answerMs = 1000;
    const auto connection = connectTo(instance.ports.at("ready"));
    if (!connection)
        return false;
    connection->send("GET /ibisnotch/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    return connection->readResponse(answerMs).status == 200;
}

void Deployment::start(const json &routes)
{
    std::map<std::string, json> services;
    for (const auto &server : servers) {
        services[server->service()] = {{"Name", server->service()},
                                       {"HealthPath", "/healthz"},
                                       {"MaxConns", 110},
                                       {"WarmupS", 3.0},
                                       {"WarmupPerS", 2.4}};
        const json entry{{"Service", server->service()},
                         {"Addr", "127.0.0.1:" + std::to_string(server->port())},
                         {"Zone", m_zones[server->name()]},
                         {"Version", "v1"},
                         {"Slots", 6},
                         {"State", "ready"},
                         {"WarmupLeftMs", 0},
                         {"Sequence", 1}};
        store.put("servers/" + server->name(), entry);
    }
    json listed = json::array();
    for (const auto &[name, service] : services)
        listed.push_back(service);
    store.put("op/config",
              {{"Version", 7},
               {"Routes", routes},
               {"Services", listed},
               {"Limits",
                {{"HeaderBytes", 16384},
                 {"MaxBodyBytes", 4194304},
                 {"HeaderTimeoutMs", 3000},
                 {"IdleTimeoutMs", 15000}}}});
    for (Instance &instance : instances)
        writeSettings(instance);
    for (Instance &instance : instances)
        startInstance(instance);
    constexpr int readyTries = 200;
    for (const Instance &instance : instances) {
        int tries = 0;
        while (!isReady(instance)) {
            if (++tries > readyTries)
                finish(exitCouldNotRun, instance.name + " does not become ready");
            sleepMs(50);
        }
    }
    sleepMs(settleMs);
    record("all instances are ready");
}

json makeRoute(const std::string &name, const std::string &service, const std::string &kind,
               int timeoutMs, int attempts)
{
    return {{"Name", name},  {"Host", "orders.example"}, {"Prefix", "/" + name + "/"},
            {"Kind", kind},  {"TimeoutMs", timeoutMs},   {"TargetLatencyMs", 400},
            {"Priority", 2}, {"Service", service},       {"Attempts", attempts}};
}

std::string newRequestId()
{
    static std::atomic<unsigned> last = 0;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()), ++last);
    return text;
}

std::string makeRequest(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, const std::string &body)
{
    std::string text = method + " " + path
        + " HTTP/1.1\r\nHost: orders.example\r\nX-Ibisnotch-Request-Id: " + id
        + "\r\nX-Ibisnotch-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace review
