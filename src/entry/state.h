// The state that the parts of one entry instance share.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "buffer-accounts.h"
#include "ibisnotch/active-config.h"
#include "ibisnotch/admission.h"
#include "ibisnotch/booking.h"
#include "ibisnotch/burn.h"
#include "ibisnotch/clock.h"
#include "ibisnotch/demand-totals.h"
#include "ibisnotch/demand.h"
#include "ibisnotch/engine-statistics.h"
#include "ibisnotch/forward-path.h"
#include "ibisnotch/membership.h"
#include "ibisnotch/metrics.h"
#include "ibisnotch/origin-history.h"
#include "ibisnotch/part-suspects.h"
#include "ibisnotch/pick.h"
#include "ibisnotch/prefix-cache.h"
#include "ibisnotch/process-settings.h"
#include "ibisnotch/quarantine.h"
#include "ibisnotch/rcu.h"
#include "ibisnotch/read-delay.h"
#include "ibisnotch/region-choice.h"
#include "ibisnotch/region-plan.h"
#include "ibisnotch/retry.h"
#include "ibisnotch/room-order.h"
#include "ibisnotch/sent-ids.h"
#include "ibisnotch/server-table.h"
#include "ibisnotch/stream-origin.h"
#include "ibisnotch/stream-statistics.h"
#include "ibisnotch/usage-cap.h"
#include "trace.h"

namespace ibisnotch {

// Created once; used by the control loop and the request threads.
struct EntryState
{
    explicit EntryState(ProcessSettings processSettings,
                        std::unique_ptr<ConfigFormat> format = std::make_unique<OverlayFormat>());

    Hop hop() const { return {settings.name, settings.region}; }

    const ProcessSettings settings;
    const std::uint64_t incarnation;
    SystemClock clock;
    const TimePoint startedAt = clock.now();
    Random random;

    ActiveConfig activeConfig;
    ServerTable servers;
    RegionTable regionLoads;
    RcuValue<RoutingTable> routing;
    RcuValue<std::vector<Member>> members; // this instance included

    DemandMeter demand;
    RegionPlanner regionPlanner;
    RegionChooser regionChooser;
    Admission admission;
    DemandTotals customerDemand;
    RoomHistory roomHistory;
    StreamStatistics streamStatistics;
    EngineStatistics engineStatistics;
    OriginHistory originHistory;
    OriginRecords originRecords;
    PromptLengths promptLengths;
    RetryBudget retryBudget;
    SentIds sentIds;
    UsageCaps usageCaps;
    AffinityPicker picker;
    PrefixCache prefixCache{PrefixCache::Limits{}, startedAt};

    PartSuspects suspects;
    std::mutex quarantineMutex;
    Quarantine quarantine;
    std::mutex keysMutex;
    IssuedKeys issuedKeys;

    Metrics metrics;
    BufferAccounts buffers{settings.features.bufferLimits, settings.buffers};
    BurnCounter burn;
    RecentTraces traces;

    // Until when the configuration in force is treated as the newest. The store or a peer extends
    // it by confirming the revision; max() where no store does so.
    std::atomic<TimePoint> configValidUntil = TimePoint::max();
    std::atomic<bool> stopping = false;
    std::atomic<TimePoint> acceptsRequestsUntil{}; // set when a stop begins
    std::atomic<TimePoint> cutsRequestsAt{}; // those that still run; set when a stop begins
    std::atomic<int> inFlight = 0;
};

// Returns whether the instance serves callers: a configuration is in force and it is not stopping.
bool isReady(const EntryState &state);

// Returns the addresses of other instances of the region, for callers of one that can't serve.
std::string otherInstanceAddresses(EntryState &state);

// Returns a new id for a request that came without one.
std::string newRequestId(EntryState &state);

} // namespace ibisnotch
