// The control loop of an entry instance: membership, configuration, load reports and crash marks.
// Functions are called on the loop's thread unless their comment says otherwise.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cold-server-monitor.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/membership.h"
#include "ibisnotch/peer-link.h"
#include "limit-monitor.h"
#include "origin-exchange.h"
#include "silent-server-monitor.h"
#include "state-source.h"
#include "state.h"
#include "suspect-writer.h"

namespace ibisnotch {

class Control final : public PeerHandler, public TaskRunner, private OriginTransport
{
public:
    Control(EntryState &state, const Protocol &protocol, HttpClient &client);
    ~Control() override;

    // Must be called before start().
    void setStateSource(std::unique_ptr<StateSource> source);
    void start();
    void stop();

    // Replaces the addresses of the instances through which this one joins. May be called from any
    // thread.
    void setSeeds(std::vector<std::string> seeds);

    // Run a task on the loop, at once or after a delay. May be called from any thread.
    void post(std::function<void()> task) override { m_link.post(std::move(task)); }
    void postAfter(Duration delay, std::function<void()> task) override
    {
        m_link.postAfter(delay, std::move(task));
    }
    // Puts the document in force and announces it if it is valid here and newer than the
    // configuration in force. `source` is logged as the origin of the document.
    void applyConfig(const ConfigDocument &document, const std::string &source);
    // Returns whether this instance is one of the `count` instances of its region that perform a
    // task.
    bool isResponsibleFor(std::string_view task, std::size_t count) const;
    // Returns whether this instance is the one of its region to which other regions report.
    bool isReporter() const;
    // Returns the number of alive instances in this region, including this one.
    std::size_t regionSize() const;
    // Sends the update to all other instances of the region; twice if it contains changes.
    void broadcastRangeUpdate(RangeUpdate update);
    // Requests the changes of ranges from another instance. Calls `done` with std::nullopt if it
    // does not reply.
    void requestRanges(const std::string &gossipAddress, std::vector<RangeRequest> requests,
                       std::function<void(std::optional<PeerReply>)> done);
    // Publishes the routing table and gossips with a few random members without waiting for the
    // next probe.
    void publishAndGossip();
    void publishRoutingTable();

    // Announces to all members that this instance is leaving. May be called from any thread.
    void leave();
    // Sends crash marks to all members of this region and to a few of other regions. May be called
    // from any thread.
    void broadcastCrashMarks(std::vector<CrashMark> marks);
    // Records what a server's response to a request sent at `sentAt` says of its limit. May be
    // called from any thread.
    void onNamedLimit(const std::string &server, const NamedLimit &limit, TimePoint sentAt);
    // Finds the origin of a stream, see OriginExchange::find(). May be called from any thread;
    // calls `done` on the loop.
    void findOrigin(OriginQuestion question, OriginExchange::Done done);
    // Tells other instances of a stream that has begun. May be called from any thread.
    void scheduleOriginNotices()
    {
        m_link.post([this] { m_origins.scheduleNotices(); });
    }
    // Write suspect parts of prompts to the store, or remove them from it. May be called from any
    // thread.
    void recordSuspects(std::vector<SuspectPart> suspects);
    void removeSuspects(std::vector<SuspectPart> suspects);
    // Gets the configuration of another instance that has a newer one, as its request or response
    // says, or tells it of this instance's newer one. Probes would take up to seconds. May be
    // called from any thread.
    void onVersionOf(const std::string &instance, std::uint64_t version);
    // Publishes a new routing table as soon as the minimum interval allows. May be called from any
    // thread.
    void scheduleRoutingUpdate();

    TrafficCount traffic() const { return m_link.traffic(); }
    Duration processorTime() const { return m_link.processorTime(); }

    void onGossip(const GossipMessage &message, const std::string &from) override;
    void onOrigins(const OriginMessage &message, const std::string &from) override
    {
        m_origins.onMessage(message, from);
    }
    PeerReply onRequest(const PeerRequest &request) override;

private:
    static constexpr std::size_t maxLoadsPerMessage = 48; // 19 bytes each
    static constexpr int gossipFanout = 4; // members that news is sent to at once

    void sendOrigins(const std::string &gossipAddress, const OriginMessage &message) override
    {
        m_link.sendOrigins(gossipAddress, message);
    }
    std::vector<Member> runningMembers() const override;
    void refreshLists(std::function<void(bool isCurrent)> done) override
    {
        m_source->refreshLists(std::move(done));
    }

    void tick();
    void sendProbes(const std::vector<OutgoingProbe> &probes);
    GossipMessage makeMessage(Probe probe, const std::string &toRegion);
    std::string regionOf(const std::string &gossipAddress) const;
    void publishMembers();
    void sendRegionLoads();
    std::vector<RegionLoad> ownRegionLoads(const RoutingTable &table) const;
    void sendServerLoads();
    // Adds this instance's demand, or at the reporter that of all regions.
    void addDemand(GossipMessage &message);
    std::optional<RegionDemand> ownRegionDemand(const RoutingTable &table);
    void updateRegionPlan();
    void logRegionPlan(const RegionPlan &plan);
    void sendCustomerUsage();
    void updateUsageScope();
    void updateRetryBurst(std::size_t members);
    void updateOwnLoad();

    void checkColdServers();
    void broadcastColdUpdate(const std::optional<ColdUpdate> &update);
    // Hears what a server says of itself in the response to a check sent at `sentAt`.
    void onCheckResponse(const ServerView &view, TimePoint sentAt, const BufferedResponse &reply);
    void checkSilentServers();
    void onSilenceChanges(SilenceChanges changes);
    void sendLimitUpdate(const LimitResult &result);
    void sendToRegion(const GossipMessage &message);
    void sendTwiceToRegion(GossipMessage message);
    GossipMessage makeEmptyMessage();
    void pollServers();
    void pollServer(const BackendServer &server);
    void onPollResponse(const std::string &server, const BufferedResponse &reply);
    bool isWantedVersion(std::uint64_t version) const;
    // Gets a newer version of which this instance has told, unless the store brings it first.
    void pullVersion(std::uint64_t version, const std::string &gossipAddress);
    void pullConfigFrom(const std::string &gossipAddress);
    void exchangeMembers();
    void applyConfigDelta(const ConfigDelta &delta);
    void announceConfig();
    void sendVersion(const std::string &gossipAddress);

    EntryState &m_state;
    HttpClient &m_client;
    Membership m_membership;
    SilentServerMonitor m_silentServers;
    ColdServerMonitor m_coldServers;
    LimitMonitor m_limitedServers;
    OriginExchange m_origins;
    const Protocol &m_protocol;
    std::size_t m_loadCursor = 0; // position of the next server whose load is gossiped
    std::size_t m_pollCursor = 0; // position of the next server to poll
    bool m_pullPlanned = false; // see pullVersion()
    bool m_pullInProgress = false; // of a configuration from a peer
    std::uint64_t m_rejectedVersion = 0; // of the last configuration found invalid here
    std::map<std::string, TimePoint> m_versionSentAt; // by gossip address
    bool m_routingDirty = true; // the published routing table is outdated
    TimePoint m_lastPublishAt{}; // of the routing table
    TimePoint m_nextPoll{};
    TimePoint m_nextRegionReport{};
    TimePoint m_nextLoadReport{};
    TimePoint m_nextUsageReport{};
    RegionPlan m_loggedPlan; // as last logged
    std::unique_ptr<StateSource> m_source;
    PeerLink m_link; // must be the last member: its thread uses the others
};

} // namespace ibisnotch
