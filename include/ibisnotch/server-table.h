// What an instance knows of the backend servers of its region, and which of them may get work.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"

namespace ibisnotch {

// One report of a backend server's load, first hand or through another instance.
struct LoadReport
{
    std::string server;
    std::uint64_t incarnation = 0; // start time of the server's process, wall time in ms
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t ageMs = 0; // when sent
    bool leaving = false;
    bool reachable = true; // false: the probe failed

    bool operator==(const LoadReport &) const = default;
};

// A report as it travels, in 19 bytes: control traffic has a budget, and reports are most of it.
struct CompactLoad
{
    std::uint32_t server = 0; // serverId of its name
    std::uint64_t incarnation = 0;
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    std::uint16_t age = 0; // in units of 10 ms
    std::uint8_t flags = 0;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(server, incarnation, running, waiting, age, flags);
    }
    bool operator==(const CompactLoad &) const = default;
};

// Names a server of a site; a configuration in which two of a site share one is refused.
std::uint32_t serverId(std::string_view name);

CompactLoad compactLoad(const LoadReport &report);

// Counts that change with each request; shared by successive routing tables.
struct ServerCounters
{
    std::atomic<int> inFlight = 0; // sent by this instance and not yet over
    std::atomic<int> sentSinceReport = 0;
    std::atomic<int> endedSinceReport = 0;
    std::atomic<Duration::rep> lastSentAt = 0; // the last request to the server
    // While it may have turned cold unnoticed (warmup.h): requests sent, how many of them were sent
    // before the last look that found it warm, and when that look was answered.
    std::atomic<std::uint32_t> possiblyColdSent = 0;
    std::atomic<std::uint32_t> possiblyColdVerified = 0;
    std::atomic<Duration::rep> confirmedWarmAt = 0;
    // Of prompts sent whose first token is not there yet, and what first tokens have shown.
    std::atomic<int> awaitingFirstToken = 0;
    std::atomic<double> tokensPerMs = 0; // the engine's reading rate; 0: not known
    std::atomic<double> msPerWaitingRequest
        = 0; // smoothed, for each request ahead of a prompt; 0: not known
    // Of streams (stream-statistics.h).
    std::atomic<double> eventIntervalSeconds = 0; // smoothed, between two events; 0: not known
    std::atomic<Duration::rep> lastEventAt = 0;
    // For telling a silent server (silence.h): streams that have begun, the last byte from it, and
    // when this instance began to wait for one.
    std::atomic<int> awaitedRequests = 0; // requests under way that count
    std::atomic<int> awaitedStreams = 0; // of those, the ones whose stream has begun
    std::atomic<std::uint32_t> recoveryEpoch
        = 0; // rises each time the server is taken for sound again
    std::atomic<Duration::rep> recoveredAt = 0; // when it last rose
    std::atomic<Duration::rep> lastReceivedAt = 0;
    std::atomic<Duration::rep> lastAnsweredAt
        = 0; // to any instance of the region, as far as is known
    std::atomic<Duration::rep> waitingSince = 0;
    std::atomic<Duration::rep> healthCheckSentAt = 0; // whether it lives, by this instance
    std::atomic<Duration::rep> healthCheckPassedAt = 0; // when such a question was last answered
    std::atomic<Duration::rep> healthCheckFailedAt = 0; // when one last got no answer
    std::atomic<bool> trialInProgress = false; // the one request that tries an ejected server again
};

// An entry of the platform's list of instances. The list lags, so it may still name a server that
// has been restarted since.
struct LeavingNotice
{
    std::string server;
    std::uint64_t sinceMs = 0; // wall time, comparable with a server's incarnation
    bool operator==(const LeavingNotice &) const = default;
};

// A backend server as the platform's list of live servers has it.
struct ListedServer
{
    BackendServer server;
    bool leaving = false;
    // What is left of the time in which it bears only its pool's warm-up rate, at the time of the
    // entry's last change.
    Duration warmup{};
    std::uint64_t revision = 0; // of the entry; rises with each change
    TimePoint
        missingSince{}; // the entry vanished, but its server may be back; default: it is there
    bool operator==(const ListedServer &) const = default;
};

// A server is cold, as it told the instance that asked it.
struct ColdUpdate
{
    std::uint32_t server = 0; // serverId of its name
    std::uint32_t remainingMs = 0;

    template <typename Archive> void serialize(Archive &archive) { archive(server, remainingMs); }
    bool operator==(const ColdUpdate &) const = default;
};

// How new the list of servers is.
struct ListState
{
    std::uint64_t revision = 0; // up to which all changes are known
    TimePoint confirmedAt{}; // when that was last confirmed
    // After that long without news, it may miss what changed. A watch of the store ends after four
    // seconds, also when nothing has changed.
    Duration maxAge = std::chrono::seconds(5);
    bool operator==(const ListState &) const = default;
};

enum class ServerStatus { usable, trial, ejected, leaving, unreachable };

// What an attempt tells about its server.
enum class AttemptHealth {
    good,
    failed,
    notConnected, // the server's process is gone; one such attempt is enough
};

std::string_view serverStatusName(ServerStatus status);

// One backend server as a request sees it.
struct ServerView
{
    BackendServer server;
    ServerStatus status = ServerStatus::usable;
    double reportedLoad = 0; // running and waiting, by the last report
    double waiting = 0; // of those, the ones whose prompts were still to be read
    TimePoint reportedAt{};
    std::uint64_t incarnation = 0;
    TimePoint coldSince{}; // when this instance heard of it
    TimePoint coldUntil{};
    TimePoint cooldownUntil{}; // gets nothing before
    TimePoint missingSince{}; // its entry of the list vanished; default: it is there
    std::shared_ptr<ServerCounters> counters;
};

// A backend server of another region, which only that region's instances reach.
struct RemoteServer
{
    std::string name;
    std::string region;
    std::string pool;
    bool operator==(const RemoteServer &) const = default;
};

// Immutable; replaced as a whole.
struct RoutingTable
{
    std::shared_ptr<const FleetConfig> config;
    std::vector<ServerView> servers;
    std::vector<RemoteServer> remote; // that may get work
    ListState list;
    // How much traffic all instances of the region send to these servers, for each request of this
    // one.
    double trafficFactor = 1;
    std::vector<std::string> senders; // instances that may send to these servers
};

// The reported load, corrected by what this instance sent and saw end since the report, and by what
// the others are taken to have sent meanwhile.
double correctedLoad(const ServerView &view, double trafficFactor);

// Builds routing tables from configuration, reports and the ends of attempts. Thread safe.
class ServerTable
{
public:
    struct Limits
    {
        int failuresToEject = 3;
        Duration firstEjectionTime = std::chrono::seconds(5);
        Duration maxEjectionTime = std::chrono::seconds(60);
        Duration reportMaxAge = std::chrono::seconds(10);
        // A server that is silent again so soon after a health check has a check that lies.
        Duration relapseWindow = std::chrono::seconds(10);
        // Of a server that was found cold late: what others sent in the last second is not known.
        Duration coldCooldown = std::chrono::milliseconds(1060);
    };

    explicit ServerTable(Limits limits) : m_limits(limits) { }

    void setConfig(std::shared_ptr<const FleetConfig> config);
    // Replaces the servers of the platform's list; those that stay keep what is known of them.
    void setListed(std::map<std::string, ListedServer> listed, TimePoint now);
    void setListState(const ListState &state);
    void setRemote(std::vector<RemoteServer> remote);
    // Data centres whose servers get nothing for now.
    void setEvacuated(std::set<std::string> dataCentres);
    // The instances of the region that may send to its servers, this one included.
    void setSenders(std::vector<std::string> senders);

    // What a server says with an answer about its load.
    void onAnswerLoad(const std::string &server, std::uint32_t running, std::uint32_t waiting,
                      TimePoint now);

    // Reports since the last call, for other instances of the region; only those that came with
    // answers to this one, unless `includeRelayed`.
    std::vector<CompactLoad> collectNewReports(TimePoint now, std::size_t maxCount,
                                               bool includeRelayed);
    // Returns true if the report changed whether the server may get work.
    bool onReport(const LoadReport &report, TimePoint now);
    // The same for a report that came from another instance; unknown servers are ignored.
    bool onReport(const CompactLoad &load, TimePoint now);
    // The platform's list says that these servers are leaving.
    void onLeavingList(const std::vector<LeavingNotice> &notices);
    // A server says with an answer that it is leaving.
    void onSelfReportedLeaving(const std::string &server);

    void onAttempt(const std::string &server, AttemptHealth health, TimePoint now);
    // A server from which nothing comes any more gets nothing for a while.
    void onSilence(std::uint32_t server, TimePoint now);
    // It was heard again. After a health check that was followed by silence once more, the next one
    // is not believed, and the server has to show itself by a trial.
    void onRecovered(std::uint32_t server, TimePoint now);

    // A server bears only its pool's warm-up rate for this long. True if it was not known as cold.
    bool onCold(std::uint32_t server, Duration left, TimePoint now);

    // The state of an operator's drain.
    void setDrained(const std::string &server, bool drained);

    RoutingTable routingTable(TimePoint now) const;
    std::vector<CompactLoad> reports(TimePoint now, std::size_t maxCount,
                                     std::size_t &cursor) const;

private:
    struct Record
    {
        BackendServer server;
        LoadReport report;
        TimePoint reportedAt{};
        bool everReported = false;
        bool receivedDirectly = false; // the report came with an answer to this instance
        TimePoint lastSharedReportAt{}; // of the last report that was told to others
        bool leaving = false; // latched for this incarnation
        std::uint64_t leavingNoticeMs = 0; // of the platform's list
        bool drained = false;
        int failures = 0;
        int ejections = 0;
        TimePoint ejectedUntil{};
        TimePoint recoveredAt{};
        bool needsTrial = false;
        std::uint64_t revision = 0; // of the platform's list
        TimePoint coldSince{};
        TimePoint coldUntil{};
        TimePoint cooldownUntil{};
        TimePoint missingSince{};
        std::shared_ptr<ServerCounters> counters;
    };

    void recordTraffic(double reported, double own);
    static CompactLoad compact(const Record &record, TimePoint now);
    void eject(Record &record, TimePoint now);
    Record *find(std::uint32_t server); // with the lock held; null if unknown
    ServerStatus statusOf(const Record &record, TimePoint now) const;
    static void recordCold(Record &record, Duration left, TimePoint now);
    static void startIncarnation(Record &record, const LoadReport &report);

    Limits m_limits;
    mutable std::mutex m_mutex;
    void rebuild(TimePoint now);

    std::shared_ptr<const FleetConfig> m_config;
    std::map<std::string, ListedServer> m_listed;
    ListState m_listState;
    std::vector<RemoteServer> m_remote;
    std::set<std::string> m_evacuated;
    std::map<std::string, Record> m_records;
    std::map<std::uint32_t, std::string> m_names;
    // Servers that said themselves until when they are cold. An entry of the list that is read late
    // may be older than that, and may be gone and back meanwhile.
    std::map<std::string, TimePoint> m_selfReportedCold;
    std::vector<std::string> m_senders;
    double m_reportedTraffic = 0; // both smoothed over reports
    double m_ownTraffic = 0;
};

} // namespace ibisnotch
