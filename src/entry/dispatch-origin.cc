// Dispatch: the software version at which a stream goes on.
#include <algorithm>

#include <fmt/format.h>

#include "attempt.h"
#include "dispatch.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

bool Dispatch::continuesStream() const
{
    return m_exchange->service->isStreaming && !m_exchange->lastEventId.empty();
}

const StreamOrigin *Dispatch::continuedOrigin() const
{
    return continuesStream() && m_exchange->origin ? &*m_exchange->origin : nullptr;
}

void Dispatch::findOrigin()
{
    if (m_findsOrigin)
        return;
    recordCallerLimit();
    const TimePoint now = m_state.clock.now();
    const std::uint64_t stream = streamKey(m_exchange->streamId);
    if (const auto record = m_state.originRecords.find(stream, now)) {
        const bool isOwn = !record->service.empty();
        const OriginSource source = isOwn ? OriginSource::own : OriginSource::told;
        m_findsOrigin = true;
        return onOriginFound({record->origin, source, now - record->knownAt, 0, 0});
    }
    trace("asking for the origin of the stream");
    m_findsOrigin = true;
    m_control.findOrigin({stream, m_exchange->service->name},
                         [weak = weak_from_this(), &client = m_client](const auto &finding) {
                             client.post([weak, finding] {
                                 if (const auto self = weak.lock())
                                     self->onOriginFound(finding);
                             });
                         });
    // Keeps this object alive until the answer, and continues without it if the control loop is
    // stalled.
    const Duration wait = std::min(2 * OriginExchange::maxSearchTime, remaining());
    m_client.postAfter(wait, [self = shared_from_this()] { self->onOriginFound({}); });
}

// Which origins are possible depends on the route, and the request's was chosen when it came. The
// configuration may have been read anew since.
bool Dispatch::isRouteInForce() const
{
    return m_state.routing.read()->config->version == m_exchange->config().version;
}

// An origin that isn't known for certain is never guessed: the caller could not tell that the
// events of its stream don't fit together. A refusal tells it that it has to begin anew.
void Dispatch::onOriginFound(OriginFinding finding)
{
    if (!std::exchange(m_findsOrigin, false) || m_hasFinished)
        return;
    if (finding.source == OriginSource::sole && !isRouteInForce())
        finding.origin.reset();
    logLine(LogPart::request, finding.origin ? LogLevel::info : LogLevel::warn,
            finding.origin ? "Origin of the stream found." : "Origin of the stream unknown.",
            {{"request", m_exchange->id},
             {"stream", m_exchange->streamId},
             {"service", m_exchange->service->name},
             {"pool", finding.origin ? finding.origin->pool : ""},
             {"version", finding.origin ? finding.origin->softwareVersion : ""},
             {"knownBy", std::string(originSourceName(finding.source))},
             {"ageMs", millisecondsText(finding.age)},
             {"asked", std::to_string(finding.asked)},
             {"answered", std::to_string(finding.answered)},
             {"listReadAnew", finding.isListCurrent ? "yes" : "no"}});
    if (!finding.origin) {
        settleNotRun();
        return refuse({ResultCode::streamVersionUnknown, "", {}});
    }
    m_exchange->origin = finding.origin;
    m_exchange->originSource = finding.source;
    // The caller may resume the stream once more, elsewhere.
    keepOriginRecord();
    route();
}

// Instances can't tell which versions may have begun a stream without knowing how long callers
// wait.
void Dispatch::recordCallerLimit()
{
    if (!m_exchange->fromPeer && m_exchange->callerTimeout)
        m_state.originHistory.onCaller(m_exchange->service->name, *m_exchange->callerTimeout,
                                       m_state.clock.now());
}

bool Dispatch::useOriginPool()
{
    const StreamOrigin &origin = *m_exchange->origin;
    const auto &pools = m_exchange->service->pools;
    const bool isUsed = std::any_of(pools.begin(), pools.end(), [&origin](const PoolShare &share) {
        return share.pool == origin.pool;
    });
    if (isUsed)
        m_exchange->pool = origin.pool;
    return isUsed;
}

void Dispatch::onStreamBegun(const Attempt &attempt)
{
    recordCallerLimit();
    const Target &target = attempt.target();
    m_exchange->origin = target.isPeer
        ? attempt.reader().reportedOrigin()
        : std::optional(StreamOrigin{m_exchange->pool, target.softwareVersion});
    // A peer of an earlier release reports none; then it is searched for when it is needed.
    if (!m_exchange->origin)
        return;
    m_exchange->originSource = OriginSource::own;
    keepOriginRecord();
}

// Callers resume a stream at the instance to which they connected, or at one near to it, so the
// instance that is next to the caller keeps the record.
void Dispatch::keepOriginRecord()
{
    const Service &service = *m_exchange->service;
    if (m_exchange->fromPeer || !service.isResumable || m_exchange->streamId.empty())
        return;
    const TimePoint now = m_state.clock.now();
    const Duration callerLimit
        = std::min(m_exchange->callerTimeout.value_or(Duration(0)), OriginHistory::maxCallerLimit);
    const Duration lifetime
        = std::max(service.deadline, callerLimit) + OriginHistory::resumeReserve;
    m_state.originRecords.add(streamKey(m_exchange->streamId),
                              {*m_exchange->origin, service.name, now, now + lifetime});
    if (!isSole(m_state.originHistory.possibleOrigins(service.name, now)))
        m_control.scheduleOriginNotices();
}

void Dispatch::addOriginToPeer(Headers &headers) const
{
    if (!m_exchange->fromPeer || !m_exchange->origin)
        return;
    headers.add(std::string(originPoolHeader), m_exchange->origin->pool);
    headers.add(std::string(originVersionHeader), m_exchange->origin->softwareVersion);
}

bool Dispatch::mayContinue(const BackendServer &server) const
{
    const StreamOrigin *origin = continuedOrigin();
    return origin == nullptr || StreamOrigin{server.pool, server.softwareVersion} == *origin;
}

std::vector<std::string> Dispatch::usableRegions(const RoutingTable &table) const
{
    std::vector<std::string> regions = m_exchange->allowedRegions;
    const StreamOrigin *origin = continuedOrigin();
    if (origin == nullptr)
        return regions;
    std::erase_if(regions, [&](const std::string &region) {
        const auto mayContinueThere = [&](const RemoteServer &server) {
            return server.region == region
                && StreamOrigin{server.pool, server.softwareVersion} == *origin;
        };
        return region != m_state.settings.region
            && std::none_of(table.remote.begin(), table.remote.end(), mayContinueThere);
    });
    return regions;
}

bool Dispatch::isVersionGone(const RoutingTable &table) const
{
    // Without a list, it isn't known which servers there are.
    if (continuedOrigin() == nullptr || table.list.confirmedAt == TimePoint{})
        return false;
    const auto regions = usableRegions(table);
    const auto isHere
        = [this](const std::string &region) { return region == m_state.settings.region; };
    const bool isElsewhere = !std::all_of(regions.begin(), regions.end(), isHere);
    return !isElsewhere
        && std::none_of(table.servers.begin(), table.servers.end(), [&](const ServerView &view) {
               return mayContinue(view.server) && view.status != ServerStatus::leaving;
           });
}

bool Dispatch::canContinueElsewhere() const
{
    if (continuedOrigin() == nullptr)
        return true;
    const auto table = m_state.routing.read();
    const bool mayForward = !m_stayInRegion && !m_exchange->fromPeer;
    const auto regions = usableRegions(*table);
    return !candidatesIn(*table).empty()
        || (mayForward
            && std::any_of(regions.begin(), regions.end(), [this](const std::string &region) {
                   return region != m_state.settings.region;
               }));
}

void Dispatch::logContinuation(const Target &target) const
{
    const Exchange &exchange = *m_exchange;
    m_state.metrics.onStreamContinued(originSourceName(exchange.originSource));
    logLine(LogPart::request, LogLevel::info, "Stream continues.",
            {{"request", exchange.id},
             {"stream", exchange.streamId},
             {"lastEvent", exchange.lastEventId},
             {"resumedBy", m_streamStarted || exchange.fromPeer ? "instance" : "caller"},
             {"pool", exchange.origin ? exchange.origin->pool : ""},
             {"version", exchange.origin ? exchange.origin->softwareVersion : ""},
             {"knownBy", std::string(originSourceName(exchange.originSource))},
             {"server", target.name},
             {"serverVersion", target.softwareVersion}});
}

} // namespace ibisnotch
