// Messages between entry instances: UDP datagrams for gossip, and TCP requests for content that
// does not fit into a datagram. Both are encoded by cereal's portable binary archive.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/active-config.h"
#include "ibisnotch/demand-totals.h"
#include "ibisnotch/demand.h"
#include "ibisnotch/membership.h"
#include "ibisnotch/origin-message.h"
#include "ibisnotch/process-settings.h"
#include "ibisnotch/quarantine.h"
#include "ibisnotch/range-update.h"
#include "ibisnotch/region-choice.h"
#include "ibisnotch/request-limit.h"
#include "ibisnotch/server-table.h"
#include "ibisnotch/silence.h"
#include "ibisnotch/usage-cap.h"

namespace ibisnotch {

// Increased when fields are appended. A reader ignores bytes after the fields that it knows, so
// instances of different versions can communicate during a rolling update.
constexpr std::uint16_t peerProtocolVersion = 7;

struct GossipMessage
{
    std::uint16_t protocol = peerProtocolVersion;
    Probe probe;
    std::uint64_t configVersion = 0;
    std::vector<CompactLoad> loads; // of backend servers in the sender's region
    std::vector<RegionLoad> regionLoads;
    std::vector<CrashMark> crashMarks;
    // Since protocol 2.
    std::vector<SilenceUpdate> silenceUpdates;
    // Ranges of the store, since protocol 6 with the store's era in their revisions. Earlier
    // revisions can't be compared with these and are dropped.
    std::vector<RangeUpdate> rangeUpdates;
    std::vector<RangePosition> rangePositions;
    // Since protocol 3.
    std::vector<ColdUpdate> coldUpdates;
    // Since protocol 4. If hasCustomerUsage is true, customerUsage is the whole usage of the
    // sender; customers that it does not list use nothing.
    bool hasCustomerUsage = false;
    std::vector<CustomerUsage> customerUsage;
    std::vector<RegionUsage> regionUsage;
    // Since protocol 5.
    std::vector<LimitUpdate> limitUpdates;
    // Since protocol 7. If hasDemand is true, `demands` is what callers ask of the sender.
    bool hasDemand = false;
    std::vector<Demand> demands;
    std::vector<RegionDemand> regionDemands;
    std::vector<CompactSpeed> serverSpeeds; // of backend servers in the sender's region
    // If hasCustomerDemand is true, customerDemand is the whole demand at the
    // sender.
    bool hasCustomerDemand = false;
    std::vector<CustomerDemand> customerDemand;
    std::vector<CustomerTotals> customerTotals;

    bool operator==(const GossipMessage &) const = default;
};

std::string encodeGossip(const GossipMessage &message);
std::optional<GossipMessage> decodeGossip(const std::string &bytes);

std::string encodeOrigins(const OriginMessage &message);
std::optional<OriginMessage> decodeOrigins(const std::string &bytes);

// Returns a message as it is sent: the XXH3 hash of the body, low byte first, then the body.
std::string withChecksum(const std::string &body);

struct PeerRequest
{
    std::uint16_t protocol = peerProtocolVersion;
    std::uint64_t knownVersion = 0;
    bool wantsMembers = false;
    std::vector<RangeRequest> rangeRequests; // since protocol 6, as in GossipMessage
    bool operator==(const PeerRequest &) const = default;
};

struct PeerReply
{
    std::uint16_t protocol = peerProtocolVersion;
    ConfigDelta delta; // toVersion is 0 if the sender has no newer configuration
    std::vector<Member> members;
    std::vector<RangeReply> rangeReplies; // since protocol 6, as in GossipMessage
    bool operator==(const PeerReply &) const = default;
};

struct TrafficCount
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    bool operator==(const TrafficCount &) const = default;
};

// Handles messages of other instances. Called on the link's thread.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onGossip(const GossipMessage &message, const std::string &from) = 0;
    virtual void onOrigins(const OriginMessage &, const std::string & /*from*/) { }
    virtual PeerReply onRequest(const PeerRequest &request) = 0;
};

// Sends and receives messages on a thread of its own, which also serves as the instance's control
// loop.
class PeerLink
{
public:
    // Binds the address for datagrams and for TCP. Throws std::exception if that fails.
    PeerLink(const Address &address, PeerHandler &handler);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // Begins to receive messages. Messages that arrived before wait in the sockets' buffers.
    void start();

    // May be called on the link's thread only. `done` is called with nothing if the request fails.
    void sendGossip(const std::string &address, const GossipMessage &message);
    void sendOrigins(const std::string &address, const OriginMessage &message);
    void sendRequest(const std::string &address, const PeerRequest &request,
                     std::function<void(std::optional<PeerReply>)> done);

    // Run a task on the link's thread. May be called from any thread.
    void post(std::function<void()> task);
    void postAfter(Duration delay, std::function<void()> task);

    TrafficCount traffic() const;
    // Returns the processor time that the link's thread has used.
    Duration processorTime() const;

    // Stops the thread; no handler runs after this returns.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace ibisnotch
