// What backend servers say of themselves in the heads of their responses.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// The rest that a server asks for when it turns a request away: the time for which it wants no
// requests of the instance that it answers.
struct NamedRest
{
    Duration time{}; // 0 if it asks for none
    std::string invalidText; // the time as sent, if it is not a number that can be used
    bool operator==(const NamedRest &) const = default;
};

struct ServerStatement
{
    bool leaving = false; // the server will exit
    NamedRest rest;
    bool operator==(const ServerStatement &) const = default;
};

// The process that sent a response. It is known only by its address and by when it ran.
struct Speaker
{
    std::string server;
    std::string address;
    // Wall time in ms. A process that started later did not send the response.
    std::uint64_t startedBy = 0;
    bool operator==(const Speaker &) const = default;
};

// Keeps what processes of servers said of themselves until a later process of the server is known.
// Entries of the list of servers change for other reasons, are removed for a moment, or come from
// an older copy, and none of that takes back what a process said. Not thread safe.
class ServerStatements
{
public:
    // A statement of a server that isn't listed any more takes memory until this many are kept.
    static constexpr std::size_t maxKept = 8192;

    void onLeaving(const Speaker &speaker, TimePoint now);
    // Called when a process wants no requests before `until`. A later answer that asks for a
    // shorter rest, or for none, doesn't end it.
    void onRest(const Speaker &speaker, TimePoint until, TimePoint now);
    // Returns whether the server's process said that it leaves. `incarnation` is the start time of
    // the process as listed, 0 if unknown; if it is later than that of the speaker, the statement
    // ends.
    bool isLeaving(const std::string &server, const std::string &address,
                   std::uint64_t incarnation);
    // The same for a rest: returns its end, or TimePoint{} if the process asked for none.
    TimePoint restsUntil(const std::string &server, const std::string &address,
                         std::uint64_t incarnation);

private:
    struct Kept
    {
        std::uint64_t leavingStartedBy = 0;
        bool leaving = false;
        std::uint64_t restStartedBy = 0;
        TimePoint restsUntil{};
        TimePoint heardAt{};
    };

    Kept &keep(const Speaker &speaker, TimePoint now);

    std::map<std::pair<std::string, std::string>, Kept> m_kept; // by server and address
};

} // namespace ibisnotch
