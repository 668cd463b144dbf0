// Dispatch: choice of region, admission and choice of a backend server.
#include <algorithm>

#include <fmt/format.h>

#include "dispatch.h"
#include "ibisnotch/entry-list.h"
#include "ibisnotch/read-delay.h"
#include "ibisnotch/request-limit.h"
#include "ibisnotch/warmup.h"

namespace ibisnotch {

namespace {

constexpr double noServerRetrySeconds = 2;
// Callers that are told when a server's rest ends come back within this time after it, not all at
// the same moment.
constexpr double minReturnDelaySeconds = 0.05;
constexpr double maxReturnDelaySeconds = 1;
// The health check of a possibly cold server takes up to one tick of the control loop and one
// network round trip.
constexpr Duration coldCheckWait = std::chrono::milliseconds(30);
constexpr int maxColdCheckWaits = 16;
// Two rounds of probes, with which the other members learn of one that has joined.
constexpr Duration membershipSettleTime = std::chrono::seconds(2);

} // namespace

std::vector<Candidate> Dispatch::candidatesIn(const RoutingTable &table) const
{
    auto candidates
        = candidatesForService(table, *m_exchange->service, m_triedTargets, m_exchange->pool);
    // A pool may have only one server in the region. A server that responds, even with an error, is
    // better than the round trip to another region.
    if (candidates.empty() && m_serverError)
        candidates = candidatesForService(table, *m_exchange->service, {}, m_exchange->pool);
    std::erase_if(candidates, [&](const Candidate &candidate) {
        return !mayContinue(candidate.view->server) || !maySend(table, *candidate.view);
    });
    // An ejected server on trial may still fail, and a request that may run only once is then lost.
    const bool othersUsable
        = std::any_of(candidates.begin(), candidates.end(), [](const Candidate &one) {
              return one.view->status == ServerStatus::usable;
          });
    if (!m_exchange->service->idempotent && othersUsable)
        std::erase_if(candidates,
                      [](const Candidate &one) { return one.view->status == ServerStatus::trial; });
    if (m_exchange->prompt.tokens > 0)
        addEngineEstimates(candidates, m_state.promptLengths.mean(loadKey(*m_exchange)),
                           m_state.clock.now());
    addForecastInputs(table, candidates);
    return candidates;
}

void Dispatch::addForecastInputs(const RoutingTable &table,
                                 std::vector<Candidate> &candidates) const
{
    const Features &features = m_state.settings.features;
    if (features.serverSpeed)
        addSlowdowns(candidates, m_state.clock.now());
    if (!usesForecasts(features) || m_exchange->prompt.tokens == 0)
        return;
    const std::string &pool = loadKey(*m_exchange);
    const auto found = table.config->pools.find(pool);
    const bool isKnown = found != table.config->pools.end();
    const double cacheTokens = isKnown ? static_cast<double>(found->second.cacheTokens) : 0;
    addEngineStates(candidates, m_state.engineStatistics.facts(pool),
                    m_state.promptLengths.mean(pool), cacheTokens);
    // Urgent requests don't wait for all that is ahead.
    const double aheadPart = m_state.engineStatistics.aheadPart(m_exchange->service->name);
    for (Candidate &candidate : candidates) {
        candidate.engine->waiting *= std::min(1.0, aheadPart);
        candidate.engine->unreadTokens *= aheadPart;
    }
}

EngineWork Dispatch::engineWork() const
{
    EngineWork work;
    work.tokensToRead = static_cast<double>(tokensToRead());
    work.totalTokens = static_cast<double>(m_exchange->prompt.tokens);
    work.events = m_state.engineStatistics.meanEvents(m_exchange->service->name);
    return work;
}

// Returns the time in seconds that a server in the region needs to read the prompt's shared part.
double Dispatch::sharedReadSeconds(std::span<const Candidate> candidates) const
{
    if (candidates.empty() || m_exchange->prefixHash == 0)
        return 0;
    const std::int64_t shared = m_exchange->prompt.sharedTokens();
    return seconds(readTime(candidates.front().tokensPerMs, shared));
}

bool Dispatch::isRateLimited(const ServerView &view) const
{
    return m_state.clock.now() < view.coldUntil || view.requestLimit > 0;
}

// Returns false if the server leaves or rests, or is cold or named a limit and may not get a
// request from this instance now.
bool Dispatch::maySend(const RoutingTable &table, const ServerView &view) const
{
    const TimePoint now = m_state.clock.now();
    if (view.counters->saidLeaving || isResting(*view.counters, now))
        return false;
    if (!isRateLimited(view))
        return true;
    // An instance that has just started may not know all other senders, and they may not know it.
    // With a part of them only, its share of the server's rate would be too large.
    if (now < m_state.startedAt + membershipSettleTime || !table.sendersComplete)
        return false;
    const auto interval = sendIntervalOf(table, view);
    return interval && canSendRateLimited(view, *interval, now);
}

// Returns the minimum time between two requests of this instance to the server; empty if they are
// assigned to other instances.
std::optional<Duration> Dispatch::sendIntervalOf(const RoutingTable &table,
                                                 const ServerView &view) const
{
    const std::string &self = m_state.settings.name;
    const std::string &server = view.server.name;
    const auto pool = table.config->pools.find(view.server.pool);
    std::optional<Duration> interval = Duration(0);
    if (m_state.clock.now() < view.coldUntil && pool != table.config->pools.end())
        interval = warmupInterval(pool->second.warmupRate, m_state.settings.warmup, table.senders,
                                  self, server);
    if (!interval || view.requestLimit <= 0)
        return interval;
    const auto limited = limitInterval(view.requestLimit, table.senders, self, server);
    return limited ? std::optional(std::max(*interval, *limited)) : std::nullopt;
}

PossiblyColdServer Dispatch::possiblyColdServer(const RoutingTable &table,
                                                const ServerView &view) const
{
    const ServerCounters &counters = *view.counters;
    const TimePoint lastSentAt{Duration(counters.lastSentAt.load())};
    const auto since = possiblyColdSince(table.list, view, m_state.clock.now());
    const auto share = since ? possiblyColdShareOf(table, view) : std::nullopt;
    if (!share)
        return {lastSentAt, true, true};
    return {lastSentAt, *share > 0, canSendPossiblyCold(counters, *share, *since)};
}

// Removes the servers that may have become cold, unless a health check since has found them warm.
// While neither the store nor a peer reports which servers are cold, a burst could otherwise reach
// such a server.
bool Dispatch::keepReadyCandidates(const RoutingTable &table,
                                   std::vector<Candidate> &candidates) const
{
    std::vector<PossiblyColdServer> servers;
    for (const Candidate &candidate : candidates)
        servers.push_back(possiblyColdServer(table, *candidate.view));
    const PossiblyColdChoice choice = choosePossiblyCold(servers);
    std::vector<Candidate> ready;
    for (const std::size_t index : choice.ready)
        ready.push_back(candidates[index]);
    candidates = std::move(ready);
    return !choice.wait;
}

std::optional<std::size_t> Dispatch::possiblyColdShareOf(const RoutingTable &table,
                                                         const ServerView &view) const
{
    return possiblyColdShare(table, m_state.settings.warmup, m_state.settings.name, view.server);
}

// Acquires the right to send to a server that is cold or possibly cold, or named a limit. Returns
// false if another thread acquired it in between.
bool Dispatch::tryAcquireSend(const RoutingTable &table, const ServerView &view) const
{
    const TimePoint now = m_state.clock.now();
    if (isRateLimited(view)) {
        const auto interval = sendIntervalOf(table, view);
        if (!interval || !tryAcquireRateLimited(view, *interval, now))
            return false;
    }
    const bool isCold = now < view.coldUntil;
    const auto since = isCold ? std::nullopt : possiblyColdSince(table.list, view, now);
    if (!since)
        return true;
    const auto share = possiblyColdShareOf(table, view);
    return !share || *share == 0 || tryAcquirePossiblyCold(*view.counters, *share, *since);
}

Dispatch::Plan Dispatch::plan(bool admit)
{
    const TimePoint now = m_state.clock.now();
    const auto table = m_state.routing.read();
    const auto members = m_state.members.read();
    const Service &service = *m_exchange->service;
    const FleetConfig &config = m_exchange->config();
    if (isVersionGone(*table))
        return Refusal{ResultCode::streamVersionGone, "", {}};
    const auto candidates = candidatesIn(*table);

    RegionChoiceInput input;
    input.localRegion = m_state.settings.region;
    input.allowed = usableRegions(*table);
    for (const Member &member : *members) {
        const bool usable = member.state == MemberState::alive
            && m_triedTargets.count(member.name) == 0
            && canForwardTo(m_exchange->path, m_state.hop(), {member.name, member.region});
        if (usable)
            input.reachable.push_back(member.region);
    }
    input.service = &service;
    input.loadKey = loadKey(*m_exchange);
    input.localLoad = summarizeLoad(input.localRegion, loadKey(*m_exchange), candidates);
    input.weights = config.weights;
    input.oneWayDelay = config.regionOneWay;
    input.awayMargin = config.limits.awayMargin;
    input.canForward
        = !m_stayInRegion && (!m_exchange->fromPeer || regionChanges(m_exchange->path) == 0);
    if (m_exchange->prefixHash != 0 && !m_exchange->pool.empty())
        input.holderRegion = affinityRegion(*table, candidates, input.localRegion, m_exchange->pool,
                                            input.allowed, m_exchange->prefixHash);
    input.sharedReadSeconds = sharedReadSeconds(candidates);
    if (!candidates.empty())
        input.localRunningPerServer
            = input.localLoad.outstanding / static_cast<double>(candidates.size());
    // A request that resumes a stream is not rejected, because its caller has part of the response.
    admit = admit && m_exchange->lastEventId.empty();
    input.localRejects
        = admit && !m_admitted && admissionRefusal(input.localLoad, false, false).has_value();
    std::optional<RegionDecision> planned;
    if (const auto divided = demandClass()) {
        countDemand(*divided, candidates);
        planned = plannedRegion(input, *divided, admit);
    }
    const RegionDecision decision = planned
        ? *planned
        : m_state.regionChooser.choose(input, m_state.regionLoads, now, m_state.random);
    if (decision.residencyForbids)
        return Refusal{ResultCode::residencyForbids, "", {}};
    if (!decision.region)
        return Refusal{ResultCode::noBackendServer, "",
                       retryAfterWithoutServer(*table, noServerRetrySeconds)};
    const bool isRemote = *decision.region != input.localRegion;
    m_routeInputs = {};
    m_routeInputs.byPlan = planned.has_value();
    m_routeInputs.localLoad = input.localLoad;
    m_routeInputs.senders = table->senders.size();
    m_routeInputs.listRevision = table->list.revision;
    if (table->list.confirmedAt != TimePoint{})
        m_routeInputs.listAge = now - table->list.confirmedAt;
    if (m_exchange->prompt.tokens > 0)
        m_routeInputs.maxEventIntervalSeconds
            = m_state.streamStatistics.maxEventIntervalSeconds(loadKey(*m_exchange), now);
    if (isRemote)
        m_routeInputs.remoteLoad
            = m_state.regionLoads.find(*decision.region, loadKey(*m_exchange), now);
    if (admit && !m_admitted) {
        const RegionLoad load
            = isRemote ? m_routeInputs.remoteLoad.value_or(RegionLoad{}) : input.localLoad;
        countCustomerDemand(*decision.region);
        if (const auto refusal = admissionRefusal(load, isRemote, true))
            return *refusal;
        m_admitted = true;
        m_state.admission.onAdmitted(m_exchange->customer->name, service.name,
                                     m_exchange->customer->share);
    }
    if (isRemote)
        return planRemote(*decision.region);
    return pickServer(*table);
}

std::optional<Duration> Dispatch::leastRest(const RoutingTable &table) const
{
    const TimePoint now = m_state.clock.now();
    const auto servers = candidatesForService(table, *m_exchange->service, {}, m_exchange->pool);
    std::optional<Duration> least;
    for (const Candidate &one : servers) {
        const ServerCounters &counters = *one.view->counters;
        if (counters.saidLeaving || !mayContinue(one.view->server))
            continue;
        if (!isResting(counters, now))
            return std::nullopt;
        const Duration left = Duration(counters.restsUntil.load()) - now.time_since_epoch();
        least = std::min(least.value_or(left), left);
    }
    return least;
}

Duration Dispatch::retryAfterWithoutServer(const RoutingTable &table, double defaultSeconds) const
{
    const auto rest = leastRest(table);
    if (!rest)
        return jitteredRetryAfter(defaultSeconds, m_state.random);
    const std::chrono::duration<double> delay(minReturnDelaySeconds
                                              + (maxReturnDelaySeconds - minReturnDelaySeconds)
                                                  * m_state.random.uniform());
    return *rest + std::chrono::duration_cast<Duration>(delay);
}

AdmissionInput Dispatch::admissionInput(const RegionLoad &load, bool isRemote) const
{
    const FleetConfig &config = m_exchange->config();
    AdmissionInput input;
    input.customer = m_exchange->customer;
    input.service = m_exchange->service;
    input.priority = m_exchange->priority;
    input.slots = load.slots;
    input.outstanding = load.outstanding;
    input.queueFactor = config.limits.queueFactor;
    for (const auto &[name, service] : config.services)
        input.maxWorth = std::max(input.maxWorth, service.worth);
    input.lateIsUndelivered = config.weights.lateIsUndelivered;
    input.roundTrip = isRemote ? 2 * config.regionOneWay : Duration(0);
    input.remaining = remaining();
    input.promptReadDelaySeconds = m_exchange->prompt.tokens > 0 ? load.readDelaySeconds : 0;
    if (m_exchange->prompt.tokens > 0) {
        const TimePoint now = m_state.clock.now();
        const std::string &pool = loadKey(*m_exchange);
        input.eventIntervalSeconds = load.eventIntervalSeconds;
        input.maxEventIntervalSeconds = m_state.streamStatistics.maxEventIntervalSeconds(pool, now);
        input.lessUrgentServices
            = m_state.streamStatistics.lessUrgentServices(pool, input.priority, now);
    }
    input.rejectionDraw = m_admissionDraw;
    return input;
}

Dispatch::Plan Dispatch::planRemote(const std::string &region)
{
    std::vector<Member> members = *m_state.members.read();
    std::erase_if(members, [&](const Member &member) {
        return m_triedTargets.count(member.name) > 0 || member.name == m_state.settings.name;
    });
    members = preferredPeers(std::move(members), m_state.settings.name, region);
    const EntryList list = makeEntryList(members, region, {region}, m_state.random);
    if (list.instances.empty())
        return Refusal{ResultCode::noBackendServer, "",
                       jitteredRetryAfter(noServerRetrySeconds, m_state.random)};
    const Member &member = list.instances.front();
    return peerTarget(member);
}

Target Dispatch::peerTarget(const Member &member)
{
    Target target;
    target.isPeer = true;
    target.name = member.name;
    target.region = member.region;
    target.address = member.peerAddress;
    return target;
}

Dispatch::Plan Dispatch::pickServer(const RoutingTable &table)
{
    const TimePoint now = m_state.clock.now();
    auto candidates = candidatesIn(table);
    if (!keepReadyCandidates(table, candidates) && m_coldCheckWaits < maxColdCheckWaits)
        return PlanAgain{coldCheckWait};
    if (candidates.empty())
        return Refusal{ResultCode::noBackendServer, "",
                       retryAfterWithoutServer(table, noServerRetrySeconds)};
    PickInput input;
    input.candidates = candidates;
    input.prefixHash = m_exchange->prefixHash;
    input.sharedReadSeconds = sharedReadSeconds(candidates);
    input.work = engineWork();
    input.comparesForecasts = m_state.settings.features.serverSpeed;
    input.weights = m_exchange->config().weights;
    input.expectedSeconds = seconds(m_exchange->service->expectedDuration);
    const Candidate &chosen = candidates[chooseServer(table, input)];
    trace(fmt::format("picked {} of {}, load {:.1f} of {:.1f} slots", chosen.view->server.name,
                      candidates.size(), chosen.load, chosen.slots));
    m_routeInputs.serverLoad = chosen.load;
    m_routeInputs.serverSlots = chosen.slots;
    m_routeInputs.serverDelay = chosen.readDelaySeconds;
    m_routeInputs.tokensPerMs = chosen.tokensPerMs;
    m_routeInputs.serverSlowdown = chosen.slowdown;
    if (chosen.engine && chosen.engine->tokensPerMs > 0)
        m_routeInputs.forecast = forecast(*chosen.engine, input.work);
    m_routeInputs.aheadSeconds = chosen.aheadSeconds;
    if (chosen.view->reportedAt != TimePoint{})
        m_routeInputs.reportAge = now - chosen.view->reportedAt;
    if (now < chosen.view->coldUntil)
        m_routeInputs.remainingColdTime = chosen.view->coldUntil - now;
    if (!tryAcquireSend(table, *chosen.view))
        return Refusal{ResultCode::noBackendServer, "",
                       jitteredRetryAfter(noServerRetrySeconds, m_state.random)};
    return serverTarget(*chosen.view);
}

Target Dispatch::serverTarget(const ServerView &view) const
{
    Target target;
    target.name = view.server.name;
    target.region = m_state.settings.region;
    target.address = view.server.address;
    target.cost = view.server.cost;
    target.counters = view.counters;
    target.trial = view.status == ServerStatus::trial;
    target.limited = view.requestLimit > 0;
    target.incarnation = view.incarnation;
    target.softwareVersion = view.server.softwareVersion;
    return target;
}

} // namespace ibisnotch
