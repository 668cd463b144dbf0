// Membership of the entry instances (SWIM): failure detection by direct and indirect probes,
// suspicion, refutation by a higher incarnation, and updates that are sent along with the probes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/random.h"

namespace ibisnotch {

// Within one incarnation, a later state overrides an earlier one.
enum class MemberState : std::uint8_t { alive, suspect, leaving, dead, left };

struct Member
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string callerAddress; // IP:port, like the next two addresses
    std::string peerAddress;
    std::string gossipAddress;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::alive;
    std::uint8_t loadPercent
        = 0; // load in percent of the instance's share of the region's capacity

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(name, region, dataCentre, callerAddress, peerAddress, gossipAddress, incarnation,
                state, loadPercent);
    }
    bool operator==(const Member &) const = default;
};

// Returns true if the state of a member in `a` overrides the state of the same member in `b`.
bool overrides(const Member &a, const Member &b);

enum class ProbeKind : std::uint8_t { ping, ack, pingRequest };

struct Probe
{
    ProbeKind kind = ProbeKind::ping;
    std::uint64_t sequence = 0;
    Member sender;
    Member target; // only in a ping request: the member to ping
    std::vector<Member> updates;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(kind, sequence, sender, target, updates);
    }
    bool operator==(const Probe &) const = default;
};

struct OutgoingProbe
{
    std::string address;
    Probe probe;
    bool operator==(const OutgoingProbe &) const = default;
};

struct MembershipSettings
{
    Duration probeInterval = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(400);
    // Time after which a suspect member is declared dead unless it refutes the suspicion.
    Duration suspicionTimeout = std::chrono::seconds(3);
    // Dead members are kept for this time and probed occasionally, so that the two sides of a
    // network partition find each other again without an operator once it has healed.
    Duration deadRetention = std::chrono::hours(1);
    // Time for which a dead member still counts as sending to backend servers: it may still be
    // running and merely be unreachable from this instance.
    Duration deadSenderGrace = std::chrono::seconds(30);
    // The same for a member that was leaving; it is killed if it doesn't end within this time.
    Duration leftSenderGrace = std::chrono::seconds(10);
    int indirectProbes = 3;
    // Share of the probes that go to members of the own region. These probes carry load reports,
    // which a region's instances need within seconds, however many other regions there are.
    double localProbeShare = 0.75;
    std::size_t updatesPerProbe = 8;
    std::size_t syncEntriesPerProbe = 2;
    // A longer gap between two ticks means that this process was stalled.
    Duration stallThreshold = std::chrono::seconds(3);
    // Interval between two exchanges of the whole table while it may be incomplete.
    Duration exchangeInterval = std::chrono::milliseconds(500);
    // The table counts as complete after this many exchanges in a row that brought no new member.
    int exchangesWithoutNews = 2;
    // Time after the start, or a stall, before an instance that hears of no other counts as alone.
    Duration aloneTime = std::chrono::seconds(2);
};

// Decides which probes to send and which state each member has. Does no I/O; not thread safe.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> seeds, MembershipSettings settings);

    // Starts and times out probes; must be called several times per probe interval. Returns the
    // probes to send.
    std::vector<OutgoingProbe> tick(TimePoint now, Random &random);
    std::vector<OutgoingProbe> onProbe(const Probe &probe, const std::string &from, TimePoint now,
                                       Random &random);

    // Applies a member state reported by another instance, over any channel. Returns true if it
    // changed the state known here.
    bool applyUpdate(const Member &member, TimePoint now);

    // Returns the address of a random member with which to exchange the whole table now. Empty
    // unless the table may be incomplete: probes bring only a few members each, so an instance that
    // has just joined a large fleet knows few of the others for some seconds.
    std::optional<std::string> nextExchange(TimePoint now, Random &random);
    // Applies the members of such an exchange. Returns true if any of them was unknown.
    bool onExchange(const std::vector<Member> &members, TimePoint now);
    // Returns whether the table holds all members that others know, or this instance is alone.
    bool isComplete(TimePoint now) const;

    // Returns pings to `fanout` random members, for updates that must not wait for the next probe.
    std::vector<OutgoingProbe> broadcast(int fanout, Random &random);
    // Returns pings to all members of the own region.
    std::vector<OutgoingProbe> broadcastToRegion();

    // Announces with the next probes that this instance is stopping.
    void leave();
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }
    void setLoadPercent(std::uint8_t percent) { m_self.loadPercent = percent; }

    const Member &self() const { return m_self; }
    std::vector<Member> members() const; // in any state, without this instance
    std::vector<Member> aliveMembers() const; // without this instance

    // Returns the names of the instances of the own region that may be sending to its backend
    // servers, including this instance. A dead member is included for `deadSenderGrace`, one that
    // has left for `leftSenderGrace`.
    std::vector<std::string> possibleSenders(TimePoint now) const;

    // Returns true if this process has stalled since the last call.
    bool consumeStall();

private:
    struct Entry
    {
        Member member;
        TimePoint changedAt;
        int transmissionsLeft = 0;
    };
    struct PendingProbe
    {
        std::string name;
        TimePoint ackDeadline;
        bool indirect = false;
    };
    struct RelayedProbe
    {
        std::string address; // of the instance that requested the ping
        std::uint64_t sequence = 0; // of its request
        TimePoint expiresAt;
    };

    Probe makeProbe(ProbeKind kind, std::uint64_t sequence);
    void addSyncEntries(Probe &probe);
    void startProbe(TimePoint now, Random &random, std::vector<OutgoingProbe> &out);
    void probeSeedOrDead(Random &random, std::vector<OutgoingProbe> &out);
    void checkPendingProbes(TimePoint now, Random &random, std::vector<OutgoingProbe> &out);
    void sendPingRequests(const PendingProbe &pending, std::uint64_t sequence, Random &random,
                          std::vector<OutgoingProbe> &out);
    void expire(TimePoint now);
    void restartTimersAfterStall(TimePoint now);
    void setState(Entry &entry, MemberState state, TimePoint now);
    bool applyUpdateOfSelf(const Member &member);
    std::optional<std::string> nextTarget(std::deque<std::string> &round, bool local,
                                          Random &random);
    int transmissionCount() const;

    Member m_self;
    std::vector<std::string> m_seeds;
    MembershipSettings m_settings;
    std::map<std::string, Entry> m_entries;
    std::deque<std::string> m_localRound;
    std::deque<std::string> m_remoteRound;
    std::map<std::uint64_t, PendingProbe> m_pendingProbes;
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes;
    std::uint64_t m_sequence = 0;
    std::string m_syncCursor;
    TimePoint m_nextProbe{};
    std::optional<TimePoint> m_lastTick;
    bool m_stalled = false;
    TimePoint m_joinedAt{}; // the first tick, or the first one after a stall
    TimePoint m_nextExchange{};
    int m_exchangesWithoutNews = 0; // in a row
};

} // namespace ibisnotch
