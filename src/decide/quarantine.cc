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
    if (suspect.servers.size() >= m_limits.maxServersCrashed)
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

CrashMark Quarantine::onServerCrashed(const std::string &fingerprint, const std::string &server,
                                      TimePoint now)
{
    Suspect &suspect = m_suspects[fingerprint];
    if (suspect.cleared)
        suspect = {};
    if (suspect.servers.empty())
        suspect.observer = m_self;
    suspect.servers.insert(server);
    suspect.lastCrashAt = now;
    return {fingerprint, server, suspect.observer, 0, false};
}

std::vector<CrashMark> Quarantine::onAnswered(const std::string &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.cleared)
        return {};
    found->second.cleared = true;
    std::vector<CrashMark> marks;
    for (const std::string &server : found->second.servers)
        marks.push_back({fingerprint, server, found->second.observer, 0, true});
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
            && found->second.servers.size() < m_limits.maxServersCrashed;
        if (isNew)
            found->second.cleared = true;
        return isNew;
    }
    Suspect &suspect = m_suspects[mark.fingerprint];
    if (suspect.cleared || !suspect.servers.insert(mark.server).second)
        return false;
    // Two instances may each observe a first crash. All instances let the smaller name try.
    if (suspect.observer.empty() || mark.observer < suspect.observer)
        suspect.observer = mark.observer;
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
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(now - suspect.lastCrashAt);
        for (const std::string &server : suspect.servers) {
            if (marks.size() < maxCount)
                marks.push_back({fingerprint, server, suspect.observer,
                                 static_cast<std::uint32_t>(age.count()), suspect.cleared});
        }
    }
    return marks;
}

} // namespace ibisnotch
