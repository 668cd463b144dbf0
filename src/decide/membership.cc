#include "ibisnotch/membership.h"

#include <algorithm>
#include <bit>

namespace ibisnotch {

namespace {

constexpr int periodsPerSeedProbe = 10;

bool isDeadOrLeft(MemberState state)
{
    return state == MemberState::dead || state == MemberState::left;
}

template <typename T> void shuffle(std::deque<T> &items, Random &random)
{
    for (std::size_t i = items.size(); i > 1; --i)
        std::swap(items[i - 1], items[random.below(i)]);
}

} // namespace

bool overrides(const Member &a, const Member &b)
{
    if (a.incarnation != b.incarnation)
        return a.incarnation > b.incarnation;
    return a.state > b.state;
}

Membership::Membership(Member self, std::vector<std::string> seeds, MembershipSettings settings)
    : m_self(std::move(self)), m_seeds(std::move(seeds)), m_settings(settings)
{
    std::erase(m_seeds, m_self.gossipAddress);
}

int Membership::transmissionCount() const
{
    // Each update is sent a few times per doubling of the member count, which reaches all members
    // with high probability.
    constexpr int transmissionsPerDoubling = 3;
    return transmissionsPerDoubling * static_cast<int>(std::bit_width(m_entries.size() + 1));
}

Probe Membership::makeProbe(ProbeKind kind, std::uint64_t sequence)
{
    Probe probe;
    probe.kind = kind;
    probe.sequence = sequence;
    probe.sender = m_self;
    std::vector<Entry *> recent;
    for (auto &[name, entry] : m_entries) {
        if (entry.transmissionsLeft > 0)
            recent.push_back(&entry);
    }
    std::stable_sort(recent.begin(), recent.end(), [](const Entry *a, const Entry *b) {
        return a->transmissionsLeft > b->transmissionsLeft;
    });
    recent.resize(std::min(recent.size(), m_settings.updatesPerProbe));
    for (Entry *entry : recent) {
        --entry->transmissionsLeft;
        probe.updates.push_back(entry->member);
    }
    addSyncEntries(probe);
    return probe;
}

// An update is no longer sent once it has probably reached all members. For members that missed it,
// each probe also carries a few entries of the whole table in turn, so that all tables converge.
void Membership::addSyncEntries(Probe &probe)
{
    for (std::size_t i = 0; i < std::min(m_settings.syncEntriesPerProbe, m_entries.size()); ++i) {
        if (probe.updates.size() >= m_settings.updatesPerProbe)
            return;
        auto next = m_entries.upper_bound(m_syncCursor);
        if (next == m_entries.end())
            next = m_entries.begin();
        m_syncCursor = next->first;
        probe.updates.push_back(next->second.member);
    }
}

std::vector<OutgoingProbe> Membership::tick(TimePoint now, Random &random)
{
    std::vector<OutgoingProbe> out;
    if (!m_lastTick)
        m_joinedAt = now;
    if (m_lastTick && now - *m_lastTick > m_settings.stallThreshold)
        restartTimersAfterStall(now);
    m_lastTick = now;
    checkPendingProbes(now, random, out);
    expire(now);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.probeInterval;
        startProbe(now, random, out);
        probeSeedOrDead(random, out);
    }
    return out;
}

void Membership::restartTimersAfterStall(TimePoint now)
{
    // Timers that expired while this process was stalled say nothing about the other members;
    // acting on them would declare healthy members dead.
    m_stalled = true;
    // Members that joined meanwhile are unknown.
    m_joinedAt = now;
    m_exchangesWithoutNews = 0;
    m_pendingProbes.clear();
    m_relayedProbes.clear();
    for (auto &[name, entry] : m_entries) {
        if (entry.member.state == MemberState::suspect)
            entry.changedAt = now;
    }
}

bool Membership::consumeStall()
{
    const bool stalled = m_stalled;
    m_stalled = false;
    return stalled;
}

std::optional<std::string> Membership::nextTarget(std::deque<std::string> &round, bool local,
                                                  Random &random)
{
    // Probes each member once per shuffled round instead of picking members independently at
    // random, which bounds the time until a failure is detected.
    for (int pass = 0; pass < 2; ++pass) {
        while (!round.empty()) {
            const std::string name = round.front();
            round.pop_front();
            const auto found = m_entries.find(name);
            if (found != m_entries.end() && !isDeadOrLeft(found->second.member.state))
                return name;
        }
        for (const auto &[name, entry] : m_entries) {
            if ((entry.member.region == m_self.region) == local)
                round.push_back(name);
        }
        shuffle(round, random);
    }
    return std::nullopt;
}

void Membership::startProbe(TimePoint now, Random &random, std::vector<OutgoingProbe> &out)
{
    const bool local = random.uniform() < m_settings.localProbeShare;
    auto name = nextTarget(local ? m_localRound : m_remoteRound, local, random);
    if (!name)
        name = nextTarget(local ? m_remoteRound : m_localRound, !local, random);
    if (!name)
        return;
    const std::uint64_t sequence = ++m_sequence;
    m_pendingProbes[sequence] = {*name, now + m_settings.ackTimeout, false};
    out.push_back({m_entries.at(*name).member.gossipAddress, makeProbe(ProbeKind::ping, sequence)});
}

void Membership::probeSeedOrDead(Random &random, std::vector<OutgoingProbe> &out)
{
    const bool alone = aliveMembers().empty();
    if (!alone && random.below(periodsPerSeedProbe) != 0)
        return;
    std::vector<std::string> addresses = m_seeds;
    for (const auto &[name, entry] : m_entries) {
        if (entry.member.state == MemberState::dead)
            addresses.push_back(entry.member.gossipAddress);
    }
    if (addresses.empty())
        return;
    out.push_back(
        {addresses[random.below(addresses.size())], makeProbe(ProbeKind::ping, ++m_sequence)});
}

void Membership::checkPendingProbes(TimePoint now, Random &random, std::vector<OutgoingProbe> &out)
{
    std::vector<std::uint64_t> expired;
    for (auto &[sequence, pending] : m_pendingProbes) {
        if (now < pending.ackDeadline)
            continue;
        if (!pending.indirect) {
            pending.indirect = true;
            pending.ackDeadline = now + m_settings.probeInterval - m_settings.ackTimeout;
            sendPingRequests(pending, sequence, random, out);
            continue;
        }
        expired.push_back(sequence);
        const auto found = m_entries.find(pending.name);
        if (found != m_entries.end() && found->second.member.state == MemberState::alive)
            setState(found->second, MemberState::suspect, now);
        else if (found != m_entries.end() && found->second.member.state == MemberState::leaving)
            setState(found->second, MemberState::left, now);
    }
    for (const std::uint64_t sequence : expired)
        m_pendingProbes.erase(sequence);
    std::erase_if(m_relayedProbes,
                  [now](const auto &relay) { return relay.second.expiresAt <= now; });
}

void Membership::sendPingRequests(const PendingProbe &pending, std::uint64_t sequence,
                                  Random &random, std::vector<OutgoingProbe> &out)
{
    const auto target = m_entries.find(pending.name);
    if (target == m_entries.end())
        return;
    std::deque<std::string> relays;
    for (const Member &member : aliveMembers()) {
        if (member.name != pending.name)
            relays.push_back(member.gossipAddress);
    }
    shuffle(relays, random);
    const auto count = std::min<std::size_t>(relays.size(), m_settings.indirectProbes);
    for (std::size_t i = 0; i < count; ++i) {
        Probe probe = makeProbe(ProbeKind::pingRequest, sequence);
        probe.target = target->second.member;
        out.push_back({relays[i], std::move(probe)});
    }
}

void Membership::setState(Entry &entry, MemberState state, TimePoint now)
{
    entry.member.state = state;
    entry.changedAt = now;
    entry.transmissionsLeft = transmissionCount();
}

void Membership::expire(TimePoint now)
{
    for (auto &[name, entry] : m_entries) {
        const bool overdue = entry.changedAt + m_settings.suspicionTimeout <= now;
        if (entry.member.state == MemberState::suspect && overdue)
            setState(entry, MemberState::dead, now);
    }
    std::erase_if(m_entries, [&](const auto &item) {
        return isDeadOrLeft(item.second.member.state)
            && item.second.changedAt + m_settings.deadRetention <= now;
    });
}

bool Membership::applyUpdateOfSelf(const Member &member)
{
    // Another instance considers this one suspect or dead, or has a higher incarnation from an
    // earlier run of it. Only a still higher incarnation overrides that, and only the instance
    // itself may raise its incarnation.
    const bool mustRefute = member.incarnation > m_self.incarnation
        || (member.incarnation == m_self.incarnation && member.state > m_self.state);
    if (!mustRefute)
        return false;
    m_self.incarnation = member.incarnation + 1;
    return true;
}

bool Membership::applyUpdate(const Member &member, TimePoint now)
{
    if (member.name.empty())
        return false;
    if (member.name == m_self.name)
        return applyUpdateOfSelf(member);
    const auto found = m_entries.find(member.name);
    if (found == m_entries.end()) {
        // Adding a dead member would make this instance report it to others, which would probe it.
        if (isDeadOrLeft(member.state))
            return false;
        m_entries[member.name] = {member, now, transmissionCount()};
        return true;
    }
    if (!overrides(member, found->second.member))
        return false;
    found->second.member = member;
    setState(found->second, member.state, now);
    return true;
}

std::vector<OutgoingProbe> Membership::onProbe(const Probe &probe, const std::string &from,
                                               TimePoint now, Random &random)
{
    std::vector<OutgoingProbe> out;
    // Read before the updates are applied, which may overwrite the sender's entry.
    const auto known = m_entries.find(probe.sender.name);
    const bool isSenderPresumedDead = known != m_entries.end()
        && known->second.member.state >= MemberState::suspect
        && known->second.member.state != MemberState::leaving;
    Member previousEntry;
    if (isSenderPresumedDead)
        previousEntry = known->second.member;
    applyUpdate(probe.sender, now);
    if (const auto entry = m_entries.find(probe.sender.name); entry != m_entries.end())
        entry->second.member.loadPercent = probe.sender.loadPercent;
    for (const Member &member : probe.updates)
        applyUpdate(member, now);

    switch (probe.kind) {
    case ProbeKind::ping: {
        Probe ack = makeProbe(ProbeKind::ack, probe.sequence);
        // Informs the sender that it is considered dead here, so that it can refute that at once.
        if (isSenderPresumedDead)
            ack.updates.push_back(previousEntry);
        out.push_back({from, std::move(ack)});
        break;
    }
    case ProbeKind::pingRequest: {
        const std::uint64_t sequence = ++m_sequence;
        m_relayedProbes[sequence] = {from, probe.sequence, now + m_settings.probeInterval};
        out.push_back({probe.target.gossipAddress, makeProbe(ProbeKind::ping, sequence)});
        break;
    }
    case ProbeKind::ack: {
        const auto relay = m_relayedProbes.find(probe.sequence);
        if (relay != m_relayedProbes.end()) {
            out.push_back(
                {relay->second.address, makeProbe(ProbeKind::ack, relay->second.sequence)});
            m_relayedProbes.erase(relay);
        }
        m_pendingProbes.erase(probe.sequence);
        break;
    }
    }
    (void)random;
    return out;
}

std::optional<std::string> Membership::nextExchange(TimePoint now, Random &random)
{
    if (now < m_nextExchange || m_exchangesWithoutNews >= m_settings.exchangesWithoutNews)
        return std::nullopt;
    const std::vector<Member> alive = aliveMembers();
    if (alive.empty())
        return std::nullopt;
    m_nextExchange = now + m_settings.exchangeInterval;
    return alive[random.below(alive.size())].gossipAddress;
}

bool Membership::onExchange(const std::vector<Member> &members, TimePoint now)
{
    const std::size_t before = m_entries.size();
    for (const Member &member : members)
        applyUpdate(member, now);
    const bool hasNews = m_entries.size() > before;
    m_exchangesWithoutNews = hasNews ? 0 : m_exchangesWithoutNews + 1;
    return hasNews;
}

bool Membership::isComplete(TimePoint now) const
{
    if (m_exchangesWithoutNews >= m_settings.exchangesWithoutNews)
        return true;
    return m_lastTick && now - m_joinedAt >= m_settings.aloneTime && aliveMembers().empty();
}

std::vector<OutgoingProbe> Membership::broadcast(int fanout, Random &random)
{
    std::deque<std::string> addresses;
    for (const Member &member : aliveMembers())
        addresses.push_back(member.gossipAddress);
    shuffle(addresses, random);
    addresses.resize(std::min<std::size_t>(addresses.size(), fanout));
    std::vector<OutgoingProbe> out;
    for (const std::string &address : addresses)
        out.push_back({address, makeProbe(ProbeKind::ping, ++m_sequence)});
    return out;
}

std::vector<OutgoingProbe> Membership::broadcastToRegion()
{
    std::vector<OutgoingProbe> out;
    for (const Member &member : aliveMembers()) {
        if (member.region == m_self.region)
            out.push_back({member.gossipAddress, makeProbe(ProbeKind::ping, ++m_sequence)});
    }
    return out;
}

void Membership::leave()
{
    m_self.state = MemberState::leaving;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> result;
    for (const auto &[name, entry] : m_entries)
        result.push_back(entry.member);
    return result;
}

std::vector<std::string> Membership::possibleSenders(TimePoint now) const
{
    std::vector<std::string> names{m_self.name};
    for (const auto &[name, entry] : m_entries) {
        const bool hasLeft = entry.member.state == MemberState::left;
        const Duration grace = hasLeft ? m_settings.leftSenderGrace : m_settings.deadSenderGrace;
        const bool cannotSend = isDeadOrLeft(entry.member.state) && entry.changedAt + grace <= now;
        if (entry.member.region == m_self.region && !cannotSend)
            names.push_back(name);
    }
    return names;
}

std::vector<Member> Membership::aliveMembers() const
{
    std::vector<Member> result;
    for (const auto &[name, entry] : m_entries) {
        if (entry.member.state == MemberState::alive)
            result.push_back(entry.member);
    }
    return result;
}

} // namespace ibisnotch
