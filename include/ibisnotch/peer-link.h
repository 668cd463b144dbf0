// Messages between entry instances: datagrams for news, short TCP exchanges for what is larger.
// Both are encoded by cereal's portable binary archive.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/active-config.h"
#include "ibisnotch/membership.h"
#include "ibisnotch/process-settings.h"
#include "ibisnotch/quarantine.h"
#include "ibisnotch/range-update.h"
#include "ibisnotch/region-choice.h"
#include "ibisnotch/server-table.h"
#include "ibisnotch/silence.h"
#include "ibisnotch/usage-cap.h"

namespace ibisnotch {

// Raised when fields are appended. A reader ignores what follows the fields it knows, so instances
// of neighbouring versions understand each other while a fleet is being replaced.
constexpr std::uint16_t peerProtocolVersion = 4;

struct GossipMessage
{
    std::uint16_t protocol = peerProtocolVersion;
    Probe probe;
    std::uint64_t configVersion = 0;
    std::vector<CompactLoad> loads; // of the sender's region only
    std::vector<RegionLoad> regionLoads;
    std::vector<CrashMark> crashMarks;
    std::vector<SilenceUpdate> silenceUpdates; // since protocol 2, as the next
    std::vector<RangeUpdate> rangeUpdates;
    std::vector<RangePosition> rangePositions; // since protocol 3, as the next
    std::vector<ColdUpdate> coldUpdates;
    bool hasCustomerUses = false; // since protocol 4, as the next two
    std::vector<CustomerUsage>
        customerUses; // of the sender; customers that are left out use nothing
    std::vector<RegionUsage> regionUses;

    bool operator==(const GossipMessage &) const = default;
};

std::string encodeGossip(const GossipMessage &message);
std::optional<GossipMessage> decodeGossip(const std::string &bytes);

// The form that messages travel in: the body's XXH3 hash, low byte first, then the body.
std::string withChecksum(const std::string &body);

struct PeerRequest
{
    std::uint16_t protocol = peerProtocolVersion;
    std::uint64_t knownVersion = 0;
    bool wantMembers = false;
    std::vector<RangeRequest> rangeRequests; // since protocol 3
    bool operator==(const PeerRequest &) const = default;
};

struct PeerReply
{
    std::uint16_t protocol = peerProtocolVersion;
    ConfigDelta delta; // toVersion 0: nothing newer
    std::vector<Member> members;
    std::vector<RangeReply> rangeReplies; // since protocol 3
    bool operator==(const PeerReply &) const = default;
};

struct TrafficCount
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    bool operator==(const TrafficCount &) const = default;
};

// Called on the link's loop.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onGossip(const GossipMessage &message, const std::string &from) = 0;
    virtual PeerReply onRequest(const PeerRequest &request) = 0;
};

// One thread, which also serves as the control loop of the instance.
class PeerLink
{
public:
    // Binds the address for datagrams and for TCP. Throws std::exception if that fails.
    PeerLink(const Address &address, PeerHandler &handler);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // From now on messages are taken in; those that came before wait in the sockets.
    void start();

    // From the loop's thread only.
    void sendGossip(const std::string &address, const GossipMessage &message);
    void sendRequest(const std::string &address, const PeerRequest &request,
                     std::function<void(std::optional<PeerReply>)> done);

    // From any thread.
    void post(std::function<void()> task);
    void postAfter(Duration delay, std::function<void()> task);

    TrafficCount traffic() const;
    // Processor time of the loop's thread so far.
    Duration processorTime() const;

    // Ends the loop; no handler runs after this returns.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace ibisnotch
