#include "ibisnotch/stream-origin.h"

#include <algorithm>
#include <map>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

constexpr Duration sweepInterval = std::chrono::seconds(1);

} // namespace

std::string_view originSourceName(OriginSource source)
{
    switch (source) {
    case OriginSource::unknown:
        return "unknown";
    case OriginSource::own:
        return "own";
    case OriginSource::forwarded:
        return "forwarded";
    case OriginSource::told:
        return "told";
    case OriginSource::sole:
        return "sole";
    }
    return "unknown";
}

std::uint64_t streamKey(std::string_view attemptId)
{
    return hash64(attemptId);
}

// Drops expired records, now and then or when there is no room. If all are unexpired, any one is
// dropped: its stream is then refused to a caller that resumes it, rather than continued wrongly.
void OriginRecords::makeRoom(TimePoint now)
{
    const bool isFull = m_records.size() >= maxRecords;
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        std::erase_if(m_records,
                      [now](const auto &entry) { return entry.second.expiresAt <= now; });
        std::erase_if(m_untold,
                      [this](std::uint64_t stream) { return m_records.count(stream) == 0; });
    }
    if (isFull && m_records.size() >= maxRecords)
        m_records.erase(m_records.begin());
}

void OriginRecords::add(std::uint64_t stream, OriginRecord record)
{
    const std::lock_guard lock(m_mutex);
    makeRoom(record.knownAt);
    m_records.insert_or_assign(stream, std::move(record));
    m_untold.push_back(stream);
}

void OriginRecords::addTold(std::uint64_t stream, OriginRecord record)
{
    const std::lock_guard lock(m_mutex);
    makeRoom(record.knownAt);
    const auto [found, added] = m_records.try_emplace(stream, record);
    if (!added)
        found->second.expiresAt = std::max(found->second.expiresAt, record.expiresAt);
}

std::optional<OriginRecord> OriginRecords::find(std::uint64_t stream, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(stream);
    if (found == m_records.end() || found->second.expiresAt <= now)
        return std::nullopt;
    return found->second;
}

OriginRecords::Untold
OriginRecords::takeUntold(const std::function<bool(const std::string &service)> &needsTelling,
                          std::size_t maxCount, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, bool> needed; // by service
    Untold taken;
    std::erase_if(m_untold, [&](std::uint64_t stream) {
        const auto found = m_records.find(stream);
        if (found == m_records.end() || found->second.expiresAt <= now)
            return true;
        const std::string &service = found->second.service;
        auto known = needed.find(service);
        if (known == needed.end())
            known = needed.emplace(service, needsTelling(service)).first;
        if (!known->second || taken.size() >= maxCount)
            return false;
        taken.emplace_back(stream, found->second);
        return true;
    });
    return taken;
}

std::size_t OriginRecords::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_records.size();
}

} // namespace ibisnotch
