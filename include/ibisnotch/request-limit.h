// Limits that backend servers name in their responses: the requests a second that a server accepts
// from all instances together.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// Message between instances of a region: a server named a limit, or no longer names one.
struct LimitUpdate
{
    std::uint32_t server = 0; // serverId() of its name
    double perSecond = 0; // 0 if the limit ended

    template <typename Archive> void serialize(Archive &archive) { archive(server, perSecond); }
    bool operator==(const LimitUpdate &) const = default;
};

// What a change of a limit is to the other instances of the region.
enum class LimitNews {
    none, // they need not hear of it
    confirmed, // still in force; heard from time to time, or they would drop it
    changed,
};

// The limit of one server, as one instance knows it.
class RequestLimit
{
public:
    // Records what a response to a request sent at `sentAt` says: the limit, or 0 if it names none.
    LimitNews onResponse(double perSecond, TimePoint sentAt, TimePoint now);
    // Records what another instance says. Returns true if the limit changed notably.
    bool onUpdate(double perSecond, TimePoint now);
    // Returns the requests a second, or 0 if no limit is in force.
    double perSecond(TimePoint now) const;

private:
    double m_perSecond = 0;
    TimePoint m_namedAt{}; // when the server last named it, to this or another instance
    double m_told = 0; // as the other instances know it
    TimePoint m_toldAt{}; // when they last heard of it
};

// Returns whether two limits differ so much that the other instances hear of it at once; 0 is none.
bool differsNotably(double a, double b);

// Returns the minimum time between two requests of this instance to a server that accepts so many a
// second from all `senders`; empty if they are assigned to other instances.
std::optional<Duration> limitInterval(double perSecond, const std::vector<std::string> &senders,
                                      const std::string &self, const std::string &server);

} // namespace ibisnotch
