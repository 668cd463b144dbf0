// Which entry instances there are: failure detection by direct and indirect probes, suspicion,
// refutation by a higher incarnation, and updates carried along with the probes.
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

// In the order in which one state overrides another of the same incarnation.
enum class MemberState : std::uint8_t { alive, suspect, leaving, dead, left };

struct Member
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string callerAddress; // IP:port, as for the two below
    std::string peerAddress;
    std::string gossipAddress;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::alive;
    std::uint8_t loadPercent = 0; // of its own share of the region's capacity

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(name, region, dataCentre, callerAddress, peerAddress, gossipAddress, incarnation,
                state, loadPercent);
    }
    bool operator==(const Member &) const = default;
};

// True if what a says of a member overrides what b says.
bool overrides(const Member &a, const Member &b);

enum class ProbeKind : std::uint8_t { ping, ack, pingRequest };

struct Probe
{
    ProbeKind kind = ProbeKind::ping;
    std::uint64_t sequence = 0;
    Member sender;
    Member target; // of a ping request
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
    Duration period = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(400);
    Duration suspicion = std::chrono::seconds(3);
    // A dead member is kept, and probed now and then, so that two sides of a healed partition find
    // each other again without an operator.
    Duration deadRetention = std::chrono::hours(1);
    // How long a dead member may still be sending to backend servers, cut off from us alone.
    Duration deadSenderGrace = std::chrono::seconds(30);
    int indirectProbes = 3;
    // The part of the probes that stays in the own region. Load reports travel with those, and a
    // region's instances need them within seconds however many other regions there are.
    double localProbeShare = 0.75;
    std::size_t updatesPerProbe = 8;
    std::size_t syncEntriesPerProbe = 2;
    // A gap between two ticks that shows that this process was frozen.
    Duration stallThreshold = std::chrono::seconds(3);
};

// Decides probes and states. No I/O; not thread safe.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> seeds, MembershipSettings settings);

    // Call several times a period. Returns what to send.
    std::vector<OutgoingProbe> tick(TimePoint now, Random &random);
    std::vector<OutgoingProbe> onProbe(const Probe &probe, const std::string &from, TimePoint now,
                                       Random &random);

    // What another instance says of a member, from any channel. True if it was updates.
    bool applyUpdate(const Member &member, TimePoint now);

    // Sends our state at once to some members, for updates that must not wait.
    std::vector<OutgoingProbe> broadcast(int fanout, Random &random);

    void leave();
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }
    void setLoadPercent(std::uint8_t percent) { m_self.loadPercent = percent; }

    const Member &self() const { return m_self; }
    std::vector<Member> members() const; // without self
    std::vector<Member> aliveMembers() const; // without self; alive only

    // The instances of the own region that may be sending to its backend servers, self included.
    // One that was found dead may only be cut off, so it counts for some time longer.
    std::vector<std::string> possibleSenders(TimePoint now) const;

    // True once a tick came late by more than the freeze gap; cleared by the call.
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
        std::string address;
        std::uint64_t sequence = 0;
        TimePoint until;
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
};

} // namespace ibisnotch
