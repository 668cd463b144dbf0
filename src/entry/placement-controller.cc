#include "placement-controller.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include "health-check.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr Duration tickPeriod = std::chrono::seconds(2);
constexpr Duration leaseDuration = std::chrono::seconds(15);

PlacementPlanner::Limits plannerLimits(const EntryState &state)
{
    PlacementPlanner::Limits limits;
    const auto config = state.activeConfig.config();
    if (config)
        limits.loadsPerMinute = config->limits.weightLoadsPerMinute
            / static_cast<double>(std::max<std::size_t>(1, config->regions.size()));
    return limits;
}

} // namespace

PlacementController::PlacementController(EntryState &state, HttpClient &client, Store &store)
    : m_state(state), m_client(client), m_store(store), m_planner(plannerLimits(state))
{
}

std::string PlacementController::holderKey() const
{
    return "ibisnotch/placement/" + m_state.settings.region + "/holder";
}

std::string PlacementController::fenceKey() const
{
    return "ibisnotch/placement/" + m_state.settings.region + "/fence";
}

void PlacementController::start()
{
    m_client.postAfter(tickPeriod, [this] { tick(); });
}

bool PlacementController::isResponsible() const
{
    const auto config = m_state.activeConfig.config();
    if (!config || m_state.stopping)
        return false;
    // Only one member of the region tries to acquire the lease, to save store requests.
    const auto members = m_state.members.read();
    const bool isFirst
        = members && std::none_of(members->begin(), members->end(), [this](const Member &member) {
              return member.region == m_state.settings.region && member.state == MemberState::alive
                  && member.name < m_state.settings.name;
          });
    return isFirst
        && std::any_of(config->servers.begin(), config->servers.end(),
                       [](const auto &entry) { return entry.second.placement.has_value(); });
}

void PlacementController::tick()
{
    m_client.postAfter(tickPeriod, [this] { tick(); });
    if (!isResponsible()) {
        m_lease = {};
        return;
    }
    if (m_acquiring)
        return;
    if (m_lease.fence == 0 || m_lease.until <= m_state.clock.now())
        return acquireLease();
    renewLease();
    queryPlacements();
    sendOrders();
}

void PlacementController::abandonLease()
{
    m_acquiring = false;
    m_lease = {};
}

void PlacementController::acquireLease()
{
    m_acquiring = true;
    m_lease = {};
    // The duration is counted from before the call. The store starts to count later, so the lease
    // ends here before it ends in the store.
    const TimePoint requestedAt = m_state.clock.now();
    m_store.grantLease(leaseDuration, [this, requestedAt](const StoreLease &lease) {
        if (lease.status != StoreStatus::ok)
            return abandonLease();
        onLease(lease.id, requestedAt);
    });
}

void PlacementController::onLease(const std::string &id, TimePoint requestedAt)
{
    m_session = id;
    m_store.acquire(holderKey(), id, m_state.settings.name,
                    [this, requestedAt](const StoreWrite &write) {
                        if (write.status != StoreStatus::ok)
                            return abandonLease();
                        readFence(requestedAt);
                    });
}

void PlacementController::readFence(TimePoint requestedAt)
{
    m_store.read(fenceKey(), [this, requestedAt](const StoreRead &read) {
        if (read.status != StoreStatus::ok && read.status != StoreStatus::notFound)
            return abandonLease();
        incrementFence(read, requestedAt);
    });
}

void PlacementController::incrementFence(const StoreRead &read, TimePoint requestedAt)
{
    std::uint64_t last = 0;
    (void)absl::SimpleAtoi(read.value, &last);
    m_store.compareAndSet(fenceKey(), read.index, std::to_string(last + 1),
                          [this, last, requestedAt](const StoreWrite &write) {
                              // If the response was lost, the number may be in use already; the
                              // next attempt uses the following one.
                              if (write.status != StoreStatus::ok)
                                  return abandonLease();
                              m_acquiring = false;
                              m_lease = {last + 1, requestedAt + leaseDuration};
                              logLine(LogPart::control, LogLevel::info, "Placement lease acquired.",
                                      {{"fence", std::to_string(last + 1)}});
                          });
}

void PlacementController::renewLease()
{
    const TimePoint requestedAt = m_state.clock.now();
    m_store.renewLease(m_session, [this, requestedAt](const StoreLease &lease) {
        if (lease.status == StoreStatus::ok && m_lease.fence != 0)
            m_lease.until = requestedAt + leaseDuration;
        if (lease.status == StoreStatus::notFound)
            m_lease = {};
    });
}

void PlacementController::queryPlacements()
{
    const auto config = m_state.activeConfig.config();
    for (const auto &[name, server] : config->servers) {
        if (!server.placement)
            continue;
        OutgoingRequest request;
        request.url = "http://" + server.address + "/v1/models";
        request.limits.total = std::chrono::seconds(1);
        request.maxBufferedBytes = maxReportBytes;
        sendBuffered(
            m_client, std::move(request),
            [this, name = name](const BufferedResponse &reply) { onObserved(name, reply); });
    }
}

void PlacementController::onObserved(const std::string &server, const BufferedResponse &reply)
{
    const auto body = nlohmann::json::parse(reply.response.body, nullptr, false);
    const nlohmann::json::json_pointer first("/data/0");
    if (!body.is_object() || !body.contains(first)) {
        m_observed.erase(server);
        return;
    }
    ObservedPlacement observed;
    observed.placement.model = body[first].value("id", "");
    observed.placement.version = body[first].value("version", "");
    observed.placement.adapter = body[first].value("adapter", "");
    observed.placement.role = body.value("role", "serve");
    m_observed[server] = observed;
}

void PlacementController::sendOrders()
{
    const auto config = m_state.activeConfig.config();
    PlacementInput input;
    input.servers = &config->servers;
    input.observed = &m_observed;
    input.lease = m_lease;
    input.now = m_state.clock.now();
    m_planner.setLoadsPerMinute(plannerLimits(m_state).loadsPerMinute);
    for (const PlacementOrder &order : m_planner.plan(input))
        send(order);
}

void PlacementController::send(const PlacementOrder &order)
{
    const auto config = m_state.activeConfig.config();
    const auto server = config->servers.find(order.server);
    if (server == config->servers.end())
        return;
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + server->second.address + "/v1/placement";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = nlohmann::json{
        {"model", order.placement.model},
        {"version", order.placement.version},
        {"adapter", order.placement.adapter},
        {"role", order.placement.role},
        {"fence",
         order.fence}}.dump();
    logLine(LogPart::control, LogLevel::info, "Placement order sent.",
            {{"server", order.server},
             {"model", order.placement.model},
             {"version", order.placement.version},
             {"fence", std::to_string(order.fence)}});
    request.maxBufferedBytes = maxReportBytes;
    sendBuffered(m_client, std::move(request), [](const BufferedResponse &) {});
}

} // namespace ibisnotch
