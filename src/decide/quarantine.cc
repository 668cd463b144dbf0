#include "ibisnotch/quarantine.h"

#include <algorithm>

#include "ibisnotch/hash.h"

namespace ibisnotch {

std::string requestFingerprint(std::string_view customer, std::string_view service,
                               std::string_view body)
{
    return hash128Hex(customer, service, body);
}

Quarantine::Quarantine(std::string self, Limits limits) : m_self(std::move(self)), m_limits(limits)
{
}

void Quarantine::removeExpired(TimePoint now)
{
    std::erase_if(m_suspects, [&](const auto &entry) {
        return entry.second.lastCrashAt + m_limits.quarantineTime <= now;
    });
}

QuarantineDecision Quarantine::check(const std::string &fingerprint, TimePoint now)
{
    removeExpired(now);
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.cleared)
        return QuarantineDecision::clear;
    const Suspect &suspect = found->second;
    if (crashesInARow(suspect) >= m_limits.maxCrashes)
        return QuarantineDecision::quarantined;
    if (suspect.isTrialRunning)
        return QuarantineDecision::held;
    if (suspect.observer == m_self)
        return QuarantineDecision::trial;
    // The observer may have failed. Any instance may then make the trial; a crash during it is the
    // second one.
    const bool holdExpired = suspect.lastCrashAt + m_limits.holdTime <= now;
    return holdExpired ? QuarantineDecision::trial : QuarantineDecision::held;
}

void Quarantine::onTrialStarted(const std::string &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        found->second.isTrialRunning = true;
}

void Quarantine::onTrialFinished(const std::string &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        found->second.isTrialRunning = false;
}

std::size_t Quarantine::crashesInARow(const Suspect &suspect) const
{
    // An instance that knows of a crash names the same observer as the one that told it.
    std::map<std::string, std::size_t> byObserver;
    std::vector<TimePoint> times;
    std::size_t longest = 0;
    for (const auto &[server, crash] : suspect.crashes) {
        longest = std::max(longest, ++byObserver[crash.observer]);
        times.push_back(crash.at);
    }
    std::sort(times.begin(), times.end());
    std::size_t events = times.empty() ? 0 : 1;
    for (std::size_t i = 1; i < times.size(); ++i)
        events += times[i] - times[i - 1] > m_limits.maxEventTime ? 1 : 0;
    return std::max(longest, events);
}

std::size_t Quarantine::knownCrashes(const std::string &fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    const bool isSuspect = found != m_suspects.end() && !found->second.cleared;
    return isSuspect ? crashesInARow(found->second) : 0;
}

std::optional<CrashMark> Quarantine::onServerCrashed(const std::string &fingerprint,
                                                     const std::string &server,
                                                     std::size_t knownCrashes, TimePoint now)
{
    if (this->knownCrashes(fingerprint) > knownCrashes)
        return std::nullopt;
    Suspect &suspect = m_suspects[fingerprint];
    if (suspect.cleared)
        suspect = {};
    if (suspect.crashes.empty())
        suspect.observer = m_self;
    suspect.crashes[server] = {suspect.observer, now};
    suspect.lastCrashAt = now;
    return CrashMark{fingerprint, server, suspect.observer, 0, false};
}

CrashMark Quarantine::onServerCrashed(const std::string &fingerprint, const std::string &server,
                                      TimePoint now)
{
    return *onServerCrashed(fingerprint, server, knownCrashes(fingerprint), now);
}

std::vector<CrashMark> Quarantine::onAnswered(const std::string &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.cleared)
        return {};
    found->second.cleared = true;
    std::vector<CrashMark> marks;
    for (const auto &[server, crash] : found->second.crashes)
        marks.push_back({fingerprint, server, crash.observer, 0, true});
    return marks;
}

bool Quarantine::onMark(const CrashMark &mark, TimePoint now)
{
    const TimePoint crashedAt = now - std::chrono::milliseconds(mark.ageMs);
    if (crashedAt + m_limits.quarantineTime <= now)
        return false;
    if (mark.cleared) {
        const auto found = m_suspects.find(mark.fingerprint);
        const bool isNew = found != m_suspects.end() && !found->second.cleared
            && crashesInARow(found->second) < m_limits.maxCrashes;
        if (isNew)
            found->second.cleared = true;
        return isNew;
    }
    Suspect &suspect = m_suspects[mark.fingerprint];
    if (suspect.cleared)
        return false;
    // Two instances may each observe a first crash. All instances let the smaller name try.
    if (suspect.observer.empty() || mark.observer < suspect.observer)
        suspect.observer = mark.observer;
    const auto [known, isNew]
        = suspect.crashes.try_emplace(mark.server, Crash{mark.observer, crashedAt});
    if (!isNew) {
        known->second.observer = std::min(known->second.observer, mark.observer);
        return false;
    }
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, crashedAt);
    return true;
}

std::vector<CrashMark> Quarantine::recentMarks(TimePoint now, std::size_t maxCount) const
{
    constexpr Duration maxAge = std::chrono::seconds(30);
    std::vector<CrashMark> marks;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.lastCrashAt + maxAge <= now)
            continue;
        for (const auto &[server, crash] : suspect.crashes) {
            if (marks.size() < maxCount)
                marks.push_back(
                    {fingerprint, server, crash.observer, ageInMs(crash.at, now), suspect.cleared});
        }
    }
    return marks;
}

} // namespace ibisnotch
