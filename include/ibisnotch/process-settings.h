// Settings of one process, such as its name, region and addresses. They are separate from the
// shared configuration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "ibisnotch/buffer-budget.h"
#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"
#include "ibisnotch/receive-limits.h"
#include "ibisnotch/warmup.h"

namespace ibisnotch {

struct Address
{
    std::string host;
    std::uint16_t port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
    auto operator<=>(const Address &) const = default;
};

// Parses "IP:port".
absl::StatusOr<Address> parseAddress(const std::string &text);

// Protocol and formats that an instance uses: those of this project, or those of the platform.
enum class Interfaces { own, platform };

// Decisions that an instance makes only where its settings ask for them.
struct Features
{
    bool regionPlan = false; // requests are divided among regions by demand and capacity
    bool serverSpeed = false; // servers on slow machines get less work
    bool prefixWeighing = false; // the cached prefix of a prompt is weighed against the wait
    bool customerShares = false; // over all instances, customers above their share give way first
    bool bufferLimits = false; // callers and servers that read slowly are limited
    bool operator==(const Features &) const = default;
};

// Returns whether decisions are made by forecasts of what engines do.
inline bool usesForecasts(const Features &features)
{
    return features.serverSpeed || features.prefixWeighing;
}

struct ProcessSettings
{
    std::string name;
    std::string region;
    std::string dataCentre;
    Address callerAddress;
    Address peerAddress;
    Address gossipAddress;
    std::string storeAddress; // IP:port of the key-value store
    std::vector<std::string> seeds; // gossip addresses of some other instances
    Interfaces interfaces = Interfaces::own;
    // The members up to drainAcceptTime are only read with the platform's interfaces, which have no
    // admin port and no list of regions in the configuration.
    Address readyAddress;
    Address directoryAddress;
    Address metricsAddress;
    std::vector<Region> regions;
    // Time for which callers may use an answer of the directory.
    Duration entryListTtl = std::chrono::seconds(2);
    // Retries to one pool by all instances together: retryShare of its requests, and retrySlack
    // more in any ten seconds.
    double retryShare = 0.1;
    double retrySlack = 45;
    double usageSlack = 0; // usage tolerated above each customer's cap, in the cap's unit
    WarmupBound warmup; // load that a cold server sustains, relative to its pool's rate
    // Time for which a stopping instance still accepts requests. Callers that found it in the
    // directory continue to use it until their copy of the list expires. Requests accepted later
    // than this might not finish before the process is killed.
    Duration drainAcceptTime{};
    int workers = 2;
    int maxConnections = 20000; // of all ports together
    Duration idleTimeout = std::chrono::seconds(60);
    // Time for which a stopping instance waits for running requests.
    Duration drainTime = std::chrono::seconds(120);
    std::string logLevel = "info";
    Features features;
    // Bounds of what is held; those on readers are in force if features.bufferLimits is set.
    BufferLimits buffers;
    bool operator==(const ProcessSettings &) const = default;
};

// Returns the bounds on what callers, peers and operators send together. Descriptors that the
// system allows beyond those of their connections are for servers, the store and files.
ReceiveLimits receiveLimits(const ProcessSettings &settings, std::size_t descriptors);

absl::StatusOr<ProcessSettings> parseProcessSettings(std::string_view text,
                                                     const std::string &file);

// Returns the contents of a file.
absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace ibisnotch
