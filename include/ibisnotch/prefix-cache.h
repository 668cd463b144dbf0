// Beliefs of one instance about which parts of prompts the model engines of its region keep.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/prompt.h"

namespace ibisnotch {

// An engine keeps the parts of a prompt after the request and gives up those used least recently
// when it needs their memory. No engine is asked what it keeps: an instance derives it from the
// first events of its own requests and from the rate of all requests.

// A process of a server.
struct ServerProcess
{
    std::uint32_t server = 0; // serverId() of its name
    std::uint64_t incarnation = 0; // 0 if unknown
    TimePoint coldSince{}; // as in ServerView
    bool operator==(const ServerProcess &) const = default;
};

// What is believed of the memory of one server.
struct ServerMemory
{
    TimePoint emptyAt{}; // when it kept nothing for the last time; default if that isn't known
    // Part of the memory without requests that is there for parts, corrected by first events.
    double roomFactor = 1;
    bool operator==(const ServerMemory &) const = default;
};

struct PartBeliefs
{
    double requestsPerSecond = 0; // by all instances of the region, estimated; never 0
    // Tokens that all instances together have added to the memory of each server since it held the
    // part for a request of this instance, estimated; infinity if it never did.
    std::vector<double> tokensSince;
    bool operator==(const PartBeliefs &) const = default;
};

struct PrefixBeliefs
{
    // Added to the memory of one of the servers by all instances, on average; 0 if unknown.
    double tokensPerSecond = 0;
    std::vector<ServerMemory> servers;
    std::vector<PartBeliefs> parts;
    bool operator==(const PrefixBeliefs &) const = default;
};

// Returns how probable it is that a server still keeps a part after this many tokens have been
// added to its memory, `room` of which is there for parts.
double keptProbability(double tokensSince, double room);

// The first event of an answer shows that the server holds the shared parts of the prompt. Its time
// may show whether the server held them before.
struct FirstPromptEvent
{
    ServerProcess process;
    std::span<const PromptPart> sharedParts;
    double addedTokens = 0; // to the server's memory: the request's own and shared ones not kept
    double keptTokens = 0; // shared tokens that were believed kept
    double foreseenSeconds = 0; // from sending to this event, as the belief foresaw; 0 if it didn't
    double elapsedSeconds = 0;
    double tokensPerMs = 0; // reading rate of the server; 0 if unknown
};

// Returns the factor by which the belief about the room for kept parts has to be corrected; 1 if
// the time of the event shows nothing.
double roomCorrection(const FirstPromptEvent &event);

// A sum to which values are added over time and whose older ones count less and less.
class FadingSum
{
public:
    // Values are added from `startedAt` on.
    FadingSum(Duration window, TimePoint startedAt)
        : m_window(window), m_startedAt(startedAt), m_at(startedAt)
    {
    }
    void add(double value, TimePoint now);
    // Returns what is added per second, on average over the window.
    double perSecond(TimePoint now) const;

private:
    double faded(TimePoint now) const;

    Duration m_window;
    TimePoint m_startedAt;
    TimePoint m_at;
    double m_sum = 0;
};

// Thread safe.
class PrefixCache
{
public:
    struct Limits
    {
        std::size_t maxEntries = 4096; // pairs of a part and a server, and parts
        // With more, as servers come and go under new names, all beliefs are given up.
        std::size_t maxServers = 1024;
        // Parts are requested rarely in comparison with the tokens of all requests.
        Duration demandWindow = std::chrono::seconds(20);
        Duration tokenWindow = std::chrono::seconds(5);
    };

    PrefixCache(Limits limits, TimePoint now) : m_limits(limits), m_startedAt(now) { }

    // Called for each request after its server has been chosen.
    void onRequest(std::span<const PromptPart> sharedParts, TimePoint now);
    void onFirstEvent(const FirstPromptEvent &event, TimePoint now);

    // Returns the beliefs about these servers and parts, in the same order. `trafficFactor` is that
    // of the routing table.
    PrefixBeliefs beliefs(std::span<const ServerProcess> servers,
                          std::span<const PromptPart> sharedParts, double trafficFactor,
                          TimePoint now);

    std::size_t entryCount() const;

private:
    struct Server
    {
        explicit Server(const FadingSum &none) : tokens(none) { }
        ServerMemory memory;
        std::uint64_t incarnation = 0;
        TimePoint coldSince{};
        double addedTokens = 0; // by this instance
        FadingSum tokens; // the same
        // Position in the last query, and the number of that query.
        std::size_t position = 0;
        std::uint64_t query = 0;
    };
    struct Entry
    {
        Server *server = nullptr; // in m_servers
        double addedTokens = 0; // value of Server::addedTokens when the part was last used
        TimePoint at{};
    };
    struct Part
    {
        explicit Part(const FadingSum &none) : demand(none) { }
        FadingSum demand;
        std::vector<Entry> entries;
        std::list<std::uint64_t>::iterator order; // in m_order
    };

    // m_mutex must be held.
    Server &update(const ServerProcess &process, TimePoint now);
    Part &use(std::uint64_t part);
    void bound();

    Limits m_limits;
    TimePoint m_startedAt;
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint32_t, Server> m_servers;
    std::unordered_map<std::uint64_t, Part> m_parts; // by their hash
    std::list<std::uint64_t> m_order; // of m_parts, least recently requested first
    std::size_t m_entryCount = 0;
    std::uint64_t m_query = 0;
};

} // namespace ibisnotch
