#include "state.h"

namespace ibisnotch {

namespace {

constexpr std::size_t tracesKept = 4096;

// Wall time orders the incarnations of an instance that keeps nothing over a restart.
std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(wallMilliseconds(SystemClock().wallNow()));
}

} // namespace

EntryState::EntryState(ProcessSettings from)
    : settings(std::move(from)), incarnation(newIncarnation()), random(randomSeed()),
      gate(settings.region), servers(ServerTable::Limits{}),
      quarantine(settings.name, Quarantine::Limits{}),
      issuedKeys(settings.name, incarnation, IssuedKeys::Limits{}), traces(tracesKept)
{
}

} // namespace ibisnotch
