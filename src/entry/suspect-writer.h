// Writes the suspect parts of prompts that this instance has found to the store, and removes those
// that have turned out to be sound.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ibisnotch/clock.h"
#include "ibisnotch/part-suspects.h"
#include "ibisnotch/random.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

// Names a record of a part in the store: its row of crashes or its block.
struct SuspectKey
{
    std::string id; // see suspectId()
    bool isBlock = false;
    bool operator==(const SuspectKey &) const = default;
};

// Returns the sentence of a part that was accused or blocked.
std::string_view suspicionSentence(const SuspectPart &suspect);
// Logs a change of what this instance knows of a part. `source` is where it learned of it.
void logSuspect(std::string_view sentence, const SuspectPart &suspect, std::string_view source);

// Runs a task on the control loop, at once or after a delay.
class TaskRunner
{
public:
    virtual ~TaskRunner() = default;
    virtual void post(std::function<void()> task) = 0;
    virtual void postAfter(Duration delay, std::function<void()> task) = 0;
};

// The store must hold what all instances have found, since instances that are cut off from each
// other, or start later, know of a suspect part from nowhere else. Not thread safe; used on the
// control loop only.
class SuspectWriter
{
public:
    using KeyText = std::function<std::string(const SuspectKey &)>;

    SuspectWriter(RangeStore &store, KeyText keyText, TaskRunner &tasks, const Clock &clock,
                  Random &random);

    void record(const std::vector<SuspectPart> &suspects);
    void remove(const std::vector<SuspectPart> &suspects);
    // Called at each tick with the blocks that have to be renewed.
    void renew(const std::vector<SuspectPart> &blocks);
    // Called with all known parts when the store has come back from a copy, without the latest
    // records and leases. Writes them again, each instance at another moment, unless another has
    // done so.
    void onStoreWentBack(const std::vector<SuspectPart> &known);
    // Called when the store holds a record of the part. The copy may have the row without the
    // block.
    void onWritten(const SuspectPart &written);
    // Called when the store no longer holds the part's record.
    void onRemoved(const std::string &id) { m_removals.erase(id); }
    // Called several times a second.
    void tick();

private:
    // A record to be written again.
    struct Restore
    {
        SuspectPart suspect;
        TimePoint dueAt{};
    };

    struct Lease
    {
        std::string id;
        TimePoint grantedAt{};
    };

    Duration removalDelay(const SuspectPart &suspect);
    void sendNext();
    // Returns the id of a lease with this lifetime, or requests it and returns nothing.
    std::optional<std::string> leaseFor(Duration lifetime);
    void onLease(Duration lifetime, const StoreLease &lease);
    void sendRecords();
    void sendRemovals();
    void apply(const StoreChange &change, std::function<void()> onApplied);
    void retryLater();

    RangeStore &m_store;
    KeyText m_keyText;
    TaskRunner &m_tasks;
    const Clock &m_clock;
    Random &m_random;
    std::map<std::string, SuspectPart> m_unwritten; // by id
    std::map<std::string, TimePoint> m_removals; // when each is due, by id
    std::map<Duration, Lease> m_leases; // by lifetime
    std::map<std::string, Restore> m_restores; // by id
    int m_timesWentBack = 0; // of the store
    bool m_callPending = false;
    bool m_sendScheduled = false;
    TimePoint m_nextCallAt{};
};

} // namespace ibisnotch
