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

// A load takes the engine out of service for a while. The last engine that serves a model goes on
// until the engine that is to follow it does. Two that are to swap models, each the last of its
// own, do not wait for each other.
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
        // A new holder starts without tokens: the former one may just have spent its own, and both
        // together must stay within the weight store's rate.
        m_fence = lease.fence;
        m_tokens = 0;
        m_refilledAt = input.now;
        m_issued.clear();
    }
    // A holder that was paused may think that it still holds the lease. It looks at its clock
    // before every order; an order on its way at that moment is caught by the fencing number, or,
    // where an engine ignores that, put right from the engine's report by the new holder.
    if (lease.fence == 0 || input.now + m_limits.leaseMargin >= lease.until)
        return orders;
    refill(input.now);
    for (const auto &[name, server] : *input.servers) {
        const auto observed = input.observed->find(name);
        if (!server.placement || observed == input.observed->end())
            continue;
        const bool done = observed->second.placement == *server.placement;
        const PlacementOrder order{name, *server.placement, lease.fence};
        if (done || observed->second.loading || isPending(order, input.now))
            continue;
        const bool loads = observed->second.placement.model != server.placement->model
            || observed->second.placement.version != server.placement->version
            || observed->second.placement.adapter != server.placement->adapter;
        if (loads && (m_tokens < 1 || waitsForSuccessor(input, name)))
            continue;
        if (loads)
            m_tokens -= 1;
        m_issued[name] = {order, input.now};
        orders.push_back(order);
    }
    return orders;
}

} // namespace ibisnotch
