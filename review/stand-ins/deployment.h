// A small deployment: a store, backend servers and entry instances. The instances are separate
// processes, started with the deploy file's command; the rest are threads of this program.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

// Exit codes of a scenario.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

// Returns whether the environment variable TROUBLE asks for the disruption, as it does by default.
bool hasTrouble();

// Ends all instances and this program.
[[noreturn]] void finish(int code, const std::string &reason);

// Writes a line to the record file, with the time since the program started.
void record(const std::string &line);

void sleepMs(int milliseconds);

// A sound backend server, except for what its behaviour does.
class Server
{
public:
    // Answers a request that the server has begun to run. The number counts the requests on the
    // connection. Returns false to close the connection.
    using Behaviour = std::function<bool(Connection &, const Request &, int number)>;

    Server(std::string name, std::string service);

    const std::string &name() const { return m_name; }
    const std::string &service() const { return m_service; }
    int port() const { return m_listener.port(); }
    void setBehaviour(Behaviour behaviour);
    // Fields of a response to the request, with the server's stamp of the body, and a blank line.
    std::string head(const Request &request, int status, const std::string &body,
                     const std::string &more = "") const;
    std::string stampOf(const std::string &body) const;

private:
    void serve(Connection &connection);

    const std::string m_name;
    const std::string m_service;
    std::mutex m_mutex;
    Behaviour m_behaviour; // a sound server if empty
    Listener m_listener; // last, as its threads use the rest
};

struct Instance
{
    std::string name;
    std::string region;
    std::string zone;
    std::map<std::string, int> ports;
    pid_t process = 0;
};

// Which servers ran which request, by the requester's id.
class Runs
{
public:
    static void add(const std::string &request, const std::string &server);
    static std::map<std::string, std::vector<std::string>> all();
};

class Deployment
{
public:
    explicit Deployment(std::string entryProgram, std::string folder);

    void addServer(std::string name, std::string service, std::string zone);
    void addInstance(const std::string &name, const std::string &zone);
    // Writes the configuration and the list of servers, starts the instances and waits until they
    // are ready and have settled.
    void start(const nlohmann::json &routes);

    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Instance> instances;

private:
    void writeSettings(const Instance &instance) const;
    void startInstance(Instance &instance) const;
    static bool isReady(const Instance &instance);

    const std::string m_entryProgram;
    const std::string m_folder;
    std::map<std::string, std::string> m_zones; // of servers
};

// Returns a route as the operator writes it.
nlohmann::json makeRoute(const std::string &name, const std::string &service,
                         const std::string &kind, int timeoutMs, int attempts);

// Returns a new request of a requester, and its id.
std::string newRequestId();
std::string makeRequest(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, const std::string &body);

} // namespace review
