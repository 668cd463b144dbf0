#include "ibisnotch/part-suspects.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

using nlohmann::json;

} // namespace

std::string suspectId(std::string_view pool, const PromptPart &part)
{
    return hash128Hex(pool, fmt::format("{:016x}", part.hash));
}

std::string serializeSuspect(const SuspectPart &suspect)
{
    const json body{{"id", suspect.id},
                    {"name", suspect.name},
                    {"pool", suspect.pool},
                    {"crashes", suspect.crashes},
                    {"server", suspect.server},
                    {"request", suspect.request},
                    {"observer", suspect.observer}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<SuspectPart> parseSuspect(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return absl::InvalidArgumentError("no object");
    SuspectPart suspect;
    const std::pair<const char *, std::string *> fields[]{
        {"id", &suspect.id},           {"name", &suspect.name},
        {"pool", &suspect.pool},       {"server", &suspect.server},
        {"request", &suspect.request}, {"observer", &suspect.observer}};
    for (const auto &[name, value] : fields) {
        if (!body.contains(name) || !body[name].is_string())
            return absl::InvalidArgumentError(fmt::format("{}: text expected", name));
        *value = body[name].get<std::string>();
    }
    if (!body.contains("crashes") || !body["crashes"].is_number_integer())
        return absl::InvalidArgumentError("crashes: number expected");
    suspect.crashes = std::clamp(body["crashes"].get<int>(), 0, PartSuspects::crashesToConfirm);
    return suspect;
}

const PartSuspects::Entry *PartSuspects::find(const std::string &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<int> PartSuspects::knownCrashes(std::string_view pool, const Prompt &prompt) const
{
    std::vector<int> known;
    if (m_isEmpty)
        return known;
    const std::lock_guard lock(m_mutex);
    for (const PromptPart &part : prompt.sharedParts()) {
        const Entry *entry = find(suspectId(pool, part));
        known.push_back(entry == nullptr ? 0 : entry->knownCrashes());
    }
    return known;
}

BlockedPart PartSuspects::makeBlocked(const Entry &entry, TimePoint now)
{
    const Duration age = now - *entry.blockedAt;
    return {entry.suspect, age, std::max<Duration>(blockTime - age, std::chrono::seconds(1))};
}

std::optional<BlockedPart> PartSuspects::findBlocked(std::string_view pool, const Prompt &prompt,
                                                     TimePoint now)
{
    if (m_isEmpty)
        return std::nullopt;
    const std::lock_guard lock(m_mutex);
    for (const PromptPart &part : prompt.sharedParts()) {
        const auto found = m_entries.find(suspectId(pool, part));
        if (found == m_entries.end() || !found->second.refuses(now))
            continue;
        found->second.refusedAt = now;
        return makeBlocked(found->second, now);
    }
    return std::nullopt;
}

std::vector<SuspectPart> PartSuspects::renewals(TimePoint now) const
{
    std::vector<SuspectPart> due;
    if (m_isEmpty)
        return due;
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, entry] : m_entries) {
        const bool isOld = entry.blockedAt && *entry.blockedAt + blockTime / 2 <= now;
        const bool isConfirmed = entry.suspect.crashes >= crashesToConfirm;
        if (isOld && isConfirmed && now < entry.refusedAt + blockTime / 2)
            due.push_back(entry.suspect);
    }
    return due;
}

Admittance PartSuspects::admit(std::string_view pool, const Prompt &prompt, TimePoint now)
{
    Admittance result;
    if (m_isEmpty)
        return result;
    const std::lock_guard lock(m_mutex);
    std::vector<Entry *> tried;
    for (const PromptPart &part : prompt.sharedParts()) {
        const auto found = m_entries.find(suspectId(pool, part));
        if (found == m_entries.end() || !found->second.blockedAt)
            continue;
        if (found->second.refuses(now)) {
            found->second.refusedAt = now;
            result.blocked = makeBlocked(found->second, now);
            return result;
        }
        tried.push_back(&found->second);
    }
    for (Entry *entry : tried) {
        entry->trialDueAt.reset();
        result.tried.push_back(makeBlocked(*entry, now));
    }
    return result;
}

void PartSuspects::onTrialUndecided(const std::vector<BlockedPart> &tried, TimePoint dueAt)
{
    const std::lock_guard lock(m_mutex);
    for (const BlockedPart &part : tried) {
        const auto found = m_entries.find(part.suspect.id);
        const bool isSameBlock = found != m_entries.end() && found->second.blockedAt
            && found->second.suspect == part.suspect;
        if (isSameBlock && !found->second.trialDueAt)
            found->second.trialDueAt = dueAt;
    }
}

void PartSuspects::onPromptLost(std::string_view pool, const Prompt &prompt)
{
    const std::lock_guard lock(m_mutex);
    for (const PromptPart &part : prompt.sharedParts()) {
        const std::string id = suspectId(pool, part);
        if (m_entries.size() < maxParts || m_entries.count(id) > 0)
            ++m_entries[id].lostPrompts;
    }
    updateIsEmpty();
}

std::vector<PartSuspects::Entry *> PartSuspects::takeLost(std::string_view pool,
                                                          const Prompt &prompt)
{
    std::vector<Entry *> entries;
    for (const PromptPart &part : prompt.sharedParts()) {
        const auto found = m_entries.find(suspectId(pool, part));
        const bool isLost = found != m_entries.end() && found->second.lostPrompts > 0;
        entries.push_back(isLost ? &found->second : nullptr);
        if (isLost)
            --found->second.lostPrompts;
    }
    return entries;
}

void PartSuspects::removeUnsuspected(std::string_view pool, const Prompt &prompt)
{
    for (const PromptPart &part : prompt.sharedParts()) {
        const auto found = m_entries.find(suspectId(pool, part));
        if (found != m_entries.end() && found->second.knownCrashes() == 0
            && found->second.lostPrompts == 0)
            m_entries.erase(found);
    }
    updateIsEmpty();
}

void PartSuspects::onServerAlive(std::string_view pool, const Prompt &prompt)
{
    const std::lock_guard lock(m_mutex);
    (void)takeLost(pool, prompt);
    removeUnsuspected(pool, prompt);
}

std::vector<SuspectPart> PartSuspects::onServerCrashed(const CrashedPrompt &crashed, TimePoint now)
{
    const auto parts = crashed.prompt.sharedParts();
    std::vector<int> known = crashed.knownCrashes;
    known.resize(parts.size(), 0);
    std::vector<SuspectPart> changed;
    const std::lock_guard lock(m_mutex);
    const std::vector<Entry *> entries = takeLost(crashed.pool, crashed.prompt);
    int longest = -1; // row of a part that may be the cause
    for (std::size_t i = 0; i < parts.size(); ++i)
        longest = entries[i] == nullptr ? longest : std::max(longest, known[i]);
    const int crashes = std::min(longest + 1, crashesToConfirm);
    for (std::size_t i = parts.size(); i-- > 0;) {
        const std::string id = suspectId(crashed.pool, parts[i]);
        if (entries[i] == nullptr || known[i] != longest || hasAnsweredLately(id, now))
            continue;
        SuspectPart suspect{
            id, partText(parts[i]), crashed.pool, crashes, crashed.server, crashed.request, m_self};
        if (apply(suspect, now)) {
            m_entries[id].trialDueAt
                = crashes == crashesToBlock ? std::optional(now + trialDelay) : std::nullopt;
            changed.push_back(std::move(suspect));
        }
        if (crashes >= crashesToBlock)
            break;
    }
    removeUnsuspected(crashed.pool, crashed.prompt);
    return changed;
}

std::vector<SuspectPart> PartSuspects::onAnswerBegun(std::string_view pool, const Prompt &prompt,
                                                     TimePoint now)
{
    if (m_isEmpty)
        return {};
    std::vector<SuspectPart> cleared;
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_answeredAt,
                  [now](const auto &one) { return one.second + answerValidity <= now; });
    for (const PromptPart &part : prompt.sharedParts()) {
        const std::string id = suspectId(pool, part);
        const auto found = m_entries.find(id);
        if (found != m_entries.end() || m_answeredAt.count(id) > 0)
            m_answeredAt[id] = now;
        if (found == m_entries.end())
            continue;
        if (found->second.knownCrashes() > 0)
            cleared.push_back(found->second.suspect);
        m_entries.erase(found);
    }
    updateIsEmpty();
    return cleared;
}

bool PartSuspects::hasAnsweredLately(const std::string &id, TimePoint now) const
{
    const auto found = m_answeredAt.find(id);
    return found != m_answeredAt.end() && now < found->second + answerValidity;
}

void PartSuspects::updateIsEmpty()
{
    m_isEmpty = m_entries.empty() && m_answeredAt.empty();
}

// Returns whether the crashes were not known here.
bool PartSuspects::apply(const SuspectPart &suspect, TimePoint now)
{
    const bool hasRoom = m_entries.size() < maxParts || m_entries.count(suspect.id) > 0;
    if (suspect.crashes <= 0 || !hasRoom)
        return false;
    Entry &entry = m_entries[suspect.id];
    m_isEmpty = false;
    const bool blocks = suspect.crashes >= crashesToBlock;
    const int crashes = std::min(suspect.crashes, crashesToBlock - 1);
    const bool isNew = suspect.crashes > entry.knownCrashes();
    entry.crashes = std::max(entry.crashes, crashes);
    if (isNew)
        entry.suspect = suspect;
    if (isNew && blocks)
        entry.blockedAt = now;
    return isNew;
}

RecordResult PartSuspects::onRecord(const SuspectPart &suspect, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (hasAnsweredLately(suspect.id, now))
        return RecordResult::refuted;
    const auto found = m_entries.find(suspect.id);
    const bool isBlockedHere = found != m_entries.end() && found->second.blockedAt;
    if (isBlockedHere && suspect.crashes >= crashesToBlock) {
        // The block was renewed, or another instance has made it at the same time. The last one to
        // do so makes the trial.
        found->second.blockedAt = now;
        if (suspect.observer != m_self)
            found->second.trialDueAt.reset();
    }
    return apply(suspect, now) ? RecordResult::news : RecordResult::known;
}

std::optional<SuspectPart> PartSuspects::onRecordRemoved(const std::string &id, bool isBlock)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    const bool isKnown = found != m_entries.end()
        && (isBlock ? found->second.blockedAt.has_value() : found->second.crashes > 0);
    if (!isKnown)
        return std::nullopt;
    Entry &entry = found->second;
    const SuspectPart removed = entry.suspect;
    if (isBlock) {
        entry.blockedAt.reset();
        entry.trialDueAt.reset();
    } else {
        entry.crashes = 0;
    }
    if (!entry.blockedAt)
        entry.suspect.crashes = entry.crashes;
    if (entry.knownCrashes() == 0 && entry.lostPrompts == 0)
        m_entries.erase(found);
    updateIsEmpty();
    return removed;
}

std::optional<SuspectPart> PartSuspects::release(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.knownCrashes() == 0)
        return std::nullopt;
    const SuspectPart released = found->second.suspect;
    m_entries.erase(found);
    updateIsEmpty();
    return released;
}

std::vector<SuspectPart> PartSuspects::suspects() const
{
    std::vector<SuspectPart> all;
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, entry] : m_entries) {
        if (entry.knownCrashes() > 0)
            all.push_back(entry.suspect);
    }
    return all;
}

std::vector<BlockedPart> PartSuspects::blocked(TimePoint now) const
{
    std::vector<BlockedPart> all;
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, entry] : m_entries) {
        if (entry.blockedAt)
            all.push_back(makeBlocked(entry, now));
    }
    return all;
}

} // namespace ibisnotch
