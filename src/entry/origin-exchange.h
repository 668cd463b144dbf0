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
    // Reads anew from the store which servers and services there are. Calls `done` once, maybe
    // before it returns, with whether every change is known now that the store had accepted before
    // this call.
    virtual void refreshLists(std::function<void(bool isCurrent)> done) = 0;
};

struct OriginFinding
{
    std::optional<StreamOrigin> origin; // empty if it isn't known for certain
    OriginSource source = OriginSource::unknown;
    Duration age{}; // of the record that told it
    std::size_t asked = 0; // instances
    std::size_t answered = 0;
    bool isListCurrent = false; // this instance has read its list anew for the search
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
    // Time that the store has to confirm the only possible origin before others are asked as well.
    // Longer than the reads of a crowd of callers are apart, as each that is asked reads, too.
    static constexpr Duration askDelay = std::chrono::milliseconds(250);

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
    // latest after askDelay and maxSearchTime, or when its list has been read anew.
    void find(const OriginQuestion &question, Done done);
    void onMessage(const OriginMessage &message, const std::string &from);

private:
    struct Search
    {
        OriginQuestion question;
        Done done;
        std::set<std::string> unanswered; // addresses
        std::size_t asked = 0;
        bool hasAsked = false;
        bool isAskingOver = false; // all have answered, or the time for it has passed
        bool isRefreshing = false; // this instance's list is being read anew
        bool isCurrent = false; // it has been
        std::vector<PossibleOrigins> told; // by those that answered
    };

    std::vector<Member> holdersOf(std::uint64_t stream) const;
    PossibleOrigins ownOrigins(const Search &search) const;
    void startAsking(std::uint64_t search);
    void ask(std::uint64_t search, Duration elapsed);
    void onRefreshed(std::uint64_t search, bool isCurrent);
    void endAsking(std::uint64_t search);
    OriginAnswer makeAnswer(const OriginQuestion &question) const;
    void answerWhenCurrent(const OriginQuestion &question, const std::string &from);
    void onAnswer(const OriginAnswer &answer, const std::string &from);
    std::optional<StreamOrigin> soleOriginOf(const Search &search) const;
    void finish(std::uint64_t search, std::optional<OriginAnswer> told);

    EntryState &m_state;
    OriginTransport &m_transport;
    std::map<std::uint64_t, Search> m_searches;
    std::uint64_t m_lastSearch = 0;
    bool m_noticesScheduled = false;
};

} // namespace ibisnotch
