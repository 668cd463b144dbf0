#include "suspect-writer.h"

#include <algorithm>
#include <utility>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// A crash ends many requests within milliseconds; their parts are written with one call.
constexpr Duration recordDelay = std::chrono::milliseconds(20);
// Most instances see answers of a sound part. Usually one of them removes its record before the
// others' delays have passed.
constexpr Duration minRemovalDelay = std::chrono::milliseconds(100);
constexpr Duration maxRemovalDelay = std::chrono::milliseconds(1000);
// A lease is shared by the records of this fraction of its lifetime.
constexpr int leaseSharingDivisor = 10;
// Share of the ticks, of which there are ten a second, at which an instance renews a block that is
// due. The others have about the time until then to learn of it.
constexpr double renewalShare = 0.01;
// Instances write their records again within this time after the store came back from a copy.
constexpr Duration maxRestoreDelay = std::chrono::milliseconds(1000);
constexpr Duration retryDelay = std::chrono::milliseconds(500);
// The store accepts 32 entries in one call. A record has up to two keys.
constexpr std::size_t maxPartsPerCall = 16;

} // namespace

std::string_view suspicionSentence(const SuspectPart &suspect)
{
    return suspect.crashes >= PartSuspects::crashesToBlock ? "Prompt part blocked."
                                                           : "Prompt part suspect.";
}

void logSuspect(std::string_view sentence, const SuspectPart &suspect, std::string_view source)
{
    logLine(LogPart::load, LogLevel::warn, sentence,
            {{"part", suspect.name},
             {"id", suspect.id},
             {"pool", suspect.pool},
             {"crashes", std::to_string(suspect.crashes)},
             {"server", suspect.server},
             {"request", suspect.request},
             {"observer", suspect.observer},
             {"source", std::string(source)}});
}

SuspectWriter::SuspectWriter(RangeStore &store, KeyText keyText, TaskRunner &tasks,
                             const Clock &clock, Random &random)
    : m_store(store), m_keyText(std::move(keyText)), m_tasks(tasks), m_clock(clock),
      m_random(random)
{
}

void SuspectWriter::record(const std::vector<SuspectPart> &suspects)
{
    for (const SuspectPart &suspect : suspects) {
        m_unwritten[suspect.id] = suspect;
        m_removals.erase(suspect.id);
    }
    if (m_unwritten.empty() || std::exchange(m_sendScheduled, true))
        return;
    m_tasks.postAfter(recordDelay, [this] {
        m_sendScheduled = false;
        sendNext();
    });
}

void SuspectWriter::remove(const std::vector<SuspectPart> &suspects)
{
    for (const SuspectPart &suspect : suspects) {
        m_unwritten.erase(suspect.id);
        m_restores.erase(suspect.id);
        const TimePoint dueAt = m_clock.now() + removalDelay(suspect);
        const auto added = m_removals.emplace(suspect.id, dueAt).first;
        added->second = std::min(added->second, dueAt);
    }
    sendNext();
}

// A block of a sound part keeps requests from being served, so it is removed at once.
Duration SuspectWriter::removalDelay(const SuspectPart &suspect)
{
    if (suspect.crashes >= PartSuspects::crashesToBlock)
        return Duration(0);
    return minRemovalDelay
        + std::chrono::duration_cast<Duration>((maxRemovalDelay - minRemovalDelay)
                                               * m_random.uniform());
}

// All instances refuse prompts with a blocked part, and one of them renews the block for all.
void SuspectWriter::renew(const std::vector<SuspectPart> &blocks)
{
    std::vector<SuspectPart> chosen;
    for (const SuspectPart &block : blocks) {
        if (m_random.uniform() < renewalShare)
            chosen.push_back(block);
    }
    record(chosen);
}

void SuspectWriter::onStoreWentBack(const std::vector<SuspectPart> &known)
{
    // Their ids may be given out again, for another lifetime.
    m_leases.clear();
    ++m_timesWentBack;
    for (const SuspectPart &suspect : known) {
        const auto delay
            = std::chrono::duration_cast<Duration>(maxRestoreDelay * m_random.uniform());
        m_restores[suspect.id] = {suspect, m_clock.now() + delay};
    }
}

void SuspectWriter::onWritten(const SuspectPart &written)
{
    const auto found = m_restores.find(written.id);
    if (found != m_restores.end() && written.crashes >= found->second.suspect.crashes)
        m_restores.erase(found);
}

void SuspectWriter::tick()
{
    std::vector<SuspectPart> due;
    std::erase_if(m_restores, [&](const auto &entry) {
        const bool isDue = entry.second.dueAt <= m_clock.now();
        if (isDue)
            due.push_back(entry.second.suspect);
        return isDue;
    });
    if (!due.empty())
        record(due);
    sendNext();
}

void SuspectWriter::sendNext()
{
    if (m_callPending || m_clock.now() < m_nextCallAt)
        return;
    if (!m_unwritten.empty())
        return sendRecords();
    sendRemovals();
}

// A lease is shared by records, which saves a call for each of them. It must then still last for
// longer than half its lifetime, at which a block is renewed.
std::optional<std::string> SuspectWriter::leaseFor(Duration lifetime)
{
    const auto found = m_leases.find(lifetime);
    if (found != m_leases.end()
        && m_clock.now() < found->second.grantedAt + lifetime / leaseSharingDivisor)
        return found->second.id;
    m_callPending = true;
    const int times = m_timesWentBack;
    m_store.grantLease(lifetime, [this, lifetime, times](const StoreLease &lease) {
        m_tasks.post([this, lifetime, times, lease] {
            onLease(lifetime, times == m_timesWentBack ? lease : StoreLease{});
        });
    });
    return std::nullopt;
}

void SuspectWriter::onLease(Duration lifetime, const StoreLease &lease)
{
    m_callPending = false;
    if (lease.status != StoreStatus::ok)
        return retryLater();
    m_leases[lifetime] = {lease.id, m_clock.now()};
    sendNext();
}

void SuspectWriter::sendRecords()
{
    const auto rowLease = leaseFor(PartSuspects::suspicionTime);
    if (!rowLease)
        return;
    StoreChange change;
    std::vector<SuspectPart> written;
    for (const auto &[id, suspect] : m_unwritten) {
        if (written.size() == maxPartsPerCall)
            break;
        SuspectPart row = suspect;
        row.crashes = std::min(row.crashes, PartSuspects::crashesToBlock - 1);
        change.puts.push_back({m_keyText({id, false}), serializeSuspect(row), *rowLease});
        written.push_back(suspect);
        if (suspect.crashes < PartSuspects::crashesToBlock)
            continue;
        const auto blockLease = leaseFor(PartSuspects::blockTime);
        if (!blockLease)
            return;
        change.puts.push_back({m_keyText({id, true}), serializeSuspect(suspect), *blockLease});
    }
    apply(change, [this, written] {
        for (const SuspectPart &suspect : written) {
            const auto found = m_unwritten.find(suspect.id);
            if (found != m_unwritten.end() && found->second == suspect)
                m_unwritten.erase(found);
        }
    });
}

void SuspectWriter::sendRemovals()
{
    const TimePoint now = m_clock.now();
    const bool isDue = std::any_of(m_removals.begin(), m_removals.end(),
                                   [now](const auto &one) { return one.second <= now; });
    if (!isDue)
        return;
    StoreChange change;
    std::vector<std::string> removed;
    for (const auto &[id, dueAt] : m_removals) {
        if (removed.size() == maxPartsPerCall)
            break;
        change.removals.push_back(m_keyText({id, false}));
        change.removals.push_back(m_keyText({id, true}));
        removed.push_back(id);
    }
    apply(change, [this, removed] {
        for (const std::string &id : removed)
            m_removals.erase(id);
    });
}

void SuspectWriter::apply(const StoreChange &change, std::function<void()> onApplied)
{
    m_callPending = true;
    const int times = m_timesWentBack;
    m_store.apply(change, [this, times, onApplied = std::move(onApplied)](StoreStatus status) {
        m_tasks.post([this, times, onApplied, status] {
            m_callPending = false;
            // The change may have been lost with the store's latest state, or hang on a lease that
            // was given out again.
            if (status != StoreStatus::ok || times != m_timesWentBack) {
                // The store may have lost the leases.
                m_leases.clear();
                return retryLater();
            }
            onApplied();
            sendNext();
        });
    });
}

void SuspectWriter::retryLater()
{
    m_nextCallAt = m_clock.now() + retryDelay;
    logLine(LogPart::store, LogLevel::warn, "Suspect parts not written.",
            {{"unwritten", std::to_string(m_unwritten.size())},
             {"unremoved", std::to_string(m_removals.size())}});
}

} // namespace ibisnotch
