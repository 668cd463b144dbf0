// Sends the region's placement orders while this instance holds the region's placement lease.
#pragma once

#include <map>
#include <string>

#include "ibisnotch/http-client.h"
#include "ibisnotch/placement.h"
#include "ibisnotch/store.h"
#include "state.h"

namespace ibisnotch {

// Runs on the event loop of one HTTP client. Sends nothing if no engine has a placement.
class PlacementController
{
public:
    PlacementController(EntryState &state, HttpClient &client, Store &store);

    void start();

private:
    void tick();
    bool isResponsible() const;
    void acquireLease();
    void onLease(const std::string &id, TimePoint requestedAt);
    void readFence(TimePoint requestedAt);
    void incrementFence(const StoreRead &read, TimePoint requestedAt);
    void renewLease();
    void abandonLease();
    void queryPlacements();
    void onObserved(const std::string &server, const BufferedResponse &reply);
    void sendOrders();
    void send(const PlacementOrder &order);

    std::string holderKey() const;
    std::string fenceKey() const;

    EntryState &m_state;
    HttpClient &m_client;
    Store &m_store;
    PlacementPlanner m_planner;
    PlacementLease m_lease;
    std::string m_session; // id of the store session that holds the lease
    bool m_acquiring = false; // whether a lease is being acquired
    std::map<std::string, ObservedPlacement> m_observed; // by server name
};

} // namespace ibisnotch
