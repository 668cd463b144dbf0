// Starts real processes for tests: a store, backend servers and entry instances on free loopback
// ports.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ibisnotch/config.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

struct FleetShape
{
    int regions = 1; // named a, b, c
    int instances = 2; // per region, named a1, a2
    int models = 2; // model engines per region, named a-m1, a-m2
    int applications = 1; // application engines per region, named a-a1
    int tokenMs = 5; // time that a model engine takes per token
    std::string extraBaseText{}; // lines appended to the base file
    std::string extraSettings{}; // lines appended to the settings of each instance
};

// The parts of an instance's answer that tests check.
struct Reply
{
    int status = 0;
    int code = 0;
    std::string runState;
    std::string servedBy;
    std::string requestId;
    std::string body;
    bool isComplete = false;
    long retryAfter = 0;
};

class Fleet
{
public:
    explicit Fleet(FleetShape shape);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void start(const std::string &name);
    void signal(const std::string &name, int number);
    // Ends a process and returns its exit code, or minus the signal that ended it.
    int stop(const std::string &name, int number);
    bool isRunning(const std::string &name);
    pid_t pid(const std::string &name) const { return m_pids.at(name); }

    std::string callers(const std::string &entry) const { return address(entry, 0); }
    std::string peers(const std::string &entry) const { return address(entry, 1); }
    std::string address(const std::string &name, int portIndex = 0) const;

    // Makes the store or a backend server fail in the given mode; count limits the affected
    // requests.
    void setFault(const std::string &standin, const std::string &mode, int count = 0);
    // Returns how often the engine has run each booking key.
    std::map<std::string, int> runCounts(const std::string &engine);
    // Returns how often all running application engines have run a booking key.
    int totalRuns(const std::string &key);

    Reply send(OutgoingRequest request);
    Reply chat(const std::string &entry, bool stream, int tokens = 8,
               const std::string &text = "hello", const std::string &token = "free-token");
    Reply book(const std::string &entry, const std::string &key,
               const std::string &body = "{\"n\":1}", const std::string &token = "free-token");
    // Sends an idempotent request for the service "status".
    Reply readStatus(const std::string &entry, const std::string &token = "free-token");
    OutgoingRequest chatRequest(const std::string &entry, bool stream, int tokens,
                                const std::string &text, const std::string &token) const;
    OutgoingRequest bookRequest(const std::string &entry, const std::string &key,
                                const std::string &body, const std::string &token) const;

    std::string callerKey();
    std::string issuedKey(const std::string &entry);
    // Returns the body of /admin/status.
    std::string adminStatus(const std::string &entry);
    // Returns the lines of a process's log that contain the text.
    std::vector<std::string> logLines(const std::string &name, const std::string &text) const;
    std::uint64_t configVersion(const std::string &entry);

    // Returns the configuration with which the fleet starts.
    ConfigDocument document() const;
    Store &store() { return *m_store; }
    HttpClient &client() { return m_client; }
    void waitReady(const std::string &entry);

private:
    void assignPorts();
    void startAll();
    // Returns what the instance's status lacks of a settled fleet, followed by the status; empty if
    // the instance knows everything.
    std::string describeMissing(const std::string &entry);
    std::string endedProcesses();
    std::vector<std::string> makeCommand(const std::string &name) const;
    std::string instanceSettings(const std::string &name) const;
    std::vector<std::string> instanceNames() const;

    FleetShape m_shape;
    std::string m_directory;
    std::map<std::string, std::vector<int>> m_ports;
    std::map<std::string, pid_t> m_pids;
    HttpClient m_client;
    std::unique_ptr<Store> m_store;
};

// Polls until the condition holds. Fails the test if it doesn't hold within a minute, with the
// evidence in the message.
void eventually(const std::string &what, const std::function<bool()> &condition,
                const std::function<std::string()> &evidence = {});

} // namespace ibisnotch
