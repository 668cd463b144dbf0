#include "range-source.h"

#include <algorithm>
#include <utility>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// Up to this number of instances in a region, each of them watches the store.
constexpr std::size_t maxInstancesAllWatching = 5;
// One of them may be cut off from the store; updates then still arrive from the other.
constexpr std::size_t relaysPerRegion = 2;
// The store notifies all watchers in a region within milliseconds of each other, or a little later
// where it batches changes.
constexpr Duration peerRequestDelay = std::chrono::milliseconds(250);
// Two instances each tell the region at least once a second while they reach the store.
constexpr Duration maxUpdateInterval = std::chrono::milliseconds(1500);
// Values of the log field "source": where a change was received from.
constexpr std::string_view sourceStore = "store";
constexpr std::string_view sourcePeer = "peer";

// An instance that doesn't watch the store gets the range from the one that told it of the new era.
constexpr Duration listenerListDelay = std::chrono::seconds(1);

// The range with the suspect parts is empty and rarely changes, so it is watched with fewer calls:
// a watch that hangs is noticed within the time in which the platform lets a disturbed instance
// recover, and after a crash one call fetches the records of several instances.
PrefixFollower::Limits suspectLimits()
{
    PrefixFollower::Limits limits;
    limits.watchTimeout = std::chrono::seconds(5);
    limits.relayWatchTimeout = std::chrono::seconds(5);
    limits.updateValidity = std::chrono::seconds(6);
    limits.coalesceDelay = std::chrono::milliseconds(200);
    return limits;
}

} // namespace

RangeSource::RangeSource(EntryState &state, Control &control, std::unique_ptr<RangeStore> store,
                         std::unique_ptr<RecordFormat> format)
    : m_state(state), m_control(control), m_store(std::move(store)), m_format(std::move(format)),
      m_suspects(
          *m_store, [this](const SuspectKey &key) { return m_format->suspectKey(key); }, control,
          state.clock, state.random),
      m_refreshes(control, state.clock,
                  [this](RefreshBatcher::Done done) { readChanges(std::move(done)); })
{
    for (const std::string &prefix : m_format->prefixes()) {
        const bool isSuspects = prefix == m_format->suspectPrefix();
        m_ranges.push_back(std::make_unique<Range>());
        m_ranges.back()->prefix = prefix;
        m_ranges.back()->id = rangeId(prefix);
        m_ranges.back()->follower
            = PrefixFollower(isSuspects ? suspectLimits() : PrefixFollower::Limits{});
    }
    m_store->setEraHandler(
        [this](std::uint64_t era) { m_control.post([this, era] { onEra(era, sourceStore); }); });
}

// What is known stays in force until the new era's ranges are read: the store's copy is older, and
// its writers write again what it lacks.
void RangeSource::onEra(std::uint64_t era, std::string_view source)
{
    if (era <= m_era)
        return;
    const std::uint64_t before = std::exchange(m_era, era);
    const TimePoint now = m_state.clock.now();
    for (const auto &range : m_ranges) {
        PrefixFollower &follower = range->follower;
        if (before > 0)
            logLine(LogPart::store, LogLevel::warn, "Store came back from a copy.",
                    {{"range", range->prefix},
                     {"eraBefore", std::to_string(before)},
                     {"era", std::to_string(era)},
                     {"known", revisionText(follower.asOf())},
                     {"confirmedMsAgo", millisecondsText(now - follower.lastConfirmedAt())},
                     {"configVersion", std::to_string(m_state.activeConfig.version())},
                     {"source", std::string(source)}});
        const bool listens = range->role == FollowRole::listener;
        if (follower.startEra(era, now, listens ? listenerListDelay : Duration(0)))
            ++range->calls;
    }
    if (before > 0)
        m_suspects.onStoreWentBack(m_state.suspects.suspects());
}

bool RangeSource::onPeerEra(std::uint64_t revision)
{
    const bool isNews = eraOf(revision) > m_era;
    onEra(eraOf(revision), sourcePeer);
    return isNews;
}

void RangeSource::tick()
{
    chooseRoles();
    for (const auto &range : m_ranges)
        startNextCall(*range);
    m_suspects.renew(m_state.suspects.renewals(m_state.clock.now()));
    m_suspects.tick();
    m_serversChanged |= m_servers.expire(m_state.clock.now());
    expireLostEvacuations();
    updateListState();
    updateConfigState();
    publishChanges();
}

bool RangeSource::awaitsStore() const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(), [this](const auto &range) {
        return range->prefix == m_format->configPrefix() && range->follower.isComplete()
            && range->follower.isStoreReachable();
    });
}

void RangeSource::updateListState()
{
    for (const auto &range : m_ranges) {
        if (range->prefix != m_format->serverPrefix())
            continue;
        const PrefixFollower &follower = range->follower;
        const TimePoint now = m_state.clock.now();
        m_state.servers.setListState(
            {follower.asOf(), follower.lastConfirmedAt(), follower.validity(now)});
        if (follower.isComplete())
            m_state.originHistory.onConfirmed(follower.lastConfirmedAt(), follower.validity(now),
                                              now);
        if (follower.lastConfirmedAt() != TimePoint{})
            m_state.metrics.setGauge("ibisnotch_server_list_age_seconds",
                                     seconds(m_state.clock.now() - follower.lastConfirmedAt()));
        m_state.metrics.setGauge("ibisnotch_server_list_revision",
                                 static_cast<double>(numberOf(follower.asOf())));
    }
}

void RangeSource::updateConfigState()
{
    for (const auto &range : m_ranges) {
        if (range->prefix != m_format->configPrefix())
            continue;
        const PrefixFollower &follower = range->follower;
        m_state.configValidUntil
            = follower.lastConfirmedAt() + follower.validity(m_state.clock.now());
    }
}

// The platform counts each watch as a call, and with one watch in each instance the calls grow with
// the fleet: 80 instances made 6,600 calls in 58 s. So in larger regions two instances watch and
// send updates to the others, which query the store themselves when no updates arrive.
void RangeSource::chooseRoles()
{
    const bool isSmallRegion = m_control.regionSize() <= maxInstancesAllWatching;
    for (const auto &range : m_ranges) {
        const bool responsible
            = m_control.isResponsibleFor("range " + range->prefix, relaysPerRegion);
        range->role = responsible ? FollowRole::relay : FollowRole::listener;
        // The records of suspect parts are needed within a second, not within tenths of it.
        if (isSmallRegion && range->prefix != m_format->suspectPrefix())
            range->role = FollowRole::alone;
        range->follower.setRole(range->role);
    }
}

RangeSource::Range *RangeSource::findRange(std::uint32_t id)
{
    const auto found = std::find_if(m_ranges.begin(), m_ranges.end(),
                                    [id](const auto &range) { return range->id == id; });
    return found == m_ranges.end() ? nullptr : found->get();
}

void RangeSource::onRangeUpdate(const RangeUpdate &update, const std::string &from)
{
    Range *range = findRange(rangeId(update.prefix));
    if (range == nullptr)
        return;
    range->toldAt = m_state.clock.now();
    const bool isNewEra = onPeerEra(update.asOf);
    applyUpdate(*range, update, range->toldAt, sourcePeer);
    const bool isBehind = update.asOf > range->follower.asOf();
    if (isBehind && (isNewEra || !range->follower.isStoreReachable()))
        requestFromPeer(*range, from);
}

bool RangeSource::applyUpdate(Range &range, const RangeUpdate &update, TimePoint at,
                              std::string_view source)
{
    noteWritten(range, update.items);
    // Another instance may tell the last change of each key only.
    if (range.follower.hidesAWrite(update))
        noteGap(range, range.follower.asOf(), update.asOf);
    const std::vector<StoreItem> changes = range.follower.onUpdate(update, at);
    updateConfigState();
    for (const StoreItem &item : changes)
        applyItem(item, source);
    publishChanges();
    return !changes.empty();
}

// A server may have come and gone unseen.
void RangeSource::noteGap(const Range &range, std::uint64_t known, std::uint64_t asOf)
{
    if (range.prefix != m_format->serverPrefix())
        return;
    m_state.originHistory.onGap(m_state.clock.now());
    logLine(LogPart::store, LogLevel::info, "Changes of servers were not seen.",
            {{"known", revisionText(known)}, {"asOf", revisionText(asOf)}});
}

std::vector<RangePosition> RangeSource::positions() const
{
    std::vector<RangePosition> positions;
    const TimePoint now = m_state.clock.now();
    for (const auto &range : m_ranges) {
        if (range->follower.lastChange() > 0)
            positions.push_back({range->id, range->follower.lastChange(),
                                 ageInMs(range->follower.lastConfirmedAt(), now)});
    }
    return positions;
}

void RangeSource::onPositions(const std::vector<RangePosition> &positions, const std::string &from)
{
    for (const RangePosition &position : positions) {
        if (Range *range = findRange(position.range))
            onPosition(*range, position, from);
    }
}

// The store may reject the calls of single instances, or its responses may be lost, for any length
// of time. Without the changes that its peers have received, an instance would keep sending to
// backend servers that have been evacuated, are leaving, or sustain little load because they are
// cold.
void RangeSource::onPosition(Range &range, const RangePosition &position, const std::string &from)
{
    const TimePoint now = m_state.clock.now();
    const bool isNewEra = onPeerEra(position.lastChange);
    if (range.follower.onPosition(position.lastChange,
                                  now - std::chrono::milliseconds(position.ageMs)))
        return;
    if (isNewEra || !range.follower.isStoreReachable())
        return requestFromPeer(range, from);
    // The store's own response is likely to arrive first.
    m_control.postAfter(peerRequestDelay, [this, &range, from, missed = position.lastChange] {
        if (range.follower.asOf() < missed)
            requestFromPeer(range, from);
    });
}

void RangeSource::requestFromPeer(Range &range, const std::string &from)
{
    if (range.peerRequestPending)
        return;
    range.peerRequestPending = true;
    // While the range is being listed, no revision is known completely; 0 requests the full range.
    const bool watching = range.follower.isWatching();
    const std::uint64_t known = watching ? range.follower.asOf() : 0;
    logLine(LogPart::store, LogLevel::info, "Requested missed changes from a peer.",
            {{"range", range.prefix},
             {"peer", from},
             {"known", revisionText(known)},
             {"storeReachable", range.follower.isStoreReachable() ? "yes" : "no"}});
    m_control.requestRanges(from, {{range.id, known}}, [this, &range](const auto &reply) {
        range.peerRequestPending = false;
        if (!reply)
            return;
        for (const RangeReply &rangeReply : reply->rangeReplies) {
            if (rangeId(rangeReply.update.prefix) == range.id)
                applyReply(range, rangeReply);
        }
    });
}

void RangeSource::applyReply(Range &range, const RangeReply &reply)
{
    const TimePoint at = m_state.clock.now() - std::chrono::milliseconds(reply.ageMs);
    const RangeUpdate &update = reply.update;
    const bool changed = applyUpdate(range, update, at, sourcePeer);
    if (changed && update.base > 0 && tellsRegion(range))
        m_control.broadcastRangeUpdate(
            makeRangeUpdate(update.prefix, update.base, update.asOf, update.items));
}

// Usually the instances that watch the store send each change to the region. If the store is
// unreachable for all of them, another instance has the change first. Then only they and the
// reporter, to which other regions report, send it on: in a large region, one burst of changes sent
// on by every instance that missed it fills the links for seconds.
bool RangeSource::tellsRegion(const Range &range) const
{
    if (m_state.clock.now() - range.toldAt < maxUpdateInterval)
        return false;
    const bool watches = range.role != FollowRole::listener;
    return watches ? !range.follower.isStoreReachable() : m_control.isReporter();
}

std::vector<RangeReply> RangeSource::updatesSince(const std::vector<RangeRequest> &requests) const
{
    std::vector<RangeReply> replies;
    const TimePoint now = m_state.clock.now();
    for (const RangeRequest &request : requests) {
        for (const auto &range : m_ranges) {
            if (range->id != request.range)
                continue;
            if (auto update = range->follower.updateSince(range->prefix, request.known))
                replies.push_back(
                    {*std::move(update), ageInMs(range->follower.lastConfirmedAt(), now)});
        }
    }
    return replies;
}

void RangeSource::startNextCall(Range &range)
{
    const auto call = range.follower.nextCall(m_state.clock.now());
    if (!call)
        return;
    const int number = ++range.calls;
    const auto done = [this, &range, number](const StorePage &page) {
        m_control.post([this, &range, number, copy = StorePage(page)]() mutable {
            if (number == range.calls)
                onPage(range, std::move(copy));
        });
    };
    if (const auto *list = std::get_if<ListCall>(&*call))
        return m_store->list(range.prefix, list->after, done);
    const auto &watch = std::get<WatchCall>(*call);
    m_store->watchRange(range.prefix, watch.afterRevision, watch.maxWait, done);
}

void RangeSource::onPage(Range &range, StorePage page)
{
    for (StoreItem &item : page.items)
        m_format->removeSecrets(item);
    const std::uint64_t base = range.follower.updateBase();
    const bool watched = range.follower.isWatchPending();
    const std::uint64_t known = range.follower.asOf();
    const bool lists = range.follower.isComplete() && !range.follower.isWatching();
    noteWritten(range, page.items);
    const std::vector<StoreItem> changes = range.follower.onResponse(page, m_state.clock.now());
    updateConfigState();
    for (const StoreItem &item : changes)
        applyItem(item, sourceStore);
    // The list doesn't show what was written and removed since the one before.
    if (lists && range.follower.isWatching())
        noteGap(range, known, page.asOf);
    // Where all instances watch, each still broadcasts changes: the store may be unreachable for
    // the others.
    const bool broadcasts = range.role == FollowRole::relay
        || (range.role == FollowRole::alone && !page.items.empty());
    if (broadcasts) {
        for (RangeUpdate &update :
             updatesFromResponse(range.prefix, base, watched, range.follower, page))
            m_control.broadcastRangeUpdate(std::move(update));
    }
    logReachability(range);
    publishChanges();
    startNextCall(range);
}

void RangeSource::logReachability(Range &range)
{
    const bool reachable = range.follower.isStoreReachable();
    if (reachable == range.wasReachable)
        return;
    range.wasReachable = reachable;
    logLine(LogPart::store, reachable ? LogLevel::info : LogLevel::warn,
            reachable ? "Store reachable again." : "Store unreachable.", {{"range", range.prefix}});
}

} // namespace ibisnotch
