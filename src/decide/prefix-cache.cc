#include "ibisnotch/prefix-cache.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ibisnotch {

namespace {

constexpr double minRoomFactor = 0.2;
constexpr double contradictedFactor = 0.9;
constexpr double confirmedFactor = 1.05;
// Requests of a part that this instance has never had, per window, in an estimate of its rate.
constexpr double unseenRequests = 1;

} // namespace

double keptProbability(double tokensSince, double room)
{
    // The tokens are estimated from this instance's part of the requests, so the end of the room is
    // not sharp.
    if (room <= 0)
        return 0;
    const double filled = tokensSince / room;
    const double squared = filled * filled;
    return 1 / (1 + squared * squared);
}

double roomCorrection(const FirstPromptEvent &event)
{
    constexpr double msPerSecond = 1000;
    if (event.tokensPerMs <= 0 || event.foreseenSeconds <= 0)
        return 1;
    double shared = 0;
    for (const PromptPart &part : event.sharedParts)
        shared += static_cast<double>(part.tokens);
    const double readSeconds = shared / event.tokensPerMs / msPerSecond;
    const double keptShare = shared > 0 ? event.keptTokens / shared : 0;
    // Only where the wait is short in comparison with the time to read the parts does a late event
    // show that they were read. An early one always shows that they were not.
    const bool wasRead = event.foreseenSeconds < readSeconds
        && event.elapsedSeconds > event.foreseenSeconds + readSeconds;
    const bool wasKept = event.elapsedSeconds < readSeconds / 2;
    if (keptShare > 0.5 && wasRead)
        return contradictedFactor;
    return wasKept ? confirmedFactor : 1;
}

void FadingSum::add(double value, TimePoint now)
{
    m_sum = faded(now) + value;
    m_at = std::max(m_at, now);
}

double FadingSum::perSecond(TimePoint now) const
{
    // Until the window has passed, the sum covers the time since the start only.
    const double window = seconds(m_window);
    const double covered = window * (1 - std::exp(-seconds(now - m_startedAt) / window));
    constexpr double minCoveredSeconds = 1;
    return faded(now) / std::max(covered, minCoveredSeconds);
}

double FadingSum::faded(TimePoint now) const
{
    return now > m_at ? m_sum * std::exp(-seconds(now - m_at) / seconds(m_window)) : m_sum;
}

void PrefixCache::onRequest(std::span<const PromptPart> sharedParts, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (const PromptPart &part : sharedParts)
        use(part.hash).demand.add(1, now);
    bound();
}

void PrefixCache::onFirstEvent(const FirstPromptEvent &event, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Server &server = update(event.process, now);
    double &factor = server.memory.roomFactor;
    factor = std::clamp(factor * roomCorrection(event), minRoomFactor, 1.0);
    server.addedTokens += event.addedTokens;
    server.tokens.add(event.addedTokens, now);
    for (const PromptPart &part : event.sharedParts) {
        std::vector<Entry> &entries = use(part.hash).entries;
        const Entry entry{&server, server.addedTokens, now};
        const auto found = std::find_if(entries.begin(), entries.end(),
                                        [&](const Entry &one) { return one.server == &server; });
        if (found != entries.end()) {
            *found = entry;
            continue;
        }
        entries.push_back(entry);
        ++m_entryCount;
    }
    bound();
}

PrefixBeliefs PrefixCache::beliefs(std::span<const ServerProcess> servers,
                                   std::span<const PromptPart> sharedParts, double trafficFactor,
                                   TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    bound();
    PrefixBeliefs result;
    result.servers.reserve(servers.size());
    ++m_query;
    double tokensPerSecond = 0;
    for (const ServerProcess &process : servers) {
        Server &server = update(process, now);
        server.position = result.servers.size();
        server.query = m_query;
        tokensPerSecond += server.tokens.perSecond(now);
        result.servers.push_back(server.memory);
    }
    const double count = std::max<double>(1, static_cast<double>(servers.size()));
    result.tokensPerSecond = tokensPerSecond * trafficFactor / count;
    result.parts.reserve(sharedParts.size());
    for (const PromptPart &part : sharedParts) {
        PartBeliefs &beliefs = result.parts.emplace_back();
        beliefs.tokensSince.assign(servers.size(), std::numeric_limits<double>::infinity());
        beliefs.requestsPerSecond = unseenRequests / seconds(m_limits.demandWindow) * trafficFactor;
        const auto found = m_parts.find(part.hash);
        if (found == m_parts.end())
            continue;
        beliefs.requestsPerSecond += found->second.demand.perSecond(now) * trafficFactor;
        for (const Entry &entry : found->second.entries) {
            const Server &server = *entry.server;
            if (server.query == m_query && entry.at > server.memory.emptyAt)
                beliefs.tokensSince[server.position]
                    = (server.addedTokens - entry.addedTokens) * trafficFactor;
        }
    }
    return result;
}

std::size_t PrefixCache::entryCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_entryCount;
}

PrefixCache::Server &PrefixCache::update(const ServerProcess &process, TimePoint now)
{
    const auto [found, added]
        = m_servers.try_emplace(process.server, FadingSum(m_limits.tokenWindow, m_startedAt));
    Server &server = found->second;
    const bool isOtherProcess = process.incarnation != 0 && server.incarnation != 0
        && process.incarnation != server.incarnation;
    if (!added && (isOtherProcess || process.coldSince > server.coldSince))
        server.memory = {now, 1};
    if (process.incarnation != 0)
        server.incarnation = process.incarnation;
    server.coldSince = std::max(server.coldSince, process.coldSince);
    return server;
}

PrefixCache::Part &PrefixCache::use(std::uint64_t part)
{
    const auto [found, added]
        = m_parts.try_emplace(part, FadingSum(m_limits.demandWindow, m_startedAt));
    if (added)
        found->second.order = m_order.insert(m_order.end(), part);
    else
        m_order.splice(m_order.end(), m_order, found->second.order);
    return found->second;
}

void PrefixCache::bound()
{
    if (m_servers.size() > m_limits.maxServers) {
        m_parts.clear();
        m_order.clear();
        m_servers.clear();
        m_entryCount = 0;
        return;
    }
    const auto isFull = [this] {
        return m_entryCount > m_limits.maxEntries || m_parts.size() > m_limits.maxEntries;
    };
    while (isFull() && m_order.size() > 1) {
        const auto oldest = m_parts.find(m_order.front());
        m_entryCount -= oldest->second.entries.size();
        m_parts.erase(oldest);
        m_order.pop_front();
    }
}

} // namespace ibisnotch
