// Dispatch: parts of the prompt that may crash the servers which begin to answer it.
#include "dispatch.h"
#include "filters.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

// A part may have been blocked since the request arrived, while it waited or ran elsewhere.
bool Dispatch::passesPartCheck(const Target &target)
{
    const TimePoint now = m_state.clock.now();
    const std::string &pool = loadKey(*m_exchange);
    const Prompt &prompt = m_exchange->prompt;
    const auto blocked = target.isPeer ? m_state.suspects.findBlocked(pool, prompt, now)
                                       : m_state.suspects.admit(pool, prompt, now);
    if (!blocked)
        return true;
    const Refusal refusal = blockedPartRefusal(*blocked);
    logLine(LogPart::request, LogLevel::info, "Not sent.",
            {{"request", m_exchange->id},
             {"code", std::to_string(static_cast<int>(refusal.code))},
             {"by", refusal.detail}});
    settleNotRun();
    refuse(refusal);
    return false;
}

void Dispatch::onAnswerBegun()
{
    const auto cleared = m_state.suspects.onAnswerBegun(loadKey(*m_exchange), m_exchange->prompt,
                                                        m_state.clock.now());
    for (const SuspectPart &suspect : cleared)
        logSuspect("Prompt part cleared.", suspect, m_exchange->id);
    if (!cleared.empty())
        m_control.removeSuspects(cleared);
}

void Dispatch::onPromptLost()
{
    m_state.suspects.onPromptLost(loadKey(*m_exchange), m_exchange->prompt);
}

void Dispatch::onServerAlive()
{
    m_state.suspects.onServerAlive(loadKey(*m_exchange), m_exchange->prompt);
}

void Dispatch::onServerCrashed(const Target &target, const std::vector<int> &knownCrashes)
{
    const auto suspects = m_state.suspects.onServerCrashed(
        {loadKey(*m_exchange), m_exchange->prompt, knownCrashes, target.name, m_exchange->id},
        m_state.clock.now());
    for (const SuspectPart &suspect : suspects)
        logSuspect(suspect.crashes >= PartSuspects::crashesToBlock ? "Prompt part blocked."
                                                                   : "Prompt part suspect.",
                   suspect, "crash");
    if (!suspects.empty())
        m_control.recordSuspects(suspects);
}

} // namespace ibisnotch
