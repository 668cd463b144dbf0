#include "limit-monitor.h"

#include <fmt/format.h>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr std::size_t maxLoggedTextLength = 32;

} // namespace

LimitResult LimitMonitor::onResponse(const std::string &server, const NamedLimit &limit,
                                     TimePoint sentAt)
{
    if (!limit.invalidText.empty() && m_invalid.insert(server).second)
        logLine(LogPart::load, LogLevel::warn, "Backend server's limit cannot be used.",
                {{"server", server}, {"limit", limit.invalidText.substr(0, maxLoggedTextLength)}});
    if (!limit.perSecond)
        return {};
    m_invalid.erase(server);
    const std::uint32_t id = serverId(server);
    LimitResult result;
    result.news = m_entries[id].limit.onResponse(*limit.perSecond, sentAt, m_state.clock.now());
    result.update = {id, *limit.perSecond};
    result.isChanged = publish(id, "response");
    return result;
}

bool LimitMonitor::onUpdate(const LimitUpdate &update, const std::string &sender)
{
    m_entries[update.server].limit.onUpdate(update.perSecond, m_state.clock.now());
    return publish(update.server, sender);
}

bool LimitMonitor::tick()
{
    bool changed = false;
    for (auto &[server, entry] : m_entries)
        changed |= publish(server, "expiry");
    std::erase_if(m_entries, [](const auto &item) { return item.second.published <= 0; });
    m_state.metrics.setGauge("ibisnotch_limited_servers", static_cast<double>(m_entries.size()));
    return changed;
}

bool LimitMonitor::publish(std::uint32_t server, const std::string &source)
{
    Entry &entry = m_entries[server];
    const double before = entry.published;
    entry.published = entry.limit.perSecond(m_state.clock.now());
    if (entry.published == before)
        return false;
    m_state.servers.setRequestLimit(server, entry.published);
    if (!differsNotably(entry.published, before))
        return true;
    const auto table = m_state.routing.read();
    std::string name = fmt::format("{:08x}", server);
    std::size_t senders = 0;
    if (table) {
        senders = table->senders.size();
        for (const ServerView &view : table->servers) {
            if (serverId(view.server.name) == server)
                name = view.server.name;
        }
    }
    logLine(LogPart::load, LogLevel::info,
            entry.published > 0 ? "Backend server limits requests."
                                : "Backend server's limit ended.",
            {{"server", name},
             {"perSecond", fmt::format("{:.3g}", entry.published)},
             {"before", fmt::format("{:.3g}", before)},
             {"senders", std::to_string(senders)},
             {"source", source}});
    return true;
}

} // namespace ibisnotch
