// The part of the control loop that polls and checks backend servers and exchanges their loads,
// silence and cold states, and the usage of customers, with other instances.
#include <map>

#include "control.h"
#include "health-check.h"
#include "ibisnotch/hash.h"
#include "ibisnotch/load-metrics.h"
#include "ibisnotch/log.h"
#include "statements.h"

namespace ibisnotch {

namespace {

constexpr std::string_view reporterTask = "reporter";
constexpr std::size_t pollersPerServer = 2; // one of them may be stopped
// The platform counts health checks, so only one instance checks a server. If that instance fails
// for a time, a server that is silent for longer is tried with a request anyway.
constexpr std::size_t checkersPerServer = 1;
constexpr std::size_t maxSpeedsPerMessage = 128; // of 8 bytes
constexpr std::size_t maxRegionLoadsPerMessage = 16; // of about 45 bytes
// Bounds the polls of an instance however many servers it is responsible for; with more servers,
// each is polled less often.
constexpr std::size_t maxPollsPerPeriod = 2;

// Returns the instance of each region that ranks first for the reporter's task.
std::map<std::string, Member> reportersByRegion(const std::vector<Member> &members)
{
    const std::uint64_t task = hash64(reporterTask);
    std::map<std::string, Member> reporters;
    for (const Member &member : members) {
        const auto [first, added] = reporters.try_emplace(member.region, member);
        if (rendezvousWeight(member.name, task) > rendezvousWeight(first->second.name, task))
            first->second = member;
    }
    return reporters;
}

LoadReport reportOf(const std::string &server, const BufferedResponse &reply)
{
    constexpr int statusOk = 200;
    if (reply.result.outcome == TransferOutcome::complete && reply.response.status == statusOk)
        return parseLoadMetrics(server, reply.response.body);
    LoadReport report;
    report.server = server;
    report.reachable = false;
    return report;
}

} // namespace

std::vector<RegionLoad> Control::ownRegionLoads(const RoutingTable &table) const
{
    std::vector<RegionLoad> loads;
    const TimePoint now = m_state.clock.now();
    const FleetConfig &config = *table.config;
    const auto add = [&](const std::string &loadKey, std::vector<Candidate> candidates) {
        // Cold servers are left out: when they were counted, other regions sent prompts to a region
        // whose servers had all just restarted, and 324 requests were refused in two seconds.
        removeCold(candidates, now);
        removeLimited(candidates);
        removeResting(candidates, now);
        addEngineEstimates(candidates, m_state.promptLengths.mean(loadKey), now);
        if (m_state.settings.features.serverSpeed)
            addSlowdowns(candidates, now);
        if (loads.size() < maxRegionLoadsPerMessage)
            loads.push_back(summarizeLoad(m_state.settings.region, loadKey, candidates));
    };
    for (const auto &[name, pool] : config.pools)
        add(name, candidatesForPool(table, name));
    for (const auto &[name, service] : config.services) {
        if (service.pools.empty())
            add(name, candidatesForService(table, service, {}));
    }
    return loads;
}

bool Control::isReporter() const
{
    return isResponsibleFor(reporterTask, 1);
}

// Sends the loads that came with responses to the region's reporter, which sends all of them to all
// instances. With probes alone, each of 27 instances received an engine's load after 0.6 s in the
// median, but after 9 s for an engine that it seldom uses.
void Control::sendServerLoads()
{
    const TimePoint now = m_state.clock.now();
    const bool reports = isReporter();
    GossipMessage message = makeEmptyMessage();
    message.loads = m_state.servers.collectNewReports(now, maxLoadsPerMessage, reports);
    if (m_state.settings.features.regionPlan)
        addDemand(message);
    if (m_state.settings.features.serverSpeed)
        message.serverSpeeds = m_state.servers.collectNewSpeeds(now, maxSpeedsPerMessage, reports);
    const bool isEmpty = message.loads.empty() && message.serverSpeeds.empty()
        && message.demands.empty() && message.regionDemands.empty();
    if (isEmpty)
        return;
    if (reports)
        return sendToRegion(message);
    const auto reporters = reportersByRegion(m_membership.aliveMembers());
    const auto own = reporters.find(m_state.settings.region);
    if (own != reporters.end())
        m_link.sendGossip(own->second.gossipAddress, message);
}

// Sends this instance's usage and demand by customer to the region's reporter. The reporter sends
// the region's sums to the reporters of the other regions, and the sums of all regions to the
// instances of its own region.
void Control::sendCustomerUsage()
{
    const bool sharesRoom = m_state.settings.features.customerShares;
    if (!m_state.usageCaps.hasCaps() && !sharesRoom)
        return;
    const TimePoint now = m_state.clock.now();
    const auto reporters = reportersByRegion(m_membership.aliveMembers());
    GossipMessage message = makeEmptyMessage();
    if (!isReporter()) {
        const auto own = reporters.find(m_state.settings.region);
        if (own == reporters.end())
            return;
        message.hasCustomerUsage = true;
        message.customerUsage = m_state.usageCaps.localUsage(now);
        message.hasCustomerDemand = sharesRoom;
        if (sharesRoom)
            message.customerDemand = m_state.customerDemand.localDemand(now);
        return m_link.sendGossip(own->second.gossipAddress, message);
    }
    const RegionUsage sum = m_state.usageCaps.aggregateRegion(now);
    m_state.usageCaps.onRegionUsage(sum, now);
    message.regionUsage = {sum};
    if (sharesRoom) {
        const CustomerTotals demand
            = m_state.customerDemand.aggregateRegion(m_state.settings.region, now);
        m_state.customerDemand.onCustomerTotals(demand, now);
        message.customerTotals = {demand};
    }
    for (const auto &[region, reporter] : reporters) {
        if (region != m_state.settings.region)
            m_link.sendGossip(reporter.gossipAddress, message);
    }
    message.regionUsage = m_state.usageCaps.regionUsages(now);
    if (sharesRoom) {
        const CustomerTotals all = m_state.customerDemand.aggregateAll(now);
        m_state.customerDemand.onCustomerTotals(all, now);
        message.customerTotals = {all};
    }
    sendToRegion(message);
}

// On the region's reporter: sends the region's loads to the reporters of the other regions, and the
// loads of all regions to the instances of its own region. Probes alone would bring them every four
// seconds, while a traffic peak can fill a region within one second.
void Control::sendRegionLoads()
{
    const auto table = m_state.routing.read();
    if (!table || !table->config || !isReporter())
        return;
    const TimePoint now = m_state.clock.now();
    GossipMessage report = makeEmptyMessage();
    report.regionLoads = ownRegionLoads(*table);
    report.rangePositions = m_source->positions();
    if (m_state.settings.features.regionPlan) {
        if (auto own = ownRegionDemand(*table))
            report.regionDemands.push_back(*std::move(own));
    }
    for (const auto &[region, reporter] : reportersByRegion(m_membership.aliveMembers())) {
        if (region != m_state.settings.region)
            m_link.sendGossip(reporter.gossipAddress, report);
    }
    report.regionLoads = m_state.regionLoads.all(now);
    sendToRegion(report);
}

void Control::onCheckResponse(const ServerView &view, TimePoint sentAt,
                              const BufferedResponse &reply)
{
    Target target;
    target.name = view.server.name;
    target.address = view.server.address;
    target.incarnation = view.incarnation;
    if (const auto load = m_protocol.reportedLoad(reply))
        hearSlowdown(m_state, view.server.name, *view.counters, *load);
    if (m_protocol.saysServerLeaves(target, reply) && hearLeaving(m_state, target, sentAt, "check"))
        publishRoutingTable();
}

void Control::checkSilentServers()
{
    const TimePoint sentAt = m_state.clock.now();
    onSilenceChanges(m_silentServers.tick());
    for (const ServerView &view : m_silentServers.dueForStatusCheck()) {
        sendBuffered(m_client, makeRegionStatusCheck(m_protocol, view.server),
                     [this, view, sentAt](const BufferedResponse &reply) {
                         m_link.post([this, view, sentAt, reply] {
                             onCheckResponse(view, sentAt, reply);
                             onSilenceChanges(m_silentServers.onStatusCheckEnded(view, reply));
                         });
                     });
    }
    for (const ServerView &view : m_silentServers.dueForHealthCheck()) {
        if (!isResponsibleFor(view.server.name, checkersPerServer))
            continue;
        // The response also shows whether the server is cold.
        const ColdCheck check{view, view.counters->possiblyColdSent};
        sendBuffered(m_client, makeRegionHealthCheck(m_state, m_protocol, view.server),
                     [this, check, sentAt](const BufferedResponse &reply) {
                         m_link.post([this, check, sentAt, reply] {
                             onCheckResponse(check.view, sentAt, reply);
                             broadcastColdUpdate(m_coldServers.onHealthCheckEnded(check, reply));
                             onSilenceChanges(
                                 m_silentServers.onHealthCheckEnded(check.view, reply));
                         });
                     });
    }
}

void Control::checkColdServers()
{
    const TimePoint sentAt = m_state.clock.now();
    const auto isResponsible = [this](const ServerView &view) {
        return isResponsibleFor(view.server.name, checkersPerServer);
    };
    for (const ColdCheck &check : m_coldServers.dueForHealthCheck(isResponsible)) {
        sendBuffered(m_client, makeRegionHealthCheck(m_state, m_protocol, check.view.server),
                     [this, check, sentAt](const BufferedResponse &reply) {
                         m_link.post([this, check, sentAt, reply] {
                             onCheckResponse(check.view, sentAt, reply);
                             broadcastColdUpdate(m_coldServers.onHealthCheckEnded(check, reply));
                         });
                     });
    }
}

void Control::broadcastColdUpdate(const std::optional<ColdUpdate> &update)
{
    if (!update)
        return;
    publishRoutingTable();
    GossipMessage message = makeEmptyMessage();
    message.coldUpdates.push_back(*update);
    sendTwiceToRegion(std::move(message));
}

void Control::onNamedLimit(const std::string &server, const NamedLimit &limit, TimePoint sentAt)
{
    m_link.post([this, server, limit, sentAt] {
        sendLimitUpdate(m_limitedServers.onResponse(server, limit, sentAt));
    });
}

void Control::sendLimitUpdate(const LimitResult &result)
{
    if (result.isChanged)
        publishRoutingTable();
    if (result.news == LimitNews::none)
        return;
    GossipMessage message = makeEmptyMessage();
    message.limitUpdates.push_back(result.update);
    if (result.news == LimitNews::changed)
        return sendTwiceToRegion(std::move(message));
    sendToRegion(message);
}

void Control::onSilenceChanges(SilenceChanges changes)
{
    if (changes.routingTable)
        publishRoutingTable();
    if (changes.updates.empty())
        return;
    GossipMessage message = makeEmptyMessage();
    message.silenceUpdates = std::move(changes.updates);
    sendToRegion(message);
}

void Control::pollServers()
{
    const auto config = m_state.activeConfig.config();
    if (!config || config->servers.empty())
        return;
    std::vector<const BackendServer *> own;
    for (const auto &[name, server] : config->servers) {
        if (isResponsibleFor(name, pollersPerServer))
            own.push_back(&server);
    }
    for (std::size_t i = 0; i < std::min(maxPollsPerPeriod, own.size()); ++i)
        pollServer(*own[m_pollCursor++ % own.size()]);
}

void Control::pollServer(const BackendServer &server)
{
    OutgoingRequest request;
    request.url = "http://" + server.address + "/metrics";
    request.limits.connect = std::chrono::milliseconds(500);
    request.limits.firstByte = std::chrono::seconds(1);
    request.limits.total = std::chrono::seconds(1);
    request.maxBufferedBytes = maxReportBytes;
    sendBuffered(m_client, std::move(request),
                 [this, name = server.name](const BufferedResponse &reply) {
                     m_link.post([this, name, reply] { onPollResponse(name, reply); });
                 });
}

void Control::onPollResponse(const std::string &server, const BufferedResponse &reply)
{
    const LoadReport report = reportOf(server, reply);
    if (!m_state.servers.onReport(report, m_state.clock.now()))
        return;
    m_routingDirty = true;
    logLine(LogPart::load, LogLevel::info, "Backend server changed.",
            {{"server", server},
             {"reachable", report.reachable ? "yes" : "no"},
             {"leaving", report.leaving ? "yes" : "no"}});
    // Sent at once, so that the rest of the region need not wait for the next probe.
    publishAndGossip();
}

} // namespace ibisnotch
