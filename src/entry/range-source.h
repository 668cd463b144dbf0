// Reads the configuration, the backend servers and the evacuated data centres from key ranges of
// the platform's store.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control.h"
#include "ibisnotch/prefix-follower.h"
#include "ibisnotch/server-list.h"
#include "ibisnotch/store.h"
#include "ibisnotch/stream-origin.h"
#include "refresh-batcher.h"
#include "state-source.h"
#include "suspect-writer.h"

namespace ibisnotch {

struct EvacuatedDataCentre
{
    std::string name;
    bool operator==(const EvacuatedDataCentre &) const = default;
};

// A record that cannot be parsed.
struct InvalidRecord
{
    std::string reason;
    bool operator==(const InvalidRecord &) const = default;
};

// A record whose key has no meaning for this version of the program.
struct UnknownRecord
{
    bool operator==(const UnknownRecord &) const = default;
};

using Record = std::variant<ConfigDocument, ListedServer, EvacuatedDataCentre, SuspectPart,
                            InvalidRecord, UnknownRecord>;

// The format of the platform's records.
class RecordFormat
{
public:
    virtual ~RecordFormat() = default;
    // Replaces secrets in the item by values that may be kept and sent to other instances.
    virtual void removeSecrets(StoreItem &) const { }
    // Returns the prefixes of the ranges to follow.
    virtual std::vector<std::string> prefixes() const = 0;
    virtual Record read(const StoreItem &item) const = 0;
    // Returns the backend server or data centre that the key names.
    virtual std::string subject(const std::string &key) const = 0;
    // Returns the prefix of the range with the backend servers.
    virtual std::string serverPrefix() const = 0;
    // Returns the prefix of the range with the configuration.
    virtual std::string configPrefix() const = 0;
    // Returns the prefix of the range with the suspect parts of prompts, and the keys of one part.
    virtual std::string suspectPrefix() const = 0;
    virtual std::string suspectKey(const SuspectKey &key) const = 0;
    // Returns the part whose record the key names; empty if it is a key of another range.
    virtual std::optional<SuspectKey> parseSuspectKey(const std::string &key) const = 0;
};

class RangeSource final : public StateSource
{
public:
    RangeSource(EntryState &state, Control &control, std::unique_ptr<RangeStore> store,
                std::unique_ptr<RecordFormat> format);

    void tick() override;
    bool awaitsStore() const override;
    void onRangeUpdate(const RangeUpdate &update, const std::string &from) override;
    std::vector<RangePosition> positions() const override;
    void onPositions(const std::vector<RangePosition> &positions, const std::string &from) override;
    std::vector<RangeReply> updatesSince(const std::vector<RangeRequest> &requests) const override;
    void refreshLists(RefreshBatcher::Done done) override { m_refreshes.request(std::move(done)); }
    void recordSuspects(const std::vector<SuspectPart> &suspects) override
    {
        m_suspects.record(suspects);
    }
    void removeSuspects(const std::vector<SuspectPart> &suspects) override
    {
        m_suspects.remove(suspects);
    }

private:
    struct Range
    {
        std::string prefix;
        std::uint32_t id = 0;
        PrefixFollower follower;
        bool wasReachable = true; // whether the store was reachable when last logged
        FollowRole role = FollowRole::alone;
        bool peerRequestPending = false; // a request for missed changes awaits its reply
        TimePoint toldAt{}; // when an update of another instance arrived last
        int calls = 0; // made so far; the response to an earlier one than the last is dropped
    };

    // Called with the era of the store as a response of it, or another instance, tells it.
    void onEra(std::uint64_t era, std::string_view source);
    // The same for the era of an instance's revision. Returns true if it was news: the range has to
    // be read anew.
    bool onPeerEra(std::uint64_t revision);
    void chooseRoles();
    Range *findRange(std::uint32_t id);

    void startNextCall(Range &range);
    void onPage(Range &range, StorePage page);
    void onPosition(Range &range, const RangePosition &position, const std::string &from);
    void requestFromPeer(Range &range, const std::string &from);
    // Returns true if the update contained changes that were unknown here.
    bool applyUpdate(Range &range, const RangeUpdate &update, TimePoint at,
                     std::string_view source);
    void applyReply(Range &range, const RangeReply &reply);
    // Between these revisions, writes may have been missed.
    void noteGap(const Range &range, std::uint64_t known, std::uint64_t asOf);
    // Read what has changed without waiting for more. `done` is told whether all of it is known.
    void readChanges(RefreshBatcher::Done done);
    void readChanges(Range &range, int callsLeft, RefreshBatcher::Done done);
    // Applies the changes after revision `base`, of a call that was made at `calledAt`. Returns
    // whether all of them are known now.
    bool onChanges(Range &range, StorePage page, std::uint64_t base, TimePoint calledAt);
    // Returns whether to send a change to the region that another instance has sent here.
    bool tellsRegion(const Range &range) const;
    void logReachability(Range &range);
    void updateListState();
    void updateConfigState();
    void applyItem(const StoreItem &item, std::string_view source);
    void applyDocument(const StoreItem &item, const ConfigDocument &document,
                       std::string_view source);
    void applyServer(const StoreItem &item, ListedServer server, std::string_view source);
    void applySuspect(const SuspectPart &suspect, std::string_view source);
    void removeSuspect(const SuspectKey &key, std::string_view source);
    void removeItem(const StoreItem &item, std::string_view source);
    void expireLostEvacuations();
    // Remembers the versions of all servers that were written, also of those that are gone by now.
    void noteWritten(const Range &range, const std::vector<StoreItem> &items);
    void publishChanges();
    std::string regionOf(const std::string &dataCentre) const; // empty if unknown
    bool isLocal(const std::string &dataCentre) const;

    EntryState &m_state;
    Control &m_control;
    std::unique_ptr<RangeStore> m_store;
    std::unique_ptr<RecordFormat> m_format;
    std::vector<std::unique_ptr<Range>> m_ranges;
    ServerList m_servers;
    std::set<StreamOrigin> m_writtenOrigins; // since the list was published, also of servers gone
    std::set<std::string> m_evacuated;
    // Evacuations that the store lost, and when each ends unless it is written again.
    std::map<std::string, TimePoint> m_lostEvacuations;
    bool m_serversChanged = false;
    std::uint64_t m_era = 0; // the store's, as last heard
    SuspectWriter m_suspects;
    RefreshBatcher m_refreshes;
};

} // namespace ibisnotch
