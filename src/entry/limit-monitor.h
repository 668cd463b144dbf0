// Keeps the limits that backend servers name in their responses.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "ibisnotch/request-limit.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

// What followed from a response.
struct LimitResult
{
    bool isChanged = false; // the routing table is outdated
    LimitNews news = LimitNews::none;
    LimitUpdate update; // for the region's other instances, if there is news
};

// Not thread safe; used on the control loop only.
class LimitMonitor
{
public:
    explicit LimitMonitor(EntryState &state) : m_state(state) { }

    // Records what a response to a request sent at `sentAt` says.
    LimitResult onResponse(const std::string &server, const NamedLimit &limit, TimePoint sentAt);
    // Records an update of another instance of the region. Returns true if the routing table is
    // outdated.
    bool onUpdate(const LimitUpdate &update, const std::string &sender);
    // Drops the limits that nobody has heard of for long. Returns true if the routing table is
    // outdated. Called several times a second.
    bool tick();

private:
    // Passes the limit on to the table of servers. Returns true if it changed there.
    bool publish(std::uint32_t server, const std::string &source);

    struct Entry
    {
        RequestLimit limit;
        double published = 0; // as the table of servers has it
    };

    EntryState &m_state;
    std::map<std::uint32_t, Entry> m_entries; // by serverId()
    std::set<std::string> m_invalid; // servers that named a limit that can't be used
};

} // namespace ibisnotch
