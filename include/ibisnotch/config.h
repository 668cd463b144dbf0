// The shared configuration: one base file and an overlay for each site (a region), checked for all
// sites before it is accepted.
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

struct Weights
{
    double tailLatency = 1;
    double cost = 1;
    double sentAway = 1;
    bool lateIsUndelivered = false;
    bool operator==(const Weights &) const = default;
};

struct Region
{
    std::string name;
    std::vector<std::string> dataCentres;
    bool operator==(const Region &) const = default;
};

// What a customer may use, by all instances together.
struct UsageCap
{
    bool countsTokens = false; // whether the cap counts tokens; otherwise requests
    double perSecond = 0;
    double burst = 0; // beside that, once
    double plainTokens = 0; // what a request counts that names no tokens
    bool operator==(const UsageCap &) const = default;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keyHashes; // SHA-256 of each of its bearer tokens, in hex
    std::vector<std::string> regions; // empty: all
    std::vector<std::string> services; // empty: all
    double share = 1; // its part when capacity is short, against the others' shares
    std::optional<int> priority; // of all its requests, before that of the service
    std::optional<UsageCap> usageCap;
    bool anonymous = false; // stands for callers who need no key
    bool operator==(const Customer &) const = default;
};

// Requests of this host whose path begins with the prefix; the longest prefix of a host wins.
struct PathRule
{
    std::string host;
    std::string prefix; // begins and ends with a slash
    bool operator==(const PathRule &) const = default;
};

// A pool that runs a service's requests, and its part of them.
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
    bool idempotent = true; // false: a booking
    Duration deadline{}; // when the caller gives none
    Duration expectedDuration{}; // of one run, typically
    double worth = 1;
    int priority = 1; // 0 is most urgent
    std::vector<std::string> regions; // empty: all
    bool allowsAnonymous = false; // whether callers may omit the key
    double objective = 0.99; // share of requests to be served in time
    // The rest serves deployments that route by host and path. Without a rule, the service is asked
    // for by its name or model.
    std::optional<PathRule> pathRule;
    std::vector<PoolShare> pools; // empty: servers name the services or models they offer
    Duration targetLatency{}; // in which an answer, or the first event of a stream, is worth most
    int maxAttempts = 3; // backend servers that may run one request
    bool isStreaming = false; // answered by a stream of numbered events
    bool isResumable = false; // a stream may go on at another server after its last event
    Duration maxEventGap{}; // between two events of a stream that is still in time; 0: any
    bool operator==(const Service &) const = default;
};

// Backend servers that stand in for each other, listed by the platform while they live.
struct Pool
{
    std::string name;
    ServiceKind kind = ServiceKind::application;
    std::string healthPath;
    int maxConnections = 0; // of one server, from all instances together
    double warmupRate = 0; // requests a second that a cold server bears; 0: it is never cold
    std::int64_t cacheTokens = 0; // of one model engine, for running requests and kept prompts
    bool operator==(const Pool &) const = default;
};

// What a model engine should hold.
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
    std::string pool; // empty: see models and services
    int slots = 8; // requests it runs at once
    std::vector<std::string> models; // model engines
    std::vector<std::string> services; // application engines
    double cost = 1; // of one slot for one second
    bool checksFencing = false;
    std::optional<Placement> placement; // none: its own affair
    bool operator==(const BackendServer &) const = default;
};

struct Limits
{
    int maxBodyBytes = 1 << 20;
    int maxHeaderBytes = 1 << 16;
    Duration headerTimeout = std::chrono::seconds(60);
    Duration idleTimeout = std::chrono::seconds(60);
    double retryShare = 0.1; // retries per request
    double queueFactor = 2; // outstanding requests per slot before a refusal
    Duration awayMargin = std::chrono::milliseconds(200);
    int bookingShards = 16; // claim pages per hour; fixed for the life of a deployment
    Duration bookingKeyLifetime = std::chrono::hours(24);
    double weightLoadsPerMinute = 4; // of the whole deployment
    bool operator==(const Limits &) const = default;
};

// What one site has in force.
struct FleetConfig
{
    std::uint64_t version = 0;
    std::string deployment;
    std::string site;
    Weights weights;
    Limits limits;
    std::vector<Region> regions;
    Duration regionOneWay = std::chrono::milliseconds(80);
    bool requiresKeys
        = true; // callers must send a key, except to services that allow anonymous ones
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

// The document kept in the store: sources, not results, so that an older instance can read it.
struct ConfigDocument
{
    std::uint64_t version = 0;
    std::string author;
    std::string note;
    ConfigFile base;
    std::map<std::string, ConfigFile> overlays; // by site
    bool operator==(const ConfigDocument &) const = default;
};

std::string serializeDocument(const ConfigDocument &document);
absl::StatusOr<ConfigDocument> parseDocument(std::string_view text);

// Merged settings of one site, with origins.
absl::StatusOr<SettingNode> effectiveSettings(const ConfigDocument &document,
                                              const std::string &site);

// Parses and checks one site. Fails with one line a fault.
absl::StatusOr<FleetConfig> parseFleetConfig(const ConfigDocument &document,
                                             const std::string &site);

// Checks every site, the rules that span sites, and what may not change against the version now in
// force (null at first). Returns the configuration of each site.
absl::StatusOr<std::map<std::string, FleetConfig>> validateDocument(const ConfigDocument &document,
                                                                    const ConfigDocument *active);

// The customer whose key this is, or null. Takes as long whether a key is known or not.
const Customer *findCustomerByKey(const FleetConfig &config, std::string_view key);

// What a request is ordered by, where several wait: its customer's priority if that has one, then
// the service's. 0 is most urgent.
int requestPriority(const Customer &customer, const Service &service);

// The regions where a customer's request for a service may run, in configuration order.
std::vector<std::string> allowedRegions(const FleetConfig &config, const Customer &customer,
                                        const Service &service);

// Fills in what a format leaves open: the usual time of one run, taken as half of the time in which
// an answer is expected.
void fillServiceDefaults(FleetConfig &config);

// The service whose rule fits best, or null.
const Service *findServiceByPath(const FleetConfig &config, std::string_view host,
                                 std::string_view path);

// How many services may run in each region.
std::map<std::string, int> countAllowedServices(const FleetConfig &config);

// The pool of a service that a number in [0, 1) falls to; empty for a service without pools.
std::string selectPool(const Service &service, double uniform);

bool servesService(const BackendServer &server, const Service &service);

// Under which the anonymous customer stands among the others; no customer has this name.
constexpr std::string_view anonymousCustomerName = "";

// Whose requests are those that come without a key, where a service is open or no keys are shown.
Customer makeAnonymousCustomer();

std::string sha256Hex(std::string_view text);

} // namespace ibisnotch
