#include "range-source.h"

#include <algorithm>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr std::size_t allWatchUpTo = 5; // instances of a region
// One may be cut off from the store; news then still comes from the other.
constexpr std::size_t relaysPerRegion = 2;

} // namespace

RangeSource::RangeSource(EntryState &state, Control &control, std::unique_ptr<RangeStore> store,
                         std::unique_ptr<RecordFormat> format)
    : m_state(state), m_control(control), m_store(std::move(store)), m_format(std::move(format))
{
    for (const std::string &prefix : m_format->prefixes()) {
        m_ranges.push_back(std::make_unique<Range>());
        m_ranges.back()->prefix = prefix;
    }
}

void RangeSource::tick()
{
    chooseRelays();
    for (const auto &range : m_ranges)
        advance(*range);
    m_changed |= m_servers.expire(m_state.clock.now());
    noteListState();
    publish();
}

void RangeSource::noteListState()
{
    for (const auto &range : m_ranges) {
        if (range->prefix != m_format->serverPrefix())
            continue;
        const PrefixFollower &follower = range->follower;
        m_state.servers.setListState({follower.asOf(), follower.heardAt()});
        if (follower.heardAt() != TimePoint{})
            m_state.metrics.setGauge("ibisnotch_server_list_age_seconds",
                                     seconds(m_state.clock.now() - follower.heardAt()));
        m_state.metrics.setGauge("ibisnotch_server_list_revision",
                                 static_cast<double>(follower.asOf()));
    }
}

// Each watch is a call that the platform counts, and with one of each instance their number grows
// with the fleet: 80 instances made 6,600 calls in 58 s. So in larger regions two instances watch
// and tell the others, who ask the store themselves once they hear nothing.
void RangeSource::chooseRelays()
{
    const bool few = m_control.regionSize() <= allWatchUpTo;
    for (const auto &range : m_ranges) {
        range->relay = !few && m_control.amongFirst("range " + range->prefix, relaysPerRegion);
        range->follower.setRelay(range->relay);
    }
}

void RangeSource::onNews(const RangeNews &news)
{
    const TimePoint now = m_state.clock.now();
    for (const auto &range : m_ranges) {
        if (range->prefix != news.prefix)
            continue;
        for (const StoreItem &item : range->follower.onNews(news, now))
            apply(item);
        publish();
    }
}

void RangeSource::advance(Range &range)
{
    const auto call = range.follower.next(m_state.clock.now());
    if (!call)
        return;
    const auto done = [this, &range](const StorePage &page) {
        m_control.post([this, &range, page] { onPage(range, page); });
    };
    if (const auto *list = std::get_if<ListCall>(&*call))
        return m_store->list(range.prefix, list->after, done);
    const auto &watch = std::get<WatchCall>(*call);
    m_store->watchRange(range.prefix, watch.afterRevision, watch.longest, done);
}

void RangeSource::onPage(Range &range, const StorePage &page)
{
    const std::uint64_t base = range.follower.asOf();
    const bool watched = range.follower.watching();
    for (const StoreItem &item : range.follower.onAnswer(page, m_state.clock.now()))
        apply(item);
    auto news = newsOf(range.prefix, base, watched, range.follower, page);
    if (range.relay && news)
        m_control.tellRegion(*std::move(news));
    noteReach(range);
    publish();
    advance(range);
}

void RangeSource::noteReach(Range &range)
{
    const bool reachable = range.follower.reachable();
    if (reachable == range.wasReachable)
        return;
    range.wasReachable = reachable;
    logLine(LogPart::store, reachable ? LogLevel::info : LogLevel::warn,
            reachable ? "Store back." : "Store lost.", {{"range", range.prefix}});
}

void RangeSource::apply(const StoreItem &item)
{
    if (item.deleted)
        return remove(item);
    Record record = m_format->read(item);
    if (const auto *document = std::get_if<ConfigDocument>(&record))
        return m_control.offer(*document, "store");
    if (auto *server = std::get_if<ListedServer>(&record))
        return applyServer(item, std::move(*server));
    if (const auto *evacuated = std::get_if<EvacuatedDataCentre>(&record)) {
        m_changed |= m_evacuated.insert(evacuated->name).second;
        logLine(LogPart::load, LogLevel::info, "Data centre evacuated.",
                {{"dataCentre", evacuated->name}, {"revision", std::to_string(item.revision)}});
        return;
    }
    if (const auto *bad = std::get_if<BadRecord>(&record)) {
        logLine(LogPart::store, LogLevel::warn, "Record not readable.",
                {{"key", item.key},
                 {"revision", std::to_string(item.revision)},
                 {"reason", bad->reason}});
        // Whoever wrote it, it names no server to use any more.
        remove(item);
    }
}

void RangeSource::applyServer(const StoreItem &item, ListedServer server)
{
    if (isLocal(server.server.dataCentre))
        logLine(LogPart::load, LogLevel::info, "Backend server listed.",
                {{"server", server.server.name},
                 {"pool", server.server.pool},
                 {"address", server.server.address},
                 {"leaving", server.leaving ? "yes" : "no"},
                 {"warmupMs", std::to_string(server.warmup.count() / 1000)},
                 {"revision", std::to_string(item.revision)}});
    server.revision = item.revision;
    m_servers.put(std::move(server));
    m_changed = true;
}

void RangeSource::remove(const StoreItem &item)
{
    const std::string subject = m_format->subject(item.key);
    m_servers.remove(subject, m_state.clock.now());
    m_evacuated.erase(subject);
    m_changed = true;
    logLine(LogPart::load, LogLevel::info, "Record removed.",
            {{"key", item.key}, {"revision", std::to_string(item.revision)}});
}

std::string RangeSource::regionOf(const std::string &dataCentre) const
{
    for (const Region &region : m_state.settings.regions) {
        const auto &names = region.dataCentres;
        if (std::find(names.begin(), names.end(), dataCentre) != names.end())
            return region.name;
    }
    return {};
}

bool RangeSource::isLocal(const std::string &dataCentre) const
{
    return regionOf(dataCentre) == m_state.settings.region;
}

void RangeSource::publish()
{
    if (!m_changed)
        return;
    m_changed = false;
    std::map<std::string, ListedServer> local;
    std::vector<RemoteServer> remote;
    for (const auto &[name, listed] : m_servers.servers()) {
        const std::string &dataCentre = listed.server.dataCentre;
        const std::string region = regionOf(dataCentre);
        if (region == m_state.settings.region)
            local.emplace(name, listed);
        else if (!region.empty() && !listed.leaving && m_evacuated.count(dataCentre) == 0)
            remote.push_back({name, region, listed.server.pool});
    }
    m_state.servers.setListed(std::move(local), m_state.clock.now());
    m_state.servers.setRemote(std::move(remote));
    m_state.servers.setEvacuated(m_evacuated);
    m_control.publishRouting();
}

} // namespace ibisnotch
