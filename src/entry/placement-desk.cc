#include "placement-desk.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr Duration tickPeriod = std::chrono::seconds(2);
constexpr Duration leaseLife = std::chrono::seconds(15);

PlacementPlanner::Limits plannerLimits(const EntryState &state)
{
    PlacementPlanner::Limits limits;
    const auto config = state.gate.config();
    if (config)
        limits.loadsPerMinute = config->limits.weightLoadsPerMinute
            / static_cast<double>(std::max<std::size_t>(1, config->regions.size()));
    return limits;
}

} // namespace

PlacementDesk::PlacementDesk(EntryState &state, HttpClient &client, Store &store)
    : m_state(state), m_client(client), m_store(store), m_planner(plannerLimits(state))
{
}

std::string PlacementDesk::holderKey() const
{
    return "ibisnotch/placement/" + m_state.settings.region + "/holder";
}

std::string PlacementDesk::fenceKey() const
{
    return "ibisnotch/placement/" + m_state.settings.region + "/fence";
}

void PlacementDesk::start()
{
    m_client.postAfter(tickPeriod, [this] { tick(); });
}

bool PlacementDesk::needed() const
{
    const auto config = m_state.gate.config();
    if (!config || m_state.stopping)
        return false;
    // One member of the region tries for the lease, so that the others cost the store nothing.
    const auto members = m_state.members.read();
    const bool first
        = members && std::none_of(members->begin(), members->end(), [this](const Member &member) {
              return member.region == m_state.settings.region && member.state == MemberState::alive
                  && member.name < m_state.settings.name;
          });
    return first
        && std::any_of(config->servers.begin(), config->servers.end(),
                       [](const auto &entry) { return entry.second.placement.has_value(); });
}

void PlacementDesk::tick()
{
    m_client.postAfter(tickPeriod, [this] { tick(); });
    if (!needed()) {
        m_lease = {};
        return;
    }
    if (m_busy)
        return;
    if (m_lease.fence == 0 || m_lease.until <= m_state.clock.now())
        return takeLease();
    renew();
    observe();
    giveOrders();
}

void PlacementDesk::giveUp()
{
    m_busy = false;
    m_lease = {};
}

void PlacementDesk::takeLease()
{
    m_busy = true;
    m_lease = {};
    // Counted from before the call: the store's own count starts later, so ours ends first.
    const TimePoint asked = m_state.clock.now();
    m_store.grantLease(leaseLife, [this, asked](const StoreLease &lease) {
        if (lease.end != StoreEnd::ok)
            return giveUp();
        onLease(lease.id, asked);
    });
}

void PlacementDesk::onLease(const std::string &id, TimePoint asked)
{
    m_session = id;
    m_store.acquire(holderKey(), id, m_state.settings.name, [this, asked](const StoreWrite &write) {
        if (write.end != StoreEnd::ok)
            return giveUp();
        raiseFence(asked);
    });
}

void PlacementDesk::raiseFence(TimePoint asked)
{
    m_store.read(fenceKey(), [this, asked](const StoreRead &read) {
        if (read.end != StoreEnd::ok && read.end != StoreEnd::notFound)
            return giveUp();
        onFence(read, asked);
    });
}

void PlacementDesk::onFence(const StoreRead &read, TimePoint asked)
{
    std::uint64_t last = 0;
    (void)absl::SimpleAtoi(read.value, &last);
    m_store.compareAndSet(fenceKey(), read.index, std::to_string(last + 1),
                          [this, last, asked](const StoreWrite &write) {
                              // After a lost answer the number may be taken; the next try takes the
                              // one after it.
                              if (write.end != StoreEnd::ok)
                                  return giveUp();
                              m_busy = false;
                              m_lease = {last + 1, asked + leaseLife};
                              logLine(LogPart::control, LogLevel::info,
                                      "Holds the placement lease.",
                                      {{"fence", std::to_string(last + 1)}});
                          });
}

void PlacementDesk::renew()
{
    const TimePoint asked = m_state.clock.now();
    m_store.renewLease(m_session, [this, asked](const StoreLease &lease) {
        if (lease.end == StoreEnd::ok && m_lease.fence != 0)
            m_lease.until = asked + leaseLife;
        if (lease.end == StoreEnd::notFound)
            m_lease = {};
    });
}

void PlacementDesk::observe()
{
    const auto config = m_state.gate.config();
    for (const auto &[name, server] : config->servers) {
        if (!server.placement)
            continue;
        OutgoingRequest request;
        request.url = "http://" + server.address + "/v1/models";
        request.limits.total = std::chrono::seconds(1);
        sendWhole(m_client, std::move(request),
                  [this, name = name](const WholeAnswer &answer) { onObserved(name, answer); });
    }
}

void PlacementDesk::onObserved(const std::string &server, const WholeAnswer &answer)
{
    const auto body = nlohmann::json::parse(answer.response.body, nullptr, false);
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

void PlacementDesk::giveOrders()
{
    const auto config = m_state.gate.config();
    PlacementQuestion question;
    question.servers = &config->servers;
    question.observed = &m_observed;
    question.lease = m_lease;
    question.now = m_state.clock.now();
    m_planner.setLoadsPerMinute(plannerLimits(m_state).loadsPerMinute);
    for (const PlacementOrder &order : m_planner.plan(question))
        send(order);
}

void PlacementDesk::send(const PlacementOrder &order)
{
    const auto config = m_state.gate.config();
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
    logLine(LogPart::control, LogLevel::info, "Placement order.",
            {{"server", order.server},
             {"model", order.placement.model},
             {"version", order.placement.version},
             {"fence", std::to_string(order.fence)}});
    sendWhole(m_client, std::move(request), [](const WholeAnswer &) {});
}

} // namespace ibisnotch
