#include "ibisnotch/placement.h"

#include <algorithm>

namespace ibisnotch {

void PlacementPlanner::refill(TimePoint now)
{
    constexpr double secondsPerMinute = 60;
    const double elapsed = std::chrono::duration<double>(now - m_refilled).count();
    m_refilled = now;
    m_tokens = std::min(1.0, m_tokens + elapsed * m_limits.loadsPerMinute / secondsPerMinute);
}

bool PlacementPlanner::waits(const PlacementOrder &order, TimePoint now) const
{
    const auto given = m_given.find(order.server);
    return given != m_given.end() && given->second.order == order
        && now < given->second.at + m_limits.orderPause;
}

bool PlacementPlanner::lastOfItsModel(const PlacementQuestion &question, const std::string &server)
{
    const std::string &model = question.observed->at(server).placement.model;
    return std::none_of(question.observed->begin(), question.observed->end(),
                        [&](const auto &other) {
                            return other.first != server && !other.second.loading
                                && other.second.placement.model == model;
                        });
}

// A load takes the engine out of service for a while. The last engine that serves a model goes on
// until the engine that is to follow it does. Two that are to swap models, each the last of its
// own, do not wait for each other.
bool PlacementPlanner::waitsForSuccessor(const PlacementQuestion &question,
                                         const std::string &server)
{
    const std::string &model = question.observed->at(server).placement.model;
    if (!lastOfItsModel(question, server))
        return false;
    return std::any_of(
        question.observed->begin(), question.observed->end(), [&](const auto &other) {
            const auto wanted = question.servers->find(other.first);
            return other.first != server && wanted != question.servers->end()
                && wanted->second.placement && wanted->second.placement->model == model
                && !lastOfItsModel(question, other.first);
        });
}

std::vector<PlacementOrder> PlacementPlanner::plan(const PlacementQuestion &question)
{
    std::vector<PlacementOrder> orders;
    const PlacementLease &lease = question.lease;
    if (lease.fence != m_fence) {
        // A new holder starts without tokens: the former one may just have spent its own, and both
        // together must stay within the weight store's rate.
        m_fence = lease.fence;
        m_tokens = 0;
        m_refilled = question.now;
        m_given.clear();
    }
    // A holder that was paused may think that it still holds the lease. It looks at its clock
    // before every order; an order on its way at that moment is caught by the fencing number, or,
    // where an engine ignores that, put right from the engine's report by the new holder.
    if (lease.fence == 0 || question.now + m_limits.leaseMargin >= lease.until)
        return orders;
    refill(question.now);
    for (const auto &[name, server] : *question.servers) {
        const auto observed = question.observed->find(name);
        if (!server.placement || observed == question.observed->end())
            continue;
        const bool done = observed->second.placement == *server.placement;
        const PlacementOrder order{name, *server.placement, lease.fence};
        if (done || observed->second.loading || waits(order, question.now))
            continue;
        const bool loads = observed->second.placement.model != server.placement->model
            || observed->second.placement.version != server.placement->version
            || observed->second.placement.adapter != server.placement->adapter;
        if (loads && (m_tokens < 1 || waitsForSuccessor(question, name)))
            continue;
        if (loads)
            m_tokens -= 1;
        m_given[name] = {order, question.now};
        orders.push_back(order);
    }
    return orders;
}

} // namespace ibisnotch
