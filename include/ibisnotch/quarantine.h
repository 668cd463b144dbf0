// Quarantine of requests that crash the backend servers which run them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// Returns the name of a request in the quarantine. It includes the customer, so that no customer's
// requests are held because of another customer's.
std::string requestFingerprint(std::string_view customer, std::string_view service,
                               std::string_view body);

// Reports that a backend server failed while it ran a request. Sent to the other instances at once.
struct CrashMark
{
    std::string fingerprint;
    std::string server;
    std::string observer; // entry instance that may try the request again
    std::uint32_t ageMs = 0; // time since the crash, when sent
    bool cleared = false; // the request was answered after all and is not suspect

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(fingerprint, server, observer, ageMs, cleared);
    }
    bool operator==(const CrashMark &) const = default;
};

enum class QuarantineDecision {
    clear,
    trial, // this instance may make one attempt, and no other instance may
    held, // another instance may try the request, or a trial is running
    quarantined,
};

// A request is suspect after one crashed server: only the observer may try it once more, and all
// other instances hold it. After a second crash it is quarantined. Without the hold, a caller that
// sends the request again to other instances would crash one server at each. Not thread safe.
class Quarantine
{
public:
    struct Limits
    {
        std::size_t maxServersCrashed = 2;
        Duration holdTime = std::chrono::seconds(20);
        Duration quarantineTime = std::chrono::minutes(10);
    };

    Quarantine(std::string self, Limits limits);

    // Returns whether this instance may run the request.
    QuarantineDecision check(const std::string &fingerprint, TimePoint now);

    // Called when this instance starts a trial; until it finishes, check() returns `held`.
    void onTrialStarted(const std::string &fingerprint);
    void onTrialFinished(const std::string &fingerprint);

    // Called when a server failed while it ran the request. Returns the mark for other instances.
    CrashMark onServerCrashed(const std::string &fingerprint, const std::string &server,
                              TimePoint now);
    // Called when the request was answered. Returns the marks for other instances if it was
    // suspect.
    std::vector<CrashMark> onAnswered(const std::string &fingerprint);

    // Called with a mark of another instance. Returns true if it was not known here.
    bool onMark(const CrashMark &mark, TimePoint now);

    // Returns marks that are recent enough to be sent again with probes.
    std::vector<CrashMark> recentMarks(TimePoint now, std::size_t maxCount) const;

    std::size_t size() const { return m_suspects.size(); }

private:
    struct Suspect
    {
        std::set<std::string> servers;
        std::string observer;
        TimePoint lastCrashAt;
        bool isTrialRunning = false;
        bool cleared = false;
    };

    void removeExpired(TimePoint now);

    std::string m_self;
    Limits m_limits;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace ibisnotch
