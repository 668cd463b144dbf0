#include "document-source.h"

#include <nlohmann/json.hpp>

#include "ibisnotch/booking.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr std::string_view configKey = "ibisnotch/config/current";
constexpr std::string_view leavingListKey = "platform/instances";
constexpr Duration maxWatchTime = std::chrono::seconds(30);
constexpr Duration retryDelay = std::chrono::seconds(1);
constexpr Duration claimSweepPeriod = std::chrono::minutes(30);
constexpr std::size_t watchersPerRegion = 2;

// Parses {"leaving": [{"name": "bp-m1", "sinceMs": 1760000000000}]}.
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
    watchLeavingList();
    const TimePoint now = m_state.clock.now();
    if (now < m_nextClaimSweep)
        return;
    m_nextClaimSweep = now + claimSweepPeriod;
    removeExpiredClaimPages();
}

void DocumentSource::onConfig()
{
    m_state.servers.onLeavingList(m_leavingNotices);
}

void DocumentSource::watchConfig()
{
    if (m_watchingConfig
        || !(m_state.activeConfig.version() == 0
             || m_control.isResponsibleFor("config", watchersPerRegion)))
        return;
    m_watchingConfig = true;
    const auto done
        = [this](const StoreRead &read) { m_control.post([this, read] { onConfigRead(read); }); };
    if (m_configIndex == 0)
        m_store.read(std::string(configKey), done);
    else
        m_store.watch(std::string(configKey), m_configIndex, maxWatchTime, done);
}

void DocumentSource::onConfigRead(const StoreRead &read)
{
    const bool succeeded = read.status == StoreStatus::ok;
    if (succeeded) {
        m_configIndex = read.index;
        const auto document = parseDocument(read.value);
        if (document.ok())
            m_control.applyConfig(*document, "store");
        else
            logLine(LogPart::config, LogLevel::error,
                    "Configuration document could not be parsed.");
    }
    m_control.postAfter(succeeded ? Duration(0) : retryDelay, [this] { m_watchingConfig = false; });
}

// Removes the claim pages of hours whose booking keys are no longer accepted by any instance. Each
// hour is swept several times, so that no page is left behind when the store is unavailable or
// another instance becomes responsible.
void DocumentSource::removeExpiredClaimPages()
{
    const auto config = m_state.activeConfig.config();
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

void DocumentSource::watchLeavingList()
{
    if (m_watchingLeavingList || !m_control.isResponsibleFor("list", watchersPerRegion))
        return;
    m_watchingLeavingList = true;
    const auto done = [this](const StoreRead &read) {
        m_control.post([this, read] { onLeavingListRead(read); });
    };
    if (m_leavingListIndex == 0)
        m_store.read(std::string(leavingListKey), done);
    else
        m_store.watch(std::string(leavingListKey), m_leavingListIndex, maxWatchTime, done);
}

void DocumentSource::onLeavingListRead(const StoreRead &read)
{
    const bool succeeded = read.status == StoreStatus::ok;
    const auto list = nlohmann::json::parse(succeeded ? read.value : "", nullptr, false);
    if (succeeded)
        m_leavingListIndex = read.index;
    if (list.is_object()) {
        m_leavingNotices = parseNotices(list);
        m_state.servers.onLeavingList(m_leavingNotices);
        m_control.publishAndGossip();
    }
    m_control.postAfter(succeeded ? Duration(0) : retryDelay,
                        [this] { m_watchingLeavingList = false; });
}

} // namespace ibisnotch
