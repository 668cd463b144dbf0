// Requests that crash the backend servers which run them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// Names a request for quarantine. Of one customer only, so that no customer's requests are held
// because of another's.
std::string requestFingerprint(std::string_view customer, std::string_view service,
                               std::string_view body);

// "This request was being run by this backend server when the server was lost." Sent to the other
// instances at once.
struct CrashMark
{
    std::string fingerprint;
    std::string server;
    std::string observer; // the entry instance that holds the one trial
    std::uint32_t ageMs = 0; // when sent
    bool cleared = false; // the trial went well, the request is sound

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(fingerprint, server, observer, ageMs, cleared);
    }
    bool operator==(const CrashMark &) const = default;
};

enum class QuarantineDecision {
    clear,
    trial, // one attempt, by this instance alone
    held, // another instance holds the trial, or it is under way
    quarantined,
};

// After one lost server a request is suspect: only the observer may try it once more, everyone else
// holds it. After a second it is quarantined. Without the hold, a caller who re-sends through other
// instances would lose one server at each. Not thread safe.
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

    QuarantineDecision check(const std::string &fingerprint, TimePoint now);

    // Notes an attempt that this instance starts; the next check() for the same suspect is held.
    void onTrialStarted(const std::string &fingerprint);
    void onTrialFinished(const std::string &fingerprint);

    // A server was lost while it ran the request. Returns the mark to share.
    CrashMark onServerCrashed(const std::string &fingerprint, const std::string &server,
                              TimePoint now);
    // The request was answered after all. Returns the mark to share, if it was suspect.
    std::vector<CrashMark> onAnswered(const std::string &fingerprint);

    // A mark from another instance. Returns true if it was isNew, to be passed on.
    bool onMark(const CrashMark &mark, TimePoint now);

    // Marks young enough to be repeated in gossip.
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
