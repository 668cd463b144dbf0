// Tells other instances the origins of the streams that this instance begins, and asks them for the
// origin of a stream that a caller resumes here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ibisnotch/origin-message.h"
#include "state.h"

namespace ibisnotch {

// What the exchange needs of the control loop.
class OriginTransport
{
public:
    virtual ~OriginTransport() = default;
    virtual void sendOrigins(const std::string &gossipAddress, const OriginMessage &message) = 0;
    virtual void postAfter(Duration delay, std::function<void()> task) = 0;
    // Returns the members that may be running, this instance included.
    virtual std::vector<Member> runningMembers() const = 0;
};

struct OriginFinding
{
    std::optional<StreamOrigin> origin; // empty if it isn't known for certain
    OriginSource source = OriginSource::unknown;
    Duration age{}; // of the record that told it
    std::size_t asked = 0; // instances
    std::size_t answered = 0;
    bool operator==(const OriginFinding &) const = default;
};

// Not thread safe; used on the control loop only.
class OriginExchange
{
public:
    using Done = std::function<void(const OriginFinding &)>;

    // Time after which the other instances count as not answering. Twice the round trip between
    // two regions.
    static constexpr Duration maxSearchTime = std::chrono::milliseconds(350);

    OriginExchange(EntryState &state, OriginTransport &transport)
        : m_state(state), m_transport(transport)
    {
    }

    // Tells the streams that began since the last call, if their callers could not resume them
    // elsewhere otherwise. Called several times a second.
    void tick();
    // Does so shortly, for all streams that begin until then.
    void scheduleNotices();
    // Finds the origin of a stream of which this instance has no record. Calls `done` once, at the
    // latest after maxSearchTime.
    void find(const OriginQuestion &question, Done done);
    void onMessage(const OriginMessage &message, const std::string &from);

private:
    struct Search
    {
        OriginQuestion question;
        Done done;
        std::set<std::string> unanswered; // addresses
        std::size_t asked = 0;
        std::vector<PossibleOrigins> known; // by this instance, and by those that answered
    };

    std::vector<Member> holdersOf(std::uint64_t stream) const;
    void ask(std::uint64_t search, Duration elapsed);
    void onAnswer(const OriginAnswer &answer, const std::string &from);
    bool mayRelyOnLists(const Search &search) const;
    void finish(std::uint64_t search, std::optional<OriginAnswer> told);

    EntryState &m_state;
    OriginTransport &m_transport;
    std::map<std::uint64_t, Search> m_searches;
    std::uint64_t m_lastSearch = 0;
    bool m_noticesScheduled = false;
};

} // namespace ibisnotch
