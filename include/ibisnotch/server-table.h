// The load and status of the backend servers of one region, as one instance knows them, and the
// immutable routing tables built from that.
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
#include "ibisnotch/server-statement.h"

namespace ibisnotch {

// A report of a backend server's load, received from the server itself or through another
// instance.
struct LoadReport
{
    std::string server;
    std::uint64_t incarnation = 0; // start time of the server's process, wall time in ms
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t ageMs = 0; // age of the report when it was sent
    bool leaving = false;
    bool reachable = true; // false if the probe failed

    bool operator==(const LoadReport &) const = default;
};

// The wire format of a LoadReport. It takes 19 bytes because control traffic has a budget and
// reports are most of that traffic.
struct CompactLoad
{
    std::uint32_t server = 0; // serverId() of its name
    std::uint64_t incarnation = 0;
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    std::uint16_t age = 0; // in units of 10 ms
    std::uint8_t flags = 0; // leaving and unreachable

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(server, incarnation, running, waiting, age, flags);
    }
    bool operator==(const CompactLoad &) const = default;
};

// Returns a hash of the server's name. A configuration in which two servers of a site have the same
// hash is rejected.
std::uint32_t serverId(std::string_view name);

// Converts a report to its wire format. Values that don't fit are replaced by the largest that
// does.
CompactLoad compactLoad(const LoadReport &report);

// Counters and times of one server that change with each request. Successive routing tables share
// them. All times are time_since_epoch() of a TimePoint; 0 means never.
struct ServerCounters
{
    std::atomic<int> inFlight = 0; // requests sent by this instance that haven't finished
    std::atomic<int> sentSinceReport = 0;
    std::atomic<int> endedSinceReport = 0;
    std::atomic<Duration::rep> lastSentAt = 0; // when this instance last sent a request

    // Used while the server is possibly cold (see warmup.h).
    std::atomic<std::uint32_t> possiblyColdSent = 0; // requests sent in that state
    // Value of possiblyColdSent when the last health check that found the server warm was sent.
    std::atomic<std::uint32_t> possiblyColdVerified = 0;
    std::atomic<Duration::rep> confirmedWarmAt = 0; // when that check was answered

    // Speed at which the engine reads prompts (see read-delay.h).
    std::atomic<int> awaitingFirstToken = 0; // prompts sent whose first token hasn't arrived
    std::atomic<double> tokensPerMs = 0; // reading rate; 0 if unknown
    // Smoothed delay that each request ahead of a prompt adds; 0 if unknown.
    std::atomic<double> msPerWaitingRequest = 0;

    // Speed of streams (see stream-statistics.h).
    std::atomic<double> eventIntervalSeconds = 0; // between two events, smoothed; 0 if unknown
    std::atomic<Duration::rep> lastEventAt = 0;

    // How long work takes on the server's machine (see server-speed.h). The percentages are 100 for
    // work that takes as long as usual, and 0 while unknown.
    std::atomic<double> slowdownPercent = 0; // as last stated
    std::atomic<double> meanSlowdown = 0; // the factor, smoothed over seconds; 0 if unknown
    std::atomic<Duration::rep> slowdownStatedAt = 0;
    std::atomic<bool> slowdownStatedHere = false; // in a response to this instance
    std::atomic<double> slowdownSharedPercent = 0; // as last shared with the region
    std::atomic<Duration::rep> slowdownSharedAt = 0;
    std::atomic<Duration::rep> invalidSlowdownLoggedAt = 0;
    // Event interval relative to that of the pool, smoothed.
    std::atomic<double> relativePace = 1;
    std::atomic<int> paceSamples = 0; // limited

    // Used to detect a silent server (see silence.h).
    std::atomic<int> awaitedRequests = 0; // unfinished requests sent in this recovery epoch
    std::atomic<int> awaitedStreams = 0; // of these, the ones whose stream has begun
    std::atomic<std::uint32_t> recoveryEpoch = 0; // rises each time the server has recovered
    std::atomic<Duration::rep> recoveredAt = 0; // when recoveryEpoch last rose
    std::atomic<Duration::rep> lastReceivedAt = 0; // when a byte of any response last arrived
    // When the server last responded to any instance of the region, according to the reports
    // received so far.
    std::atomic<Duration::rep> lastRespondedAt = 0;
    std::atomic<Duration::rep> waitingSince = 0; // when awaitedRequests last rose from zero
    // Status checks that this instance sent because the server was silent.
    std::atomic<Duration::rep> statusCheckSentAt = 0;
    std::atomic<Duration::rep> statusCheckPassedAt = 0;
    std::atomic<Duration::rep> statusCheckFailedAt = 0;
    std::atomic<int> statusCheckFailures = 0; // in a row, without a sign of life in between
    std::atomic<bool> trialInProgress = false; // see ServerTrial

    // What the server's process said of itself. Routing tables are published a little later, and
    // other threads would send to the server until then.
    std::atomic<bool> saidLeaving = false;
    std::atomic<Duration::rep> restsUntil = 0; // it wants no requests of this instance before then
    std::atomic<bool> saidInvalidRest = false;

    // When the server last sent this instance the answer to another request; 0 if never.
    std::atomic<Duration::rep> foreignAnswerAt = 0;
};

// Which pooled connections to a server may be used.
struct ConnectionReuse
{
    bool isAllowed = true;
    std::chrono::seconds maxAge{0}; // since they were established; 0 for any
    bool operator==(const ConnectionReuse &) const = default;
};

// A server that has answered twice probably does so again, and each second answer fails the request
// that is next on its connection. For this time each request uses a connection of its own, and
// connections that were established before are never used again.
constexpr Duration foreignAnswerTime = std::chrono::seconds(10);

void recordForeignAnswer(ServerCounters &counters, TimePoint now);
ConnectionReuse connectionReuse(const ServerCounters &counters, TimePoint now);

// Returns whether the server has asked this instance to send nothing now.
bool isResting(const ServerCounters &counters, TimePoint now);

// A server that the platform's list of instances shows as leaving. The list may be outdated: the
// server may have been restarted since.
struct LeavingNotice
{
    std::string server;
    std::uint64_t sinceMs = 0; // wall time, comparable with a server's incarnation
    bool operator==(const LeavingNotice &) const = default;
};

// An entry of the platform's list of live servers.
struct ListedServer
{
    BackendServer server;
    std::uint64_t incarnation = 0; // as in LoadReport; 0 if the entry doesn't tell it
    bool leaving = false;
    // Remaining time in which the server can handle only its pool's warm-up rate, as of the entry's
    // last change.
    Duration warmup{};
    std::uint64_t revision = 0; // of the entry; rises with each change
    // When the entry was removed while its server may still be running; default if it exists.
    TimePoint missingSince{};
    bool operator==(const ListedServer &) const = default;
};

// Message between instances: a server reported in a health check that it is cold.
struct ColdUpdate
{
    std::uint32_t server = 0; // serverId() of its name
    std::uint32_t remainingMs = 0; // time until it is warm

    template <typename Archive> void serialize(Archive &archive) { archive(server, remainingMs); }
    bool operator==(const ColdUpdate &) const = default;
};

// Message between instances: how long work takes on a server's machine.
struct CompactSpeed
{
    std::uint32_t server = 0; // serverId() of its name
    std::uint16_t percent = 0; // 100 if work takes as long as usual
    std::uint16_t age = 0; // in units of 10 ms

    template <typename Archive> void serialize(Archive &archive) { archive(server, percent, age); }
    bool operator==(const CompactSpeed &) const = default;
};

// How current the list of servers is.
struct ListState
{
    std::uint64_t revision = 0; // all changes up to this one are known
    TimePoint confirmedAt{}; // when the store or a peer last confirmed that
    // A list that hasn't been confirmed for this long may lack changes. A watch of the store
    // returns within four seconds even if nothing changes.
    Duration maxAge = std::chrono::seconds(5);
    bool operator==(const ListState &) const = default;
};

enum class ServerStatus {
    usable,
    trial, // the ejection has expired; one request tests the server
    ejected,
    leaving, // also if drained by an operator or in an evacuated data centre
    unreachable, // the last probe failed
};

// What an attempt shows about the health of its server.
enum class AttemptHealth {
    good,
    failed,
    notConnected, // no process accepts connections; ejects the server at once
};

std::string_view serverStatusName(ServerStatus status);

// The state of one backend server in a routing table.
struct ServerView
{
    BackendServer server;
    ServerStatus status = ServerStatus::usable;
    double reportedLoad = 0; // requests running and waiting in the last report
    double waiting = 0; // of these, requests whose prompts weren't read yet
    TimePoint reportedAt{};
    std::uint64_t incarnation = 0;
    TimePoint coldSince{}; // when this instance learned that the server is cold
    TimePoint coldUntil{};
    TimePoint cooldownUntil{}; // no requests are sent before this
    TimePoint missingSince{}; // as in ListedServer
    // Requests a second that the server accepts from all instances together; 0 if it named no
    // limit.
    double requestLimit = 0;
    std::shared_ptr<ServerCounters> counters;
};

// A backend server of another region. Only instances of that region connect to it.
struct RemoteServer
{
    std::string name;
    std::string region;
    std::string pool;
    std::string softwareVersion;
    bool operator==(const RemoteServer &) const = default;
};

// Snapshot of what routing decisions need. Immutable; replaced as a whole.
struct RoutingTable
{
    std::shared_ptr<const FleetConfig> config;
    std::vector<ServerView> servers;
    std::vector<RemoteServer> remote; // servers of other regions that accept requests
    ListState list;
    // Estimated number of requests that all instances of the region send to these servers for each
    // request that this instance sends.
    double trafficFactor = 1;
    std::vector<std::string> senders; // names of the instances that may send to these servers
    bool sendersComplete = false; // false while this instance may not know all of them
};

// Returns the reported load plus an estimate of its change since the report: the requests that this
// instance sent, less those that have finished, times the traffic factor.
double correctedLoad(const ServerView &view, double trafficFactor);

// Builds routing tables from the configuration, the platform's lists, load reports and the outcomes
// of attempts. Thread safe.
class ServerTable
{
public:
    struct Limits
    {
        int failuresToEject = 3;
        Duration firstEjectionTime = std::chrono::seconds(5);
        Duration maxEjectionTime = std::chrono::seconds(60);
        Duration reportMaxAge = std::chrono::seconds(10);
        // A server that is silent again within this time after a health check passes the check
        // without doing any work; it then needs a trial request.
        Duration relapseWindow = std::chrono::seconds(10);
        // Time without requests after a server in use is first known to be cold, since it isn't
        // known what the other instances sent to it in the last second.
        Duration coldCooldown = std::chrono::milliseconds(1060);
    };

    explicit ServerTable(Limits limits) : m_limits(limits) { }

    void setConfig(std::shared_ptr<const FleetConfig> config);
    // Replaces the servers of the platform's list. Servers that stay listed keep their state.
    void setListed(std::map<std::string, ListedServer> listed, TimePoint now);
    void setListState(const ListState &state);
    void setRemote(std::vector<RemoteServer> remote);
    // Sets the data centres whose servers get no requests.
    void setEvacuated(std::set<std::string> dataCentres);
    // Sets the instances of the region that may send to its servers, including this one.
    // `complete` is false while there may be more. Returns true if that is a change.
    bool setSenders(std::vector<std::string> senders, bool complete);

    // Records the load that a server reported in a response to this instance.
    void onResponseLoad(const std::string &server, std::uint32_t running, std::uint32_t waiting,
                        TimePoint now);

    // Returns up to `maxCount` reports that haven't been shared with the other instances of the
    // region, those of the servers shared least recently first, and marks them as shared. Reports
    // received through other instances are returned only if `includeRelayed` is set.
    std::vector<CompactLoad> collectNewReports(TimePoint now, std::size_t maxCount,
                                               bool includeRelayed);
    // Returns up to `maxCount` slowdowns that are news for the other instances of the region, and
    // marks them as shared. Those received through other instances are returned only if
    // `includeRelayed` is set.
    std::vector<CompactSpeed> collectNewSpeeds(TimePoint now, std::size_t maxCount,
                                               bool includeRelayed);
    // Records a slowdown that another instance heard. Unknown servers are ignored.
    // `mustRelay` is set on the instance that sends the slowdowns on to the others.
    void onSpeed(const CompactSpeed &speed, TimePoint now, bool mustRelay);
    // Records a report. Returns true if it changed the status of the server.
    bool onReport(const LoadReport &report, TimePoint now);
    // The same for a report from another instance. Reports of unknown servers are ignored.
    bool onReport(const CompactLoad &load, TimePoint now);
    // Called when the platform's list shows that these servers are leaving.
    void onLeavingList(const std::vector<LeavingNotice> &notices);
    // Called when a server says in a response that it is leaving. Returns true if that is news.
    bool onSelfReportedLeaving(const Speaker &speaker, TimePoint now);

    // Called when a server asks this instance in a response to send nothing before `until`. Returns
    // true if it did not rest before. It says nothing of the other instances.
    bool onRest(const Speaker &speaker, TimePoint until, TimePoint now);

    // Records the outcome of an attempt and ejects a server that fails repeatedly.
    void onAttempt(const std::string &server, AttemptHealth health, TimePoint now);
    // Sets whether the server gets no new requests of this instance, without counting as ejected.
    void setDoubted(std::uint32_t server, bool doubted);
    // Ejects a silent server.
    void onSilence(std::uint32_t server, TimePoint now);
    // Called when a silent server responds again, also to a health check. Ends the ejection, unless
    // the server was ejected within Limits::relapseWindow of its last recovery and needs a trial.
    void onRecovered(std::uint32_t server, TimePoint now);

    // Called when a server reports that it can handle only its pool's warm-up rate for this long.
    // Returns true if it wasn't known to be cold.
    bool onCold(std::uint32_t server, Duration remaining, TimePoint now);

    // Sets the limit that a server names, in requests a second; 0 if it names none.
    void setRequestLimit(std::uint32_t server, double perSecond);

    // Sets whether an operator drains the server.
    void setDrained(const std::string &server, bool drained);

    RoutingTable routingTable(TimePoint now) const;
    // Returns the recent reports of up to `maxCount` servers, starting at the position `cursor` in
    // the order of their names, and advances `cursor` for the next call.
    std::vector<CompactLoad> reports(TimePoint now, std::size_t maxCount,
                                     std::size_t &cursor) const;

private:
    struct Record
    {
        BackendServer server;
        LoadReport report;
        TimePoint reportedAt{};
        bool everReported = false;
        bool receivedDirectly = false; // the report came in a response to this instance
        TimePoint lastSharedReportAt{}; // time of the last report shared with other instances
        bool leaving = false; // stays true for this incarnation
        // Wall time of the newest leaving notice in the platform's list; 0 if there was none.
        std::uint64_t leavingNoticeMs = 0;
        bool drained = false;
        int failures = 0;
        int ejections = 0;
        TimePoint ejectedUntil{};
        TimePoint recoveredAt{};
        bool needsTrial = false; // only a successful attempt ends the ejection
        bool doubted = false; // see setDoubted()
        std::uint64_t revision = 0; // of the entry in the platform's list
        TimePoint coldSince{};
        TimePoint coldUntil{};
        TimePoint cooldownUntil{};
        TimePoint missingSince{};
        std::shared_ptr<ServerCounters> counters;
    };

    // Updates the averages behind RoutingTable::trafficFactor.
    void recordTraffic(double reported, double own);
    static CompactLoad compact(const Record &record, TimePoint now);
    void eject(Record &record, TimePoint now);
    // Returns null if the server is unknown. m_mutex must be held.
    Record *find(std::uint32_t server);
    ServerStatus statusOf(const Record &record, TimePoint now) const;
    // Records how long the server is cold from now on. `wasInUse` is false if no instance has sent
    // requests to it before.
    void recordCold(Record &record, Duration remaining, bool wasInUse, TimePoint now);
    // Resets the state that belongs to the server's previous process.
    void startIncarnation(Record &record, const LoadReport &report);
    // Sets in the record what its server's process said of itself.
    void applyStatements(Record &record);

    Limits m_limits;
    mutable std::mutex m_mutex;
    // Rebuilds m_records from the configuration and the list. m_mutex must be held.
    void rebuild(TimePoint now);

    std::shared_ptr<const FleetConfig> m_config;
    std::map<std::string, ListedServer> m_listed;
    ListState m_listState;
    std::vector<RemoteServer> m_remote;
    std::set<std::string> m_evacuated;
    std::map<std::string, Record> m_records;
    std::map<std::uint32_t, std::string> m_names; // by serverId()
    // Until when servers are cold by their own report. Kept apart from m_records because a list
    // entry that is read late may be older than the report, and may have been removed and added
    // again since.
    std::map<std::string, TimePoint> m_selfReportedCold;
    ServerStatements m_statements;
    std::map<std::uint32_t, double> m_requestLimits; // by serverId()
    std::vector<std::string> m_senders;
    bool m_sendersComplete = false;
    // Average load that servers reported, and what this instance had in flight there at that time.
    double m_reportedTraffic = 0;
    double m_ownTraffic = 0;
};

} // namespace ibisnotch
