#include "ibisnotch/placement.h"

#include <algorithm>

namespace ibisnotch {

void PlacementPlanner::refill(TimePoint now)
{
    constexpr double secondsPerMinute = 60;
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(1.0, m_tokens + elapsed * m_limits.loadsPerMinute / secondsPerMinute);
}

bool PlacementPlanner::isPending(const PlacementOrder &order, TimePoint now) const
{
    const auto issued = m_issued.find(order.server);
    return issued != m_issued.end() && issued->second.order == order
        && now < issued->second.issuedAt + m_limits.orderRetryInterval;
}

bool PlacementPlanner::isLastOfModel(const PlacementInput &input, const std::string &server)
{
    const std::string &model = input.observed->at(server).placement.model;
    return std::none_of(input.observed->begin(), input.observed->end(), [&](const auto &other) {
        return other.first != server && !other.second.loading
            && other.second.placement.model == model;
    });
}

// An engine is out of service while it loads weights. The last engine that serves a model therefore
// keeps it until the engine that is to serve it next has loaded it. Two engines that swap models,
// each the last of its model, don't wait for each other.
bool PlacementPlanner::waitsForSuccessor(const PlacementInput &input, const std::string &server)
{
    const std::string &model = input.observed->at(server).placement.model;
    if (!isLastOfModel(input, server))
        return false;
    return std::any_of(input.observed->begin(), input.observed->end(), [&](const auto &other) {
        const auto wanted = input.servers->find(other.first);
        return other.first != server && wanted != input.servers->end() && wanted->second.placement
            && wanted->second.placement->model == model && !isLastOfModel(input, other.first);
    });
}

std::vector<PlacementOrder> PlacementPlanner::plan(const PlacementInput &input)
{
    std::vector<PlacementOrder> orders;
    const PlacementLease &lease = input.lease;
    if (lease.fence != m_fence) {
        // A new lease holder starts without tokens, since the former holder may just have used its
        // own and both together must stay within the rate of the weight store.
        m_fence = lease.fence;
        m_tokens = 0;
        m_refilledAt = input.now;
        m_issued.clear();
    }
    // A process that was stopped for a while may still consider itself the lease holder, so the
    // time is checked before every order. An order sent just before the lease ends is rejected by
    // its fencing token or, if the engine ignores that, corrected by the new holder from the
    // engine's report.
    if (lease.fence == 0 || input.now + m_limits.leaseMargin >= lease.until)
        return orders;
    refill(input.now);
    for (const auto &[name, server] : *input.servers) {
        const auto observed = input.observed->find(name);
        if (!server.placement || observed == input.observed->end())
            continue;
        const bool isPlaced = observed->second.placement == *server.placement;
        const PlacementOrder order{name, *server.placement, lease.fence};
        if (isPlaced || observed->second.loading || isPending(order, input.now))
            continue;
        const bool needsLoad = observed->second.placement.model != server.placement->model
            || observed->second.placement.version != server.placement->version
            || observed->second.placement.adapter != server.placement->adapter;
        if (needsLoad && (m_tokens < 1 || waitsForSuccessor(input, name)))
            continue;
        if (needsLoad)
            m_tokens -= 1;
        m_issued[name] = {order, input.now};
        orders.push_back(order);
    }
    return orders;
}

} // namespace ibisnotch
