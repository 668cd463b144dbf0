// Which entry instances there are: failure detection by direct and indirect probes, suspicion,
// refutation by a higher incarnation, and news carried along with the probes.
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
    std::vector<Member> news;

    template <typename Archive> void serialize(Archive &archive)
    {
        archive(kind, sequence, sender, target, news);
    }
    bool operator==(const Probe &) const = default;
};

struct SendProbe
{
    std::string address;
    Probe probe;
    bool operator==(const SendProbe &) const = default;
};

struct MembershipSettings
{
    Duration period = std::chrono::seconds(1);
    Duration ackTimeout = std::chrono::milliseconds(400);
    Duration suspicion = std::chrono::seconds(3);
    // A dead member is kept, and probed now and then, so that two sides of a healed partition find
    // each other again without an operator.
    Duration forgetDead = std::chrono::hours(1);
    // How long a dead member may still be sending to backend servers, cut off from us alone.
    Duration mayStillSend = std::chrono::seconds(30);
    int indirectProbes = 3;
    // The part of the probes that stays in the own region. Load reports travel with those, and a
    // region's instances need them within seconds however many other regions there are.
    double localShare = 0.75;
    std::size_t newsPerProbe = 8;
    std::size_t fillers = 2;
    // A gap between two ticks that shows that this process was frozen.
    Duration freezeGap = std::chrono::seconds(3);
};

// Decides probes and states. No I/O; not thread safe.
class Membership
{
public:
    Membership(Member self, std::vector<std::string> seeds, MembershipSettings settings);

    // Call several times a period. Returns what to send.
    std::vector<SendProbe> tick(TimePoint now, Random &random);
    std::vector<SendProbe> onProbe(const Probe &probe, const std::string &from, TimePoint now,
                                   Random &random);

    // What another instance says of a member, from any channel. True if it was news.
    bool learn(const Member &member, TimePoint now);

    // Sends our state at once to some members, for news that must not wait.
    std::vector<SendProbe> spread(int fanout, Random &random);

    void leave();
    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }
    void setLoadPercent(std::uint8_t percent) { m_self.loadPercent = percent; }

    const Member &self() const { return m_self; }
    std::vector<Member> members() const; // without self
    std::vector<Member> usable() const; // without self; alive only

    // The instances of the own region that may be sending to its backend servers, self included.
    // One that was found dead may only be cut off, so it counts for some time longer.
    std::vector<std::string> senders(TimePoint now) const;

    // True once a tick came late by more than the freeze gap; cleared by the call.
    bool takeFreeze();

private:
    struct Entry
    {
        Member member;
        TimePoint changed;
        int spreadLeft = 0;
    };
    struct Waiting
    {
        std::string name;
        TimePoint ackBy;
        bool indirect = false;
    };
    struct Relay
    {
        std::string address;
        std::uint64_t sequence = 0;
        TimePoint until;
    };

    Probe makeProbe(ProbeKind kind, std::uint64_t sequence);
    void addFillers(Probe &probe);
    void startProbe(TimePoint now, Random &random, std::vector<SendProbe> &out);
    void probeSeedOrDead(Random &random, std::vector<SendProbe> &out);
    void checkWaiting(TimePoint now, Random &random, std::vector<SendProbe> &out);
    void askOthers(const Waiting &waiting, std::uint64_t sequence, Random &random,
                   std::vector<SendProbe> &out);
    void expire(TimePoint now);
    void excuseFreeze(TimePoint now);
    void setState(Entry &entry, MemberState state, TimePoint now);
    bool learnOfSelf(const Member &member);
    std::optional<std::string> nextTarget(std::deque<std::string> &round, bool local,
                                          Random &random);
    int spreadCount() const;

    Member m_self;
    std::vector<std::string> m_seeds;
    MembershipSettings m_settings;
    std::map<std::string, Entry> m_entries;
    std::deque<std::string> m_localRound;
    std::deque<std::string> m_remoteRound;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::map<std::uint64_t, Relay> m_relays;
    std::uint64_t m_sequence = 0;
    std::string m_fillCursor;
    TimePoint m_nextProbe{};
    std::optional<TimePoint> m_lastTick;
    bool m_frozen = false;
};

} // namespace ibisnotch
