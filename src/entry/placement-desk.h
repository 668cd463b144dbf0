// Gives the region's placement orders while this instance holds the lease for it.
#pragma once

#include <map>
#include <string>

#include "ibisnotch/http-client.h"
#include "ibisnotch/placement.h"
#include "ibisnotch/store.h"
#include "state.h"

namespace ibisnotch {

// Everything happens on the loop of one HTTP client. Silent where no engine has a placement.
class PlacementDesk
{
public:
    PlacementDesk(EntryState &state, HttpClient &client, Store &store);

    void start();

private:
    void tick();
    bool needed() const;
    void takeLease();
    void onLease(const std::string &id, TimePoint asked);
    void raiseFence(TimePoint asked);
    void onFence(const StoreRead &read, TimePoint asked);
    void renew();
    void giveUp();
    void observe();
    void onObserved(const std::string &server, const WholeAnswer &answer);
    void giveOrders();
    void send(const PlacementOrder &order);

    std::string holderKey() const;
    std::string fenceKey() const;

    EntryState &m_state;
    HttpClient &m_client;
    Store &m_store;
    PlacementPlanner m_planner;
    PlacementLease m_lease;
    std::string m_session;
    bool m_busy = false;
    std::map<std::string, ObservedPlacement> m_observed;
};

} // namespace ibisnotch
