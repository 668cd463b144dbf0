#include "state.h"

#include <fmt/format.h>

#include "ibisnotch/entry-list.h"

namespace ibisnotch {

namespace {

// About ten seconds of requests on a busy instance, at about 1 KB each. Older ones are in the log.
constexpr std::size_t maxTraces = 512;

// Uses the wall time, since an instance stores nothing across restarts and later incarnations must
// have greater numbers.
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(wallMilliseconds(SystemClock().wallNow()));
}

UsageCaps::Limits usageLimits(const ProcessSettings &settings)
{
    UsageCaps::Limits limits;
    limits.slack = settings.usageSlack;
    return limits;
}

} // namespace

EntryState::EntryState(ProcessSettings processSettings, std::unique_ptr<ConfigFormat> format)
    : settings(std::move(processSettings)), incarnation(newIncarnation()), random(randomSeed()),
      activeConfig(settings.region, std::move(format)), servers(ServerTable::Limits{}),
      usageCaps(usageLimits(settings)), suspects(settings.name),
      quarantine(settings.name, Quarantine::Limits{}),
      issuedKeys(settings.name, incarnation, IssuedKeys::Limits{}), traces(maxTraces)
{
    // Requests may arrive before the control loop publishes the members.
    members.publish(std::make_shared<const std::vector<Member>>());
}

bool isReady(const EntryState &state)
{
    return state.activeConfig.version() > 0 && !state.stopping;
}

std::string otherInstanceAddresses(EntryState &state)
{
    std::vector<Member> members = *state.members.read();
    std::erase_if(members,
                  [&state](const Member &member) { return member.name == state.settings.name; });
    const EntryList list
        = makeEntryList(members, state.settings.region, {state.settings.region}, state.random);
    std::string text;
    for (const Member &member : list.instances)
        text += (text.empty() ? "" : ",") + member.callerAddress;
    return text;
}

std::string newRequestId(EntryState &state)
{
    return fmt::format("{}-{:016x}", state.settings.name, state.random.next());
}

} // namespace ibisnotch
