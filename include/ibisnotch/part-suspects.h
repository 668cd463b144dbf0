// Finds the parts of prompts that crash the backend servers which begin to answer them.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "ibisnotch/clock.h"
#include "ibisnotch/prompt.h"

namespace ibisnotch {

// Returns the id of a part towards the servers of a pool: 32 hexadecimal digits. Requests of all
// customers that name the part share it, since the part crashes servers whoever sends it.
std::string suspectId(std::string_view pool, const PromptPart &part);

// Crashes of backend servers that were about to answer prompts with a certain part.
struct SuspectPart
{
    std::string id; // see suspectId()
    std::string name; // for the log
    std::string pool;
    int crashes = 0; // in a row, see PartSuspects
    std::string server; // the last one that crashed
    std::string request; // that it was about to answer
    std::string observer; // instance that had sent that request
    bool operator==(const SuspectPart &) const = default;
};

std::string serializeSuspect(const SuspectPart &suspect);
// Fails with a message that names the first field that is missing or invalid.
absl::StatusOr<SuspectPart> parseSuspect(std::string_view text);

// A prompt that a server was about to answer when it crashed.
struct CrashedPrompt
{
    std::string pool;
    Prompt prompt;
    std::vector<int> knownCrashes; // of its shared parts when it was sent, see PartSuspects
    std::string server;
    std::string request;
    bool operator==(const CrashedPrompt &) const = default;
};

// A part whose prompts are refused.
struct BlockedPart
{
    SuspectPart suspect;
    Duration age{}; // since this instance has known of the block
    Duration remaining{}; // until the block ends unless another server crashes
    bool operator==(const BlockedPart &) const = default;
};

// Whether a prompt may be sent to a server.
struct Admittance
{
    std::optional<BlockedPart> blocked; // for which it may not
    std::vector<BlockedPart> tried; // blocked parts of which it is the trial
    bool operator==(const Admittance &) const = default;
};

// What followed from a record of the store.
enum class RecordResult {
    known,
    news,
    refuted, // an answer has begun here lately, so the record must be removed
};

// What one instance knows of suspect parts; the store holds what all instances have found.
//
// A server that crashes ends many requests at once, so one crash proves little, and crashes at the
// same moment, as when a data centre loses power, prove no more. Therefore crashes count in a row:
// a crash adds one to what the instance knew of the part when it sent the prompt. An answer that
// begins shows that a part is sound: it ends the row, and for a while this instance refutes others
// that have seen no such answer. Of several parts with the longest row, the last one of the prompt
// is blocked: the fewest requests share it. If another one is the cause, servers go on crashing,
// and its row alone grows. Thread safe.
class PartSuspects
{
public:
    // Servers that crash in a row before a part is blocked. Two would block sound parts that few
    // requests use when servers fail for other reasons.
    static constexpr int crashesToBlock = 3;
    // Crashes in a row once the trial of a blocked part has crashed a server too. The block is then
    // renewed for as long as callers send the part.
    static constexpr int crashesToConfirm = crashesToBlock + 1;
    // After this time, prompts with a blocked part are sent again. The next server that crashes
    // blocks the part once more, since the record of the crashes before is kept for longer.
    static constexpr Duration blockTime = std::chrono::minutes(5);
    // After this time, the instance that blocked a part sends one prompt with it. Without this
    // trial, a sound part would be refused for as long as the block lasts.
    static constexpr Duration trialDelay = std::chrono::seconds(10);
    // Time for which the store keeps the record of a row.
    static constexpr Duration suspicionTime = std::chrono::minutes(10);
    // Time after an answer to a suspect part in which the part is not suspected again. A part that
    // begins to crash servers is protected for so long.
    static constexpr Duration answerValidity = std::chrono::seconds(3);
    // Further parts are not recorded. Bounds the memory if callers name many parts.
    static constexpr std::size_t maxParts = 4096;

    explicit PartSuspects(std::string self) : m_self(std::move(self)) { }

    // Returns the known crashes in a row of each shared part; empty if there are none.
    std::vector<int> knownCrashes(std::string_view pool, const Prompt &prompt) const;
    // Returns a blocked part of the prompt that isn't due for its trial. The prompt must then be
    // refused.
    std::optional<BlockedPart> findBlocked(std::string_view pool, const Prompt &prompt,
                                           TimePoint now);
    // The same for a prompt that is about to be sent to a server.
    Admittance admit(std::string_view pool, const Prompt &prompt, TimePoint now);
    // Called when the trial of blocked parts has ended without showing anything of them, as when
    // its caller left. Unless they are known better now, a prompt from `dueAt` on is their trial.
    void onTrialUndecided(const std::vector<BlockedPart> &tried, TimePoint dueAt);

    // Called when a connection breaks before an answer to the prompt has begun. The server has
    // crashed or still runs, and one of the next two functions is called when this is known.
    void onPromptLost(std::string_view pool, const Prompt &prompt);
    void onServerAlive(std::string_view pool, const Prompt &prompt);
    // Returns the records that are new or changed, for the other instances.
    std::vector<SuspectPart> onServerCrashed(const CrashedPrompt &crashed, TimePoint now);
    // Called when an answer to the prompt begins. Returns the parts that are no longer suspect.
    std::vector<SuspectPart> onAnswerBegun(std::string_view pool, const Prompt &prompt,
                                           TimePoint now);

    // Called with a record of the store.
    RecordResult onRecord(const SuspectPart &suspect, TimePoint now);
    // Called when the store no longer holds the part's row or, if `isBlock` is true, its block.
    // Returns what was known of the part, if anything.
    std::optional<SuspectPart> onRecordRemoved(const std::string &id, bool isBlock);

    // Returns the blocks to be written again so that they don't end: those confirmed that are past
    // half their time and have refused a prompt within that time.
    std::vector<SuspectPart> renewals(TimePoint now) const;

    // Called when an operator declares a part sound. Returns what was known of it, if anything.
    std::optional<SuspectPart> release(const std::string &id);

    // Return all suspect parts, and those of them that are blocked.
    std::vector<SuspectPart> suspects() const;
    std::vector<BlockedPart> blocked(TimePoint now) const;

private:
    struct Entry
    {
        SuspectPart suspect;
        int crashes = 0; // in a row, without the one that led to the block
        std::optional<TimePoint> blockedAt;
        TimePoint refusedAt{}; // when a prompt was refused last
        std::optional<TimePoint> trialDueAt; // if this instance is the one to make the trial
        int lostPrompts = 0; // of which it isn't known yet whether their servers have crashed

        int knownCrashes() const { return blockedAt ? suspect.crashes : crashes; }
        bool refuses(TimePoint now) const
        {
            return blockedAt && (!trialDueAt || now < *trialDueAt);
        }
    };
    using Entries = std::map<std::string, Entry>; // by id

    static BlockedPart makeBlocked(const Entry &entry, TimePoint now);
    const Entry *find(const std::string &id) const;
    // Forgets a lost prompt. Returns the entries of those of its parts of which no answer has begun
    // since, or null.
    std::vector<Entry *> takeLost(std::string_view pool, const Prompt &prompt);
    void removeUnsuspected(std::string_view pool, const Prompt &prompt);
    bool apply(const SuspectPart &suspect, TimePoint now);
    bool hasAnsweredLately(const std::string &id, TimePoint now) const;
    void updateIsEmpty();

    std::string m_self;
    std::atomic<bool> m_isEmpty = true; // spares requests the lock
    mutable std::mutex m_mutex;
    Entries m_entries;
    std::map<std::string, TimePoint> m_answeredAt; // of parts that were suspect, by id
};

} // namespace ibisnotch
