#include "document-source.h"

#include <nlohmann/json.hpp>

#include "ibisnotch/booking.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr std::string_view configKey = "ibisnotch/config/current";
constexpr std::string_view listKey = "platform/instances";
constexpr Duration watchTime = std::chrono::seconds(30);
constexpr Duration watchPause = std::chrono::seconds(1);
constexpr Duration sweepPeriod = std::chrono::minutes(30);
constexpr std::size_t watchersPerRegion = 2;

// {"leaving": [{"name": "bp-m1", "sinceMs": 1760000000000}]}
std::vector<LeavingNotice> parseNotices(const nlohmann::json &list)
{
    std::vector<LeavingNotice> notices;
    for (const auto &item : list.value("leaving", nlohmann::json::array())) {
        if (item.is_object())
            notices.push_back({item.value("name", ""), item.value("sinceMs", std::uint64_t(0))});
    }
    return notices;
}

} // namespace

DocumentSource::DocumentSource(EntryState &state, Control &control, Store &store)
    : m_state(state), m_control(control), m_store(store)
{
}

void DocumentSource::tick()
{
    watchConfig();
    watchList();
    const TimePoint now = m_state.clock.now();
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepPeriod;
    sweepClaims();
}

void DocumentSource::onConfig()
{
    m_state.servers.onLeavingList(m_leavingList);
}

void DocumentSource::watchConfig()
{
    if (m_watchingConfig
        || !(m_state.gate.version() == 0
             || m_control.isResponsibleFor("config", watchersPerRegion)))
        return;
    m_watchingConfig = true;
    const auto done
        = [this](const StoreRead &read) { m_control.post([this, read] { onStoreConfig(read); }); };
    if (m_configIndex == 0)
        m_store.read(std::string(configKey), done);
    else
        m_store.watch(std::string(configKey), m_configIndex, watchTime, done);
}

void DocumentSource::onStoreConfig(const StoreRead &read)
{
    const bool good = read.status == StoreStatus::ok;
    if (good) {
        m_configIndex = read.index;
        const auto document = parseDocument(read.value);
        if (document.ok())
            m_control.offerConfig(*document, "store");
        else
            logLine(LogPart::config, LogLevel::error, "Document not readable.");
    }
    m_control.postAfter(good ? Duration(0) : watchPause, [this] { m_watchingConfig = false; });
}

// Removes the claim pages of hours whose keys nobody accepts any more. Each hour is swept
// several times, so that a store outage or a change of the sweeper leaves nothing behind.
void DocumentSource::sweepClaims()
{
    const auto config = m_state.gate.config();
    if (!config || m_state.settings.region != config->regions.front().name
        || !m_control.isResponsibleFor("sweep", 1))
        return;
    constexpr long long sweptHours = 3;
    const long long newest
        = newestExpiredHour(m_state.clock.wallNow(), config->limits.bookingKeyLifetime);
    for (long long hour = newest; hour > newest - sweptHours; --hour) {
        for (int shard = 0; shard < config->limits.bookingShards; ++shard)
            m_store.remove(claimPageNameFor(hour, shard), [](const StoreWrite &) {});
    }
}

void DocumentSource::watchList()
{
    if (m_watchingList || !m_control.isResponsibleFor("list", watchersPerRegion))
        return;
    m_watchingList = true;
    const auto done
        = [this](const StoreRead &read) { m_control.post([this, read] { onList(read); }); };
    if (m_listIndex == 0)
        m_store.read(std::string(listKey), done);
    else
        m_store.watch(std::string(listKey), m_listIndex, watchTime, done);
}

void DocumentSource::onList(const StoreRead &read)
{
    const bool good = read.status == StoreStatus::ok;
    const auto list = nlohmann::json::parse(good ? read.value : "", nullptr, false);
    if (good)
        m_listIndex = read.index;
    if (list.is_object()) {
        m_leavingList = parseNotices(list);
        m_state.servers.onLeavingList(m_leavingList);
        m_control.publishAndGossip();
    }
    m_control.postAfter(good ? Duration(0) : watchPause, [this] { m_watchingList = false; });
}

} // namespace ibisnotch
