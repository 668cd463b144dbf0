// The shared configuration: one base file and one overlay per site, where a site is a region. It is
// checked for all sites before it becomes active.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "ibisnotch/clock.h"
#include "ibisnotch/settings.h"

namespace ibisnotch {

enum class ServiceKind { model, application };

// Weights of the terms by which a backend server or region is chosen.
struct Weights
{
    double tailLatency = 1;
    double cost = 1;
    double sentAway = 1;
    bool lateIsUndelivered = false; // a late response counts as not delivered
    bool operator==(const Weights &) const = default;
};

struct Region
{
    std::string name;
    std::vector<std::string> dataCentres;
    bool operator==(const Region &) const = default;
};

// Limit on the usage of one customer, across all instances.
struct UsageCap
{
    bool countsTokens = false; // true: counts tokens; false: counts requests
    double perSecond = 0;
    double burst = 0; // amount allowed once in addition to the rate
    double plainTokens = 0; // tokens charged to a request that states no token count
    bool operator==(const UsageCap &) const = default;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keyHashes; // SHA-256 of each bearer token, in hex
    std::vector<std::string> regions; // where its requests may run; empty: all
    std::vector<std::string> services; // that it may use; empty: all
    double share = 1; // weight among all customers when capacity is short
    std::optional<int> priority; // takes precedence over the service's priority
    std::optional<UsageCap> usageCap;
    bool anonymous = false; // represents callers without a key
    bool operator==(const Customer &) const = default;
};

// Matches requests to this host whose path begins with the prefix. The longest matching prefix
// wins.
struct PathRule
{
    std::string host;
    std::string prefix; // begins and ends with a slash
    bool operator==(const PathRule &) const = default;
};

// A pool that runs requests of a service, and its weight among the service's pools.
struct PoolShare
{
    std::string pool;
    double weight = 1;
    bool operator==(const PoolShare &) const = default;
};

struct Service
{
    std::string name;
    ServiceKind kind = ServiceKind::model;
    std::string model; // model services only
    std::string method; // application services only
    std::string path; // application services only
    bool idempotent = true; // false: a booking, which must not run twice
    Duration deadline{}; // default, and upper bound for deadlines from callers
    Duration expectedDuration{}; // typical duration of one run
    double worth = 1; // value of a response in time
    int priority = 1; // 0 is the most urgent
    std::vector<std::string> regions; // where it may run; empty: all
    bool allowsAnonymous = false; // whether callers may omit the key
    double objective = 0.99; // share of requests that should be served in time
    // The members below are for deployments that route by host and path. Without a path rule,
    // callers select the service by its name or model.
    std::optional<PathRule> pathRule;
    std::vector<PoolShare> pools; // empty: servers list the services or models they offer
    Duration targetLatency{}; // for the response or the first event of a stream
    int maxAttempts = 3; // maximum number of backend servers that may run one request
    bool isStreaming = false; // responses are streams of numbered events
    bool isResumable = false; // another server can continue a stream after its last event
    Duration maxEventGap{}; // largest gap in a stream that counts as in time; 0: unlimited
    bool operator==(const Service &) const = default;
};

// Interchangeable backend servers. The platform lists them while they run.
struct Pool
{
    std::string name;
    ServiceKind kind = ServiceKind::application;
    std::string healthPath;
    int maxConnections = 0; // to one server, from all instances together
    // Requests per second that a cold server sustains from all instances together; 0: servers are
    // never cold.
    double warmupRate = 0;
    // Capacity of one model engine's KV cache, which holds running requests and cached prompts.
    std::int64_t cacheTokens = 0;
    bool operator==(const Pool &) const = default;
};

// Model that a model engine should have loaded.
struct Placement
{
    std::string model;
    std::string version;
    std::string adapter;
    std::string role = "serve";
    auto operator<=>(const Placement &) const = default;
};

struct BackendServer
{
    std::string name;
    ServiceKind kind = ServiceKind::model;
    std::string dataCentre;
    std::string address; // IP:port
    std::string pool; // empty: the server offers `models` or `services`
    std::string softwareVersion; // as the server states it; empty if it states none
    int slots = 8; // requests that it runs concurrently
    std::vector<std::string> models; // offered by a model engine
    std::vector<std::string> services; // offered by an application engine
    double cost = 1; // of one slot for one second
    bool checksFencing = false; // whether it rejects stale fencing tokens
    std::optional<Placement> placement; // empty: instances don't control what it loads
    bool operator==(const BackendServer &) const = default;
};

struct Limits
{
    std::int64_t maxBodyBytes = 1 << 20;
    std::int64_t maxHeaderBytes = 1 << 16;
    Duration headerTimeout = std::chrono::seconds(60);
    Duration idleTimeout = std::chrono::seconds(60);
    double retryShare = 0.1; // retries per request
    double queueFactor = 2; // outstanding requests per slot at which requests are rejected
    // Time by which another region must be faster before a request is forwarded there.
    Duration awayMargin = std::chrono::milliseconds(200);
    int bookingShards = 16; // claim pages per hour; can't change in a deployment
    Duration bookingKeyLifetime = std::chrono::hours(24);
    double weightLoadsPerMinute = 4; // loads of model weights in the whole deployment
    bool operator==(const Limits &) const = default;
};

// The configuration of one site.
struct FleetConfig
{
    std::uint64_t version = 0;
    std::string deployment;
    std::string site;
    Weights weights;
    Limits limits;
    std::vector<Region> regions;
    Duration regionOneWay = std::chrono::milliseconds(80); // one-way delay between regions
    bool requiresKeys = true; // except for services that allow anonymous callers
    std::map<std::string, Customer> customers;
    std::map<std::string, Service> services;
    std::map<std::string, Pool> pools;
    std::map<std::string, BackendServer> servers; // of this site only
    bool operator==(const FleetConfig &) const = default;
};

struct ConfigFile
{
    std::string name;
    std::string text;
    bool operator==(const ConfigFile &) const = default;
};

// The document kept in the store. It contains the source files instead of parsed settings, so that
// older instances can read it.
struct ConfigDocument
{
    std::uint64_t version = 0;
    std::string author;
    std::string note;
    ConfigFile base;
    std::map<std::string, ConfigFile> overlays; // key: site
    bool operator==(const ConfigDocument &) const = default;
};

std::string serializeDocument(const ConfigDocument &document);
absl::StatusOr<ConfigDocument> parseDocument(std::string_view text);

// Returns the merged settings of one site, with the origin of each value.
absl::StatusOr<SettingNode> effectiveSettings(const ConfigDocument &document,
                                              const std::string &site);

// Parses and checks the configuration of one site. Fails with one line per error.
absl::StatusOr<FleetConfig> parseFleetConfig(const ConfigDocument &document,
                                             const std::string &site);

// Checks every site, the rules that span sites, and the settings that must not change from the
// active version (null if there is none). Returns the configuration of each site.
absl::StatusOr<std::map<std::string, FleetConfig>> validateDocument(const ConfigDocument &document,
                                                                    const ConfigDocument *active);

// Returns the customer with this key, or null. Takes the same time for known and unknown keys, so
// that the duration reveals nothing about keys.
const Customer *findCustomerByKey(const FleetConfig &config, std::string_view key);

// Returns the priority of a request among waiting requests: ordered by the customer's priority if
// it has one, then by the service's. 0 is the most urgent.
int requestPriority(const Customer &customer, const Service &service);

// Returns the regions where a customer's request for a service may run, in configuration order.
std::vector<std::string> allowedRegions(const FleetConfig &config, const Customer &customer,
                                        const Service &service);

// Sets the expected duration of services for which the configuration format has none to half of the
// target latency.
void fillServiceDefaults(FleetConfig &config);

// Returns the service with the longest matching path rule, or null.
const Service *findServiceByPath(const FleetConfig &config, std::string_view host,
                                 std::string_view path);

// Returns the number of services that may run in each region.
std::map<std::string, int> countAllowedServices(const FleetConfig &config);

// Returns the pool that a uniform random number in [0, 1) selects by weight; empty if the service
// has no pools.
std::string selectPool(const Service &service, double uniform);

// Returns whether the backend server runs requests of the service.
bool servesService(const BackendServer &server, const Service &service);

// Key of the anonymous customer in FleetConfig::customers. No other customer can have this name.
constexpr std::string_view anonymousCustomerName = "";

// Returns the customer to which requests without a key belong, if the service allows anonymous
// callers or the configuration requires no keys.
Customer makeAnonymousCustomer();

std::string sha256Hex(std::string_view text);

} // namespace ibisnotch
