// Quarantine of requests that crash the backend servers which run them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
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
// sends the request again to other instances would crash one server at each.
//
// Copies of a sound request run on several servers at once, and one event, as when a data centre
// loses power, ends them all. So crashes count in a row: a crash counts only if the copy was sent
// by an instance that knew of the crash before. Not thread safe.
class Quarantine
{
public:
    struct Limits
    {
        std::size_t maxCrashes = 2; // in a row
        // Crashes that different instances observe without knowing of each other's have different
        // causes if more time than this lies between them.
        Duration maxEventTime = std::chrono::seconds(3);
        Duration holdTime = std::chrono::seconds(20);
        Duration quarantineTime = std::chrono::minutes(10);
    };

    Quarantine(std::string self, Limits limits);

    // Returns whether this instance may run the request.
    QuarantineDecision check(const std::string &fingerprint, TimePoint now);

    // Called when this instance starts a trial; until it finishes, check() returns `held`.
    void onTrialStarted(const std::string &fingerprint);
    void onTrialFinished(const std::string &fingerprint);

    // Returns the crashes in a row that are known of the request.
    std::size_t knownCrashes(const std::string &fingerprint) const;
    // Called when a server failed while it ran the request, which was sent when this many crashes
    // were known. Returns the mark for other instances; empty if the crash doesn't count, as an
    // earlier one has the same cause.
    std::optional<CrashMark> onServerCrashed(const std::string &fingerprint,
                                             const std::string &server, std::size_t knownCrashes,
                                             TimePoint now);
    // The same for a request that was sent with what is known now.
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
    struct Crash
    {
        std::string observer; // that might try the request when the server crashed
        TimePoint at;
    };
    struct Suspect
    {
        std::map<std::string, Crash> crashes; // by server
        std::string observer;
        TimePoint lastCrashAt;
        bool isTrialRunning = false;
        bool cleared = false;
    };

    // Returns the crashes in a row, whatever the order in which their marks arrived.
    std::size_t crashesInARow(const Suspect &suspect) const;
    void removeExpired(TimePoint now);

    std::string m_self;
    Limits m_limits;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace ibisnotch
