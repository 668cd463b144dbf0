#include "control.h"

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

#include "ibisnotch/hash.h"
#include "ibisnotch/load-metrics.h"
#include "ibisnotch/log.h"
#include "ibisnotch/server-speed.h"

namespace ibisnotch {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(100);
constexpr Duration regionReportPeriod = std::chrono::milliseconds(500);
// A traffic peak can fill a region within one second, so loads are sent several times a second.
// With 48 changed servers in each report, an instance receives 3.6 KB per second.
constexpr Duration loadReportPeriod = std::chrono::milliseconds(250);
constexpr Duration usageReportPeriod = std::chrono::milliseconds(250);
constexpr Duration pollPeriod = std::chrono::milliseconds(500);
constexpr Duration minPublishInterval = std::chrono::milliseconds(5);
constexpr Duration maxPublishInterval = std::chrono::milliseconds(500);
constexpr std::size_t maxMarksPerMessage = 8;
// Long enough that one burst of packet loss does not drop both datagrams, short enough for the
// second one to arrive in time.
constexpr Duration resendDelay = std::chrono::milliseconds(20);

Member selfMember(const EntryState &state)
{
    const ProcessSettings &settings = state.settings;
    Member self;
    self.name = settings.name;
    self.region = settings.region;
    self.dataCentre = settings.dataCentre;
    self.callerAddress = settings.callerAddress.text();
    self.peerAddress = settings.peerAddress.text();
    self.gossipAddress = settings.gossipAddress.text();
    self.incarnation = state.incarnation;
    return self;
}

} // namespace

Control::Control(EntryState &state, const Protocol &protocol, HttpClient &client)
    : m_state(state), m_client(client),
      m_membership(selfMember(state), state.settings.seeds, MembershipSettings{}),
      m_silentServers(state, protocol), m_coldServers(state, protocol), m_limitedServers(state),
      m_origins(state, *this), m_protocol(protocol), m_link(state.settings.gossipAddress, *this)
{
}

Control::~Control()
{
    stop();
}

void Control::setStateSource(std::unique_ptr<StateSource> source)
{
    m_source = std::move(source);
}

void Control::publishAndGossip()
{
    publishRoutingTable();
    sendProbes(m_membership.broadcast(gossipFanout, m_state.random));
}

void Control::start()
{
    m_link.start();
    m_link.post([this] { tick(); });
}

void Control::setSeeds(std::vector<std::string> seeds)
{
    m_link.post(
        [this, seeds = std::move(seeds)]() mutable { m_membership.setSeeds(std::move(seeds)); });
}

void Control::stop()
{
    m_link.stop();
}

void Control::leave()
{
    m_link.post([this] {
        m_membership.leave();
        publishMembers();
        // Sent to every member directly: callers must no longer be directed to this instance, and
        // gossip would take too long to reach all members.
        sendProbes(m_membership.broadcast(static_cast<int>(m_membership.aliveMembers().size()),
                                          m_state.random));
    });
}

void Control::broadcastCrashMarks(std::vector<CrashMark> marks)
{
    m_link.post([this, marks = std::move(marks)] {
        // A caller that sends the request again is likely to reach this region, so all its members
        // receive the marks directly. In the other regions they spread from a few members.
        int remoteReceivers = gossipFanout;
        for (const Member &member : m_membership.aliveMembers()) {
            const bool local = member.region == m_state.settings.region;
            if (!local && remoteReceivers-- <= 0)
                continue;
            GossipMessage message = makeEmptyMessage();
            message.crashMarks = marks;
            m_link.sendGossip(member.gossipAddress, message);
        }
    });
}

void Control::recordSuspects(std::vector<SuspectPart> suspects)
{
    m_link.post([this, suspects = std::move(suspects)] { m_source->recordSuspects(suspects); });
}

void Control::removeSuspects(std::vector<SuspectPart> suspects)
{
    m_link.post([this, suspects = std::move(suspects)] { m_source->removeSuspects(suspects); });
}

void Control::findOrigin(OriginQuestion question, OriginExchange::Done done)
{
    m_link.post([this, question = std::move(question), done = std::move(done)]() mutable {
        m_origins.find(question, std::move(done));
    });
}

std::vector<Member> Control::runningMembers() const
{
    std::vector<Member> members = m_membership.aliveMembers();
    members.push_back(m_membership.self());
    return members;
}

void Control::scheduleRoutingUpdate()
{
    m_link.post([this] {
        m_routingDirty = true;
        if (m_state.clock.now() - m_lastPublishAt >= minPublishInterval)
            publishRoutingTable();
    });
}

void Control::tick()
{
    const TimePoint now = m_state.clock.now();
    sendProbes(m_membership.tick(now, m_state.random));
    exchangeMembers();
    if (m_membership.consumeStall()) {
        logLine(LogPart::control, LogLevel::warn, "Event loop resumed after a stall.");
        m_pullInProgress = false;
    }
    publishMembers();
    m_state.buffers.update(m_state.metrics, now);
    if (now >= m_nextPoll) {
        m_nextPoll = now + pollPeriod;
        pollServers();
        updateOwnLoad();
    }
    m_source->tick();
    m_origins.tick();
    checkSilentServers();
    checkColdServers();
    m_routingDirty |= m_limitedServers.tick();
    // The usage of a customer near its cap must be reported before its burst is used up.
    m_state.usageCaps.tick(now);
    if (now >= m_nextUsageReport || m_state.usageCaps.isNearAnyCap(now)) {
        m_nextUsageReport = now + usageReportPeriod;
        sendCustomerUsage();
    }
    if (now >= m_nextLoadReport) {
        m_nextLoadReport = now + loadReportPeriod;
        sendServerLoads();
        if (m_state.settings.features.regionPlan)
            updateRegionPlan();
    }
    if (now >= m_nextRegionReport) {
        m_nextRegionReport
            = now + (m_state.settings.features.regionPlan ? loadReportPeriod : regionReportPeriod);
        sendRegionLoads();
    }
    if (m_routingDirty || now - m_lastPublishAt > maxPublishInterval)
        publishRoutingTable();
    m_link.postAfter(tickPeriod, [this] { tick(); });
}

std::string Control::regionOf(const std::string &gossipAddress) const
{
    for (const Member &member : m_membership.members()) {
        if (member.gossipAddress == gossipAddress)
            return member.region;
    }
    return "";
}

GossipMessage Control::makeMessage(Probe probe, const std::string &toRegion)
{
    GossipMessage message;
    message.probe = std::move(probe);
    message.configVersion = m_state.activeConfig.version();
    message.rangePositions = m_source->positions();
    const TimePoint now = m_state.clock.now();
    {
        const std::lock_guard lock(m_state.quarantineMutex);
        message.crashMarks = m_state.quarantine.recentMarks(now, maxMarksPerMessage);
    }
    if (toRegion == m_state.settings.region) {
        message.loads = m_state.servers.reports(now, maxLoadsPerMessage, m_loadCursor);
        return message;
    }
    const auto table = m_state.routing.read();
    if (!table || !table->config)
        return message;
    message.regionLoads = ownRegionLoads(*table);
    return message;
}

// Returns a message without member updates and loads, for content that is sent at once rather than
// with the next probe.
GossipMessage Control::makeEmptyMessage()
{
    GossipMessage message;
    message.probe.sender = m_membership.self();
    message.probe.kind = ProbeKind::ack;
    message.configVersion = m_state.activeConfig.version();
    return message;
}

void Control::sendToRegion(const GossipMessage &message)
{
    for (const Member &member : m_membership.aliveMembers()) {
        if (member.region == m_state.settings.region)
            m_link.sendGossip(member.gossipAddress, message);
    }
}

void Control::sendProbes(const std::vector<OutgoingProbe> &probes)
{
    for (const OutgoingProbe &item : probes)
        m_link.sendGossip(item.address, makeMessage(item.probe, regionOf(item.address)));
}

void Control::publishMembers()
{
    const TimePoint now = m_state.clock.now();
    m_routingDirty |= m_state.servers.setSenders(m_membership.possibleSenders(now),
                                                 m_membership.isComplete(now));
    std::vector<Member> members = m_membership.members();
    members.push_back(m_membership.self());
    updateRetryBurst(members.size());
    updateUsageScope();
    const auto old = m_state.members.read();
    if (old && *old == members)
        return;
    if (old) {
        for (const Member &member : members) {
            const auto before = std::find_if(old->begin(), old->end(), [&](const Member &one) {
                return one.name == member.name;
            });
            if (before != old->end() && before->state != member.state)
                logLine(LogPart::control, LogLevel::info, "Member changed.",
                        {{"member", member.name},
                         {"state", std::to_string(static_cast<int>(member.state))}});
        }
    }
    m_state.members.publish(std::make_shared<const std::vector<Member>>(std::move(members)));
    m_routingDirty = true;
}

// The platform limits the retries of all instances together to a share of the requests plus a fixed
// slack. Each instance may save up an equal share of that slack; a fifth of it is reserved for
// instances that are not known here yet. A dead member keeps its share as long as it is in the
// list, since it may only be unreachable from here.
void Control::updateRetryBurst(std::size_t members)
{
    if (m_state.settings.interfaces != Interfaces::platform)
        return;
    constexpr double distributedShare = 0.8;
    m_state.retryBudget.setBurst(distributedShare * m_state.settings.retrySlack
                                 / static_cast<double>(std::max<std::size_t>(members, 1)));
}

void Control::updateUsageScope()
{
    const TimePoint now = m_state.clock.now();
    UsageScope scope{m_state.settings.region, {}, m_membership.possibleSenders(now).size()};
    const auto config = m_state.activeConfig.config();
    const auto &regions = config ? config->regions : m_state.settings.regions;
    for (const Region &region : regions)
        scope.regions.push_back(region.name);
    m_state.usageCaps.setScope(std::move(scope), now);
}

void Control::publishRoutingTable()
{
    const TimePoint now = m_state.clock.now();
    m_routingDirty = false;
    m_lastPublishAt = now;
    m_state.routing.publish(
        std::make_shared<const RoutingTable>(m_state.servers.routingTable(now)));
}

void Control::updateOwnLoad()
{
    const auto table = m_state.routing.read();
    if (!table || !table->config)
        return;
    double slots = 0;
    for (const ServerView &view : table->servers)
        slots += view.server.slots;
    const double utilization = slots <= 0 ? 0 : m_state.inFlight * table->trafficFactor / slots;
    constexpr double percent = 100;
    m_membership.setLoadPercent(static_cast<std::uint8_t>(std::min(1.0, utilization) * percent));
    m_state.metrics.setGauge("ibisnotch_in_flight", m_state.inFlight);
    m_state.metrics.setGauge("ibisnotch_suspect_parts",
                             static_cast<double>(m_state.suspects.suspects().size()));
    m_state.metrics.setGauge(
        "ibisnotch_blocked_parts",
        static_cast<double>(m_state.suspects.blocked(m_state.clock.now()).size()));
    if (m_state.settings.features.serverSpeed)
        m_state.metrics.setGauge("ibisnotch_max_slowdown",
                                 maxSlowdown(*table, m_state.clock.now()));
    m_state.metrics.setGauge("ibisnotch_config_version",
                             static_cast<double>(m_state.activeConfig.version()));
}

// Ranks the alive members of the region by rendezvous hashing. This distributes tasks without a
// coordinator, and the next in rank takes over when an instance leaves or fails.
bool Control::isResponsibleFor(std::string_view task, std::size_t count) const
{
    const std::uint64_t hash = hash64(task);
    const std::uint64_t ownWeight = rendezvousWeight(m_state.settings.name, hash);
    std::size_t ahead = 0;
    for (const Member &member : m_membership.aliveMembers()) {
        const bool local = member.region == m_state.settings.region;
        if (local && rendezvousWeight(member.name, hash) > ownWeight)
            ++ahead;
    }
    return ahead < count;
}

std::size_t Control::regionSize() const
{
    const std::vector<Member> members = m_membership.aliveMembers();
    const auto local = std::count_if(members.begin(), members.end(), [this](const Member &member) {
        return member.region == m_state.settings.region;
    });
    return static_cast<std::size_t>(local) + 1;
}

void Control::broadcastRangeUpdate(RangeUpdate update)
{
    const bool changes = !update.items.empty();
    GossipMessage message = makeEmptyMessage();
    message.rangeUpdates.push_back(std::move(update));
    if (changes)
        return sendTwiceToRegion(std::move(message));
    sendToRegion(message);
}

// Sends the message twice because a datagram may be lost, and an instance that misses this message
// would send requests to a backend server that must not receive them.
void Control::sendTwiceToRegion(GossipMessage message)
{
    sendToRegion(message);
    m_link.postAfter(resendDelay, [this, message = std::move(message)] { sendToRegion(message); });
}

void Control::onGossip(const GossipMessage &message, const std::string &from)
{
    const TimePoint now = m_state.clock.now();
    sendProbes(m_membership.onProbe(message.probe, from, now, m_state.random));
    if (message.probe.sender.region == m_state.settings.region) {
        for (const CompactLoad &load : message.loads)
            m_routingDirty |= m_state.servers.onReport(load, now);
        const bool mustRelay = !message.serverSpeeds.empty() && isReporter();
        for (const CompactSpeed &speed : message.serverSpeeds)
            m_state.servers.onSpeed(speed, now, mustRelay);
        for (const SilenceUpdate &update : message.silenceUpdates)
            m_silentServers.onUpdate(update);
        for (const RangeUpdate &update : message.rangeUpdates)
            m_source->onRangeUpdate(update, from);
        for (const ColdUpdate &update : message.coldUpdates)
            m_coldServers.onUpdate(update);
        if (message.hasCustomerUsage)
            m_state.usageCaps.onInstanceUsage(message.probe.sender.name, message.customerUsage,
                                              now);
        if (message.hasDemand)
            m_state.demand.onInstanceDemand(message.probe.sender.name, message.demands, now);
        if (message.hasCustomerDemand)
            m_state.customerDemand.onInstanceDemand(message.probe.sender.name,
                                                    message.customerDemand, now);
        bool limitsChanged = false;
        for (const LimitUpdate &update : message.limitUpdates)
            limitsChanged |= m_limitedServers.onUpdate(update, message.probe.sender.name);
        if (!message.silenceUpdates.empty() || !message.coldUpdates.empty() || limitsChanged)
            publishRoutingTable();
    }
    for (const RegionLoad &load : message.regionLoads)
        m_state.regionLoads.onLoad(load, now);
    for (const RegionDemand &demand : message.regionDemands)
        m_state.demand.onRegionDemand(demand, now);
    for (const CustomerTotals &demand : message.customerTotals)
        m_state.customerDemand.onCustomerTotals(demand, now);
    for (const RegionUsage &use : message.regionUsage)
        m_state.usageCaps.onRegionUsage(use, now);
    {
        const std::lock_guard lock(m_state.quarantineMutex);
        for (const CrashMark &mark : message.crashMarks)
            m_state.quarantine.onMark(mark, now);
    }
    m_source->onPositions(message.rangePositions, from);
    // Rejected versions are not pulled again; otherwise each probe that announces one would cause
    // another request.
    if (isWantedVersion(message.configVersion))
        pullVersion(message.configVersion, from);
}

PeerReply Control::onRequest(const PeerRequest &request)
{
    PeerReply reply;
    if (m_state.activeConfig.version() > request.knownVersion)
        reply.delta = m_state.activeConfig.deltaSince(request.knownVersion);
    if (request.wantsMembers) {
        reply.members = m_membership.members();
        reply.members.push_back(m_membership.self());
    }
    reply.rangeReplies = m_source->updatesSince(request.rangeRequests);
    return reply;
}

void Control::requestRanges(const std::string &gossipAddress, std::vector<RangeRequest> requests,
                            std::function<void(std::optional<PeerReply>)> done)
{
    PeerRequest request;
    request.knownVersion = m_state.activeConfig.version();
    request.rangeRequests = std::move(requests);
    m_link.sendRequest(gossipAddress, request, std::move(done));
}

// Gets the whole list of members from another member while this instance may not know all of them,
// and tells the region of itself if it did not.
void Control::exchangeMembers()
{
    const auto address = m_membership.nextExchange(m_state.clock.now(), m_state.random);
    if (!address)
        return;
    PeerRequest request;
    request.knownVersion = m_state.activeConfig.version();
    request.wantsMembers = true;
    m_link.sendRequest(*address, request, [this](const std::optional<PeerReply> &reply) {
        if (!reply)
            return;
        applyConfigDelta(reply->delta);
        const TimePoint now = m_state.clock.now();
        const bool hasNews = m_membership.onExchange(reply->members, now);
        if (hasNews)
            sendProbes(m_membership.broadcastToRegion());
        logLine(LogPart::control, LogLevel::info, "Members exchanged.",
                {{"received", std::to_string(reply->members.size())},
                 {"news", hasNews ? "yes" : "no"},
                 {"senders", std::to_string(m_membership.possibleSenders(now).size())},
                 {"complete", m_membership.isComplete(now) ? "yes" : "no"}});
        publishMembers();
    });
}

} // namespace ibisnotch
