#include "statements.h"

#include "ibisnotch/log.h"
#include "ibisnotch/server-speed.h"

namespace ibisnotch {

namespace {

// Returns the process that responded to a request sent at `sentAt`. It ran when the connection was
// established, however long its response took. The listed process may be an earlier one.
Speaker speakerOf(const EntryState &state, const Target &target, TimePoint sentAt)
{
    const TimePoint now = state.clock.now();
    const Duration since = now - std::min(now, sentAt + connectTimeout);
    const auto connectedBy
        = static_cast<std::uint64_t>(wallMilliseconds(state.clock.wallNow() - since));
    return {target.name, target.address, std::max(connectedBy, target.incarnation)};
}

constexpr std::size_t maxLoggedTextLength = 32;
constexpr Duration invalidSlowdownLogPeriod = std::chrono::seconds(60); // for each server

} // namespace

bool hearLeaving(EntryState &state, const Target &target, TimePoint sentAt, std::string_view source)
{
    const Speaker speaker = speakerOf(state, target, sentAt);
    if (!state.servers.onSelfReportedLeaving(speaker, state.clock.now()))
        return false;
    logLine(LogPart::load, LogLevel::info, "Backend server says that it leaves.",
            {{"server", target.name},
             {"source", std::string(source)},
             {"incarnation", std::to_string(target.incarnation)},
             {"startedBy", std::to_string(speaker.startedBy)}});
    return true;
}

void hearRest(EntryState &state, const Target &target, TimePoint sentAt, const NamedRest &rest,
              std::string_view source)
{
    if (!rest.invalidText.empty() && !target.counters->saidInvalidRest.exchange(true))
        logLine(
            LogPart::load, LogLevel::warn, "Backend server's rest cannot be used.",
            {{"server", target.name}, {"rest", rest.invalidText.substr(0, maxLoggedTextLength)}});
    if (rest.time.count() <= 0)
        return;
    state.metrics.onServerRest();
    const TimePoint now = state.clock.now();
    const Speaker speaker = speakerOf(state, target, sentAt);
    if (!state.servers.onRest(speaker, now + rest.time, now))
        return;
    logLine(LogPart::load, LogLevel::info, "Backend server asks for rest.",
            {{"server", target.name},
             {"source", std::string(source)},
             {"restMs", millisecondsText(rest.time)},
             {"inFlight", std::to_string(target.counters->inFlight)}});
}

void hearSlowdown(EntryState &state, const std::string &server, ServerCounters &counters,
                  const ResponseLoad &load)
{
    if (!state.settings.features.serverSpeed)
        return;
    const TimePoint now = state.clock.now();
    if (load.slowdownPercent)
        recordSlowdown(counters, *load.slowdownPercent, now, true);
    if (load.invalidSlowdown.empty())
        return;
    state.metrics.onInvalidSlowdown();
    const Duration::rep at = now.time_since_epoch().count();
    const Duration::rep last = counters.invalidSlowdownLoggedAt.exchange(at);
    if (last != 0 && at - last < invalidSlowdownLogPeriod.count()) {
        counters.invalidSlowdownLoggedAt = last;
        return;
    }
    logLine(LogPart::load, LogLevel::warn, "Backend server stated an invalid speed.",
            {{"server", server}, {"load", load.invalidSlowdown.substr(0, maxLoggedTextLength)}});
}

} // namespace ibisnotch
