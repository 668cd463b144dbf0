// Settings of one process: its name, place and addresses. Apart from the shared configuration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "ibisnotch/clock.h"
#include "ibisnotch/config.h"
#include "ibisnotch/warmup.h"

namespace ibisnotch {

struct Address
{
    std::string host;
    std::uint16_t port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
    auto operator<=>(const Address &) const = default;
};

absl::StatusOr<Address> parseAddress(const std::string &text);

// Whose interfaces an instance speaks.
enum class Interfaces { own, platform };

struct ProcessSettings
{
    std::string name;
    std::string region;
    std::string dataCentre;
    Address callerAddress;
    Address peerAddress;
    Address gossipAddress;
    std::string storeAddress; // IP:port of the platform's key-value service
    std::vector<std::string> seeds; // gossip addresses of some other instances
    Interfaces interfaces = Interfaces::own;
    // Only with the platform's interfaces, which know no admin port and no list of regions.
    Address readyAddress;
    Address directoryAddress;
    Address metricsAddress;
    std::vector<Region> regions;
    Duration entryListTtl = std::chrono::seconds(2);
    // Retries of one pool by all instances together: a share of its requests, and this many more in
    // any ten seconds.
    double retryShare = 0.1;
    double retrySlack = 45;
    double usageSlack = 0; // tolerated beyond any customer's usage cap, in the cap's units
    WarmupBound warmup; // what a cold server bears beside its pool's rate
    // How long a stopping instance goes on taking requests. Callers that choose an instance by the
    // directory come until their copy of its answer is old; what is taken later than this might not
    // end before the process is killed.
    Duration drainAcceptTime{};
    int workers = 2;
    int maxConnections = 20000;
    Duration idleTimeout = std::chrono::seconds(60);
    Duration drainTime = std::chrono::seconds(120);
    std::string logLevel = "info";
    bool operator==(const ProcessSettings &) const = default;
};

absl::StatusOr<ProcessSettings> parseProcessSettings(std::string_view text,
                                                     const std::string &file);

absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace ibisnotch
