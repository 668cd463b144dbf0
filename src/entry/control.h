// The control loop of an entry instance: membership, configuration, load reports and crash marks.
#pragma once

#include <memory>
#include <string>

#include "ibisnotch/http-client.h"
#include "ibisnotch/membership.h"
#include "ibisnotch/peer-link.h"
#include "ibisnotch/store.h"
#include "state.h"

namespace ibisnotch {

class Control final : public PeerHandler
{
public:
    Control(EntryState &state, HttpClient &client, Store &store);
    ~Control() override;

    void start();
    void stop();

    // Tells peers at once that this instance is leaving.
    void leave();
    // Shares marks with all members of the region and some others, at once.
    void shareMarks(std::vector<CrashMark> marks);
    // Publishes a new routing table soon.
    void routingChanged();

    TrafficCount traffic() const { return m_link.traffic(); }
    Duration processorTime() const { return m_link.processorTime(); }

    void onGossip(const GossipMessage &message, const std::string &from) override;
    PeerReply onRequest(const PeerRequest &request) override;

private:
    void tick();
    void send(const std::vector<SendProbe> &probes);
    GossipMessage message(Probe probe, const std::string &toRegion);
    std::string regionOf(const std::string &gossipAddress) const;
    void publishMembers();
    void publishRouting();
    void updateOwnLoad();

    void pollServers();
    void pollServer(const BackendServer &server);
    void onPolled(const std::string &server, const WholeAnswer &answer);
    bool amongFirst(const std::string &key, std::size_t count) const;

    void watchConfig();
    void onStoreConfig(const StoreRead &read);
    void watchList();
    void onList(const StoreRead &read);
    void offer(const ConfigDocument &document, const std::string &source);
    void pullFrom(const std::string &gossipAddress);
    void announceConfig();
    void sweepClaims();

    EntryState &m_state;
    HttpClient &m_client;
    Store &m_store;
    Membership m_membership;
    std::size_t m_loadCursor = 0;
    std::size_t m_pollCursor = 0;
    std::uint64_t m_configIndex = 0;
    std::uint64_t m_listIndex = 0;
    bool m_watchingConfig = false;
    bool m_watchingList = false;
    bool m_pulling = false;
    std::uint64_t m_turnedDown = 0; // the latest version that was not valid here
    bool m_routingDirty = true;
    TimePoint m_lastPublish{};
    TimePoint m_nextPoll{};
    TimePoint m_nextSweep{};
    std::vector<LeavingNotice> m_leavingList;
    PeerLink m_link; // last: its thread uses the others
};

} // namespace ibisnotch
