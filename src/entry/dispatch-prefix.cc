// Dispatch: choice of the model engine by the parts of the prompt that it is believed to keep.
#include <algorithm>

#include "dispatch.h"

namespace ibisnotch {

namespace {

ServerProcess processOf(const ServerView &view)
{
    return {serverId(view.server.name), view.incarnation, view.coldSince};
}

// The wait that was measured for a service includes the reading of shared parts, which is weighed
// here by itself. So all that is ahead counts at the reading rate.
EngineState engineOf(const Candidate &candidate)
{
    constexpr double msPerSecond = 1000;
    EngineState engine = *candidate.engine;
    engine.unreadTokens = candidate.aheadSeconds * msPerSecond * candidate.tokensPerMs;
    return engine;
}

} // namespace

std::size_t Dispatch::chooseServer(const RoutingTable &table, const PickInput &input)
{
    const bool areEngines
        = std::all_of(input.candidates.begin(), input.candidates.end(),
                      [](const Candidate &one) { return one.engine.has_value(); });
    const auto sharedParts = m_exchange->prompt.sharedParts();
    if (!m_state.settings.features.prefixWeighing || sharedParts.empty() || !areEngines)
        return m_state.picker.pick(input, m_state.random);
    const TimePoint now = m_state.clock.now();
    std::vector<WeighedServer> servers;
    std::vector<ServerProcess> processes;
    for (const Candidate &candidate : input.candidates) {
        const double cost = candidate.view->server.cost;
        processes.push_back(processOf(*candidate.view));
        servers.push_back({processes.back().server, engineOf(candidate),
                           input.weights.cost * cost * input.expectedSeconds});
    }
    const PrefixBeliefs beliefs
        = m_state.prefixCache.beliefs(processes, sharedParts, table.trafficFactor, now);
    WeighingInput weighing;
    weighing.servers = servers;
    weighing.sharedParts = sharedParts;
    weighing.work = input.work;
    weighing.beliefs = &beliefs;
    weighing.now = now;
    const WeighedChoice choice = pickWeighed(weighing, m_state.random);
    m_state.prefixCache.onRequest(sharedParts, now);
    m_routeInputs.prefix = choice;
    m_state.metrics.onSharedTokens(static_cast<double>(m_exchange->prompt.sharedTokens()),
                                   choice.keptTokens);
    return choice.index;
}

void Dispatch::recordKeptParts(const Target &target)
{
    if (!m_state.settings.features.prefixWeighing)
        return;
    const Prompt &prompt = m_exchange->prompt;
    const WeighedChoice choice = m_routeInputs.prefix.value_or(WeighedChoice{});
    FirstPromptEvent event;
    event.process = {serverId(target.name), target.incarnation, {}};
    event.sharedParts = prompt.sharedParts();
    event.keptTokens = choice.keptTokens;
    event.addedTokens = static_cast<double>(prompt.tokens) - choice.keptTokens;
    event.foreseenSeconds = choice.firstEventSeconds;
    event.elapsedSeconds = seconds(m_state.clock.now() - m_attemptStartedAt);
    event.tokensPerMs = m_routeInputs.tokensPerMs;
    m_state.prefixCache.onFirstEvent(event, m_state.clock.now());
}

} // namespace ibisnotch
