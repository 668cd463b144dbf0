#include "ibisnotch/config.h"

#include <algorithm>
#include <set>

#include <absl/strings/escaping.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "ibisnotch/server-table.h"

namespace ibisnotch {

namespace {

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

bool permits(const std::vector<std::string> &list, const std::string &item)
{
    return list.empty() || contains(list, item);
}

bool isRegion(const FleetConfig &config, const std::string &name)
{
    return std::any_of(config.regions.begin(), config.regions.end(),
                       [&name](const Region &region) { return region.name == name; });
}

void readRegions(SettingReader &root, FleetConfig &config)
{
    for (auto &[name, reader] : root.children("regions")) {
        config.regions.push_back({name, reader.texts("dataCentres")});
        reader.finish();
    }
    if (config.regions.empty())
        root.fail("regions", "missing; name at least one region");
}

std::vector<std::string> readRegionList(SettingReader &reader, const FleetConfig &config)
{
    std::vector<std::string> regions = reader.texts("regions");
    for (const std::string &name : regions) {
        if (!isRegion(config, name))
            reader.fail("regions",
                        fmt::format("unknown region \"{}\"; name one of the base file's "
                                    "regions",
                                    name));
    }
    return regions;
}

void readWeights(SettingReader &root, FleetConfig &config)
{
    constexpr double highest = 100;
    SettingReader reader = root.child("weights");
    config.weights.tailLatency = reader.number("tailLatency", 1, 0, highest);
    config.weights.cost = reader.number("cost", 1, 0, highest);
    config.weights.sentAway = reader.number("sentAway", 1, 0, highest);
    config.weights.lateIsUndelivered = reader.flag("lateIsUndelivered", false);
    reader.finish();
}

void readLimits(SettingReader &root, FleetConfig &config)
{
    constexpr int largestBody = 8 << 20;
    constexpr int mostShards = 4096;
    SettingReader reader = root.child("limits");
    Limits &limits = config.limits;
    limits.maxBodyBytes = reader.integer("maxBodyBytes", limits.maxBodyBytes, 1024, largestBody);
    limits.retryShare = reader.number("retryShare", limits.retryShare, 0, 1);
    limits.queueFactor = reader.number("queueFactor", limits.queueFactor, 1, 100);
    limits.awayMargin = reader.duration("awayMargin", limits.awayMargin);
    limits.bookingShards = reader.integer("bookingShards", limits.bookingShards, 1, mostShards);
    limits.bookingKeyLife = reader.duration("bookingKeyLife", limits.bookingKeyLife);
    limits.weightLoadsPerMinute
        = reader.number("weightLoadsPerMinute", limits.weightLoadsPerMinute, 0.1, 1000);
    reader.finish();
}

bool isKeyHash(const std::string &text)
{
    constexpr std::size_t hexDigits = 64;
    return text.size() == hexDigits
        && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Of one token or of several, so that a customer can change to a new one while the old one holds.
void readKeys(SettingReader &reader, Customer &customer, std::map<std::string, std::string> &owners)
{
    const std::string single = reader.text("tokenSha256", "");
    std::vector<std::string> several = reader.texts("tokensSha256");
    if (single.empty() == several.empty())
        reader.fail("tokenSha256", "expected it, or tokensSha256 with at least one hash");
    if (!single.empty())
        several.push_back(single);
    for (const std::string &hash : several) {
        const std::string field = single.empty() ? "tokensSha256" : "tokenSha256";
        if (!isKeyHash(hash))
            reader.fail(field, "expected 64 lower-case hex digits, the SHA-256 of the token");
        const auto [owner, fresh] = owners.emplace(hash, customer.name);
        if (!fresh)
            reader.fail(field,
                        fmt::format("this token is already one of customer {}; a request "
                                    "with it would be either's",
                                    owner->second));
    }
    customer.keyHashes = std::move(several);
}

void readUsageCap(SettingReader &reader, Customer &customer)
{
    constexpr double most = 1e12;
    if (!reader.has("usageCap"))
        return;
    SettingReader child = reader.child("usageCap");
    UsageCap cap;
    cap.tokens = child.choice("unit", "requests", {"requests", "tokens"}) == "tokens";
    cap.perSecond = child.number("perSecond", 0, 0, most);
    cap.burst = child.number("burst", cap.perSecond, 0, most);
    cap.plainTokens = child.number("plainTokens", 0, 0, most);
    if (cap.perSecond <= 0)
        child.fail("perSecond", "above 0 expected; leave usageCap out for no limit");
    if (!cap.tokens && cap.plainTokens > 0)
        child.fail("plainTokens", "only with unit: tokens");
    child.finish();
    customer.cap = cap;
}

void readCustomers(SettingReader &root, FleetConfig &config)
{
    std::map<std::string, std::string> owners; // of key hashes
    for (auto &[name, reader] : root.children("customers")) {
        Customer customer;
        customer.name = name;
        readKeys(reader, customer, owners);
        customer.regions = readRegionList(reader, config);
        customer.services = reader.texts("services");
        customer.share = reader.number("share", 1, 0.01, 1000);
        if (reader.has("priority"))
            customer.priority = reader.integer("priority", 0, 0, 9);
        readUsageCap(reader, customer);
        reader.finish();
        config.customers.emplace(name, std::move(customer));
    }
}

void readServiceKind(SettingReader &reader, Service &service)
{
    if (service.kind == ServiceKind::model) {
        service.model = reader.requiredText("model");
        return;
    }
    service.method = reader.choice("method", "GET", {"GET", "POST"});
    service.path = reader.requiredText("path");
    service.idempotent = reader.flag("idempotent", true);
    if (!service.idempotent && service.method != "POST")
        reader.fail("method", "a service that is not idempotent takes POST");
}

void readServices(SettingReader &root, FleetConfig &config)
{
    for (auto &[name, reader] : root.children("services")) {
        Service service;
        service.name = name;
        const std::string kind = reader.choice("kind", "model", {"model", "application"});
        service.kind = kind == "model" ? ServiceKind::model : ServiceKind::application;
        readServiceKind(reader, service);
        service.deadline = reader.duration("deadline", std::chrono::seconds(10));
        service.expected = reader.duration("expected", std::chrono::milliseconds(200));
        if (service.expected > service.deadline)
            reader.fail("expected", "longer than the deadline; lower it or raise the deadline");
        service.worth = reader.number("worth", 1, 0, 1000000);
        service.priority = reader.integer("priority", 1, 0, 9);
        service.regions = readRegionList(reader, config);
        service.objective = reader.number("objective", 0.99, 0.5, 0.99999);
        reader.finish();
        config.services.emplace(name, std::move(service));
    }
}

bool isKnownDataCentre(const FleetConfig &config, const std::string &name)
{
    return std::any_of(config.regions.begin(), config.regions.end(), [&](const Region &region) {
        return region.name == config.site && contains(region.dataCentres, name);
    });
}

void checkOffered(SettingReader &reader, const FleetConfig &config, const BackendServer &server)
{
    for (const std::string &name : server.services) {
        const auto found = config.services.find(name);
        if (found == config.services.end() || found->second.kind != ServiceKind::application)
            reader.fail("services", fmt::format("\"{}\" is no application service", name));
    }
    const bool offersNothing = server.models.empty() && server.services.empty();
    if (offersNothing)
        reader.fail(server.kind == ServiceKind::model ? "models" : "services",
                    "missing; name at least one");
}

void readPlacement(SettingReader &reader, BackendServer &server)
{
    if (!reader.has("placement"))
        return;
    SettingReader child = reader.child("placement");
    Placement placement;
    placement.model = child.requiredText("model");
    placement.version = child.requiredText("version");
    placement.adapter = child.text("adapter", "");
    placement.role = child.choice("role", "serve", {"serve", "prefill", "decode"});
    if (!placement.model.empty() && !contains(server.models, placement.model))
        child.fail("model", "not among the models of this backend server");
    child.finish();
    server.placement = placement;
}

void readServers(SettingReader &root, FleetConfig &config)
{
    std::map<std::uint32_t, std::string> ids;
    for (auto &[name, reader] : root.children("backendServers")) {
        BackendServer server;
        server.name = name;
        const std::string kind = reader.choice("kind", "model", {"model", "application"});
        server.kind = kind == "model" ? ServiceKind::model : ServiceKind::application;
        server.dataCentre = reader.requiredText("dataCentre");
        if (!server.dataCentre.empty() && !isKnownDataCentre(config, server.dataCentre))
            reader.fail("dataCentre",
                        fmt::format("\"{}\" is no data centre of region {}", server.dataCentre,
                                    config.site));
        server.address = reader.requiredText("address");
        server.slots = reader.integer("slots", server.slots, 1, 4096);
        server.models = reader.texts("models");
        server.services = reader.texts("services");
        server.cost = reader.number("cost", 1, 0, 1000000);
        server.checksFencing = reader.flag("checksFencing", false);
        readPlacement(reader, server);
        checkOffered(reader, config, server);
        reader.finish();
        const auto [other, fresh] = ids.emplace(serverId(name), name);
        if (!fresh)
            reader.fail("address",
                        fmt::format("the name shares its short id with \"{}\"; choose "
                                    "another name",
                                    other->second));
        config.servers.emplace(name, std::move(server));
    }
}

FleetConfig readConfig(SettingReader &root, const std::string &site)
{
    FleetConfig config;
    config.site = site;
    config.deployment = root.requiredText("deployment");
    config.regionOneWay = root.duration("regionOneWay", config.regionOneWay);
    readRegions(root, config);
    readWeights(root, config);
    readLimits(root, config);
    readServices(root, config);
    readCustomers(root, config);
    readServers(root, config);
    root.finish();
    return config;
}

absl::Status faults(const std::vector<std::string> &errors)
{
    return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
}

using Sites = std::map<std::string, FleetConfig>;

bool runsSomewhere(const Sites &sites, const std::vector<std::string> &regions,
                   const Service &service)
{
    return std::any_of(regions.begin(), regions.end(), [&](const std::string &region) {
        const auto &servers = sites.at(region).servers;
        return std::any_of(servers.begin(), servers.end(),
                           [&](const auto &entry) { return servesService(entry.second, service); });
    });
}

void checkCustomerRules(const Sites &sites, const FleetConfig &config, const std::string &file,
                        std::vector<std::string> &errors)
{
    for (const auto &[customerName, customer] : config.customers) {
        for (const std::string &name : customer.services) {
            if (config.services.count(name) == 0)
                errors.push_back(fmt::format("{}: customers.{}.services: unknown service \"{}\"",
                                             file, customerName, name));
        }
        for (const auto &[serviceName, service] : config.services) {
            if (!permits(customer.services, serviceName))
                continue;
            if (!runsSomewhere(sites, allowedRegions(config, customer, service), service))
                errors.push_back(fmt::format(
                    "{}: customers.{}.regions: residency leaves service {} nowhere to run; add a "
                    "region with a backend server for it, or list the customer's services",
                    file, customerName, serviceName));
        }
    }
}

// Residency must be one rule for the whole deployment: if sites disagreed, the sender's check and
// the receiver's check would be two different checks.
void checkSameRules(const Sites &sites, std::vector<std::string> &errors)
{
    const FleetConfig &first = sites.begin()->second;
    for (const auto &[site, config] : sites) {
        for (const auto &[name, customer] : first.customers) {
            const auto found = config.customers.find(name);
            if (found == config.customers.end() || found->second.regions != customer.regions)
                errors.push_back(fmt::format(
                    "overlay of {}: customers.{}.regions: residency differs between sites; state "
                    "it in the base file",
                    site, name));
        }
        for (const auto &[name, service] : first.services) {
            const auto found = config.services.find(name);
            const bool same = found != config.services.end()
                && found->second.regions == service.regions
                && found->second.idempotent == service.idempotent;
            if (!same)
                errors.push_back(fmt::format("overlay of {}: services.{}: regions and idempotent "
                                             "must be the same at all sites; state them in the "
                                             "base file",
                                             site, name));
        }
        if (config.limits.bookingShards != first.limits.bookingShards
            || config.limits.bookingKeyLife != first.limits.bookingKeyLife)
            errors.push_back(fmt::format("overlay of {}: limits.bookingShards, "
                                         "limits.bookingKeyLife: must be the same at all sites",
                                         site));
    }
}

// A booking key is found by its shard. If the number of shards changed, an old key would be looked
// for on another page, found unclaimed there, and its booking would run a second time.
void checkUnchangeable(const Sites &sites, const ConfigDocument &inForce,
                       std::vector<std::string> &errors)
{
    if (inForce.overlays.empty())
        return;
    const auto old = parseFleetConfig(inForce, inForce.overlays.begin()->first);
    if (!old.ok())
        return;
    const Limits &now = sites.begin()->second.limits;
    if (now.bookingShards != old->limits.bookingShards)
        errors.push_back(
            fmt::format("limits.bookingShards: may not change while keys live; keep {}",
                        old->limits.bookingShards));
    if (now.bookingKeyLife > old->limits.bookingKeyLife)
        errors.emplace_back("limits.bookingKeyLife: may not grow, dropped claims would be accepted "
                            "again; keep or lower it");
}

} // namespace

std::string serializeDocument(const ConfigDocument &document)
{
    nlohmann::json overlays = nlohmann::json::object();
    for (const auto &[site, file] : document.overlays)
        overlays[site] = {{"name", file.name}, {"text", file.text}};
    return nlohmann::json{{"version", document.version},
                          {"author", document.author},
                          {"note", document.note},
                          {"base", {{"name", document.base.name}, {"text", document.base.text}}},
                          {"overlays", overlays}}
        .dump();
}

absl::StatusOr<ConfigDocument> parseDocument(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        ConfigDocument document;
        document.version = json.at("version").get<std::uint64_t>();
        document.author = json.value("author", "");
        document.note = json.value("note", "");
        document.base = {json.at("base").at("name"), json.at("base").at("text")};
        for (const auto &[site, file] : json.at("overlays").items())
            document.overlays[site] = {file.at("name"), file.at("text")};
        return document;
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(fmt::format("broken document: {}", error.what()));
    }
}

absl::StatusOr<SettingNode> effectiveSettings(const ConfigDocument &document,
                                              const std::string &site)
{
    auto base = parseSettings(document.base.text, document.base.name);
    if (!base.ok())
        return base.status();
    const auto found = document.overlays.find(site);
    if (found == document.overlays.end())
        return absl::InvalidArgumentError(
            fmt::format("{}: no overlay for site \"{}\"", document.base.name, site));
    const auto overlay = parseSettings(found->second.text, found->second.name);
    if (!overlay.ok())
        return overlay.status();
    return mergeSettings(*base, *overlay);
}

absl::StatusOr<FleetConfig> parseFleetConfig(const ConfigDocument &document,
                                             const std::string &site)
{
    const auto settings = effectiveSettings(document, site);
    if (!settings.ok())
        return settings.status();
    std::vector<std::string> errors;
    SettingReader root(*settings, "", errors);
    FleetConfig config = readConfig(root, site);
    config.version = document.version;
    if (!isRegion(config, site))
        errors.push_back(
            fmt::format("{}: regions: no region \"{}\" for its overlay", document.base.name, site));
    if (!errors.empty())
        return faults(errors);
    return config;
}

absl::StatusOr<std::map<std::string, FleetConfig>> validateDocument(const ConfigDocument &document,
                                                                    const ConfigDocument *inForce)
{
    Sites sites;
    std::vector<std::string> errors;
    for (const auto &[site, file] : document.overlays) {
        auto config = parseFleetConfig(document, site);
        if (!config.ok())
            errors.emplace_back(config.status().message());
        else
            sites.emplace(site, *std::move(config));
    }
    if (document.overlays.empty())
        errors.push_back(document.base.name + ": no overlay given; each region needs one");
    if (!errors.empty())
        return faults(errors);
    for (const Region &region : sites.begin()->second.regions) {
        if (sites.count(region.name) == 0)
            errors.push_back(fmt::format("{}: regions.{}: no overlay for this region",
                                         document.base.name, region.name));
    }
    if (!errors.empty())
        return faults(errors);
    checkSameRules(sites, errors);
    checkCustomerRules(sites, sites.begin()->second, document.base.name, errors);
    if (inForce != nullptr)
        checkUnchangeable(sites, *inForce, errors);
    if (!errors.empty())
        return faults(errors);
    return sites;
}

const Customer *findByKey(const FleetConfig &config, std::string_view key)
{
    const std::string hash = sha256Hex(key);
    const Customer *owner = nullptr;
    // All are compared, each in the same time, so that the time tells nothing of a key.
    for (const auto &[name, customer] : config.customers) {
        for (const std::string &known : customer.keyHashes) {
            const bool same = known.size() == hash.size()
                && CRYPTO_memcmp(known.data(), hash.data(), hash.size()) == 0;
            owner = same ? &customer : owner;
        }
    }
    return owner;
}

int priorityOf(const Customer &customer, const Service &service)
{
    constexpr int perCustomer = 3; // services whose priority is below that are alike
    if (!customer.priority)
        return service.priority;
    return *customer.priority * perCustomer + std::min(service.priority, perCustomer - 1);
}

std::vector<std::string> allowedRegions(const FleetConfig &config, const Customer &customer,
                                        const Service &service)
{
    std::vector<std::string> result;
    for (const Region &region : config.regions) {
        if (permits(customer.regions, region.name) && permits(service.regions, region.name))
            result.push_back(region.name);
    }
    return result;
}

void completeServices(FleetConfig &config)
{
    for (auto &[name, service] : config.services) {
        if (service.expected.count() == 0)
            service.expected = service.target / 2;
    }
}

const Service *findByPath(const FleetConfig &config, std::string_view host, std::string_view path)
{
    const Service *best = nullptr;
    for (const auto &[name, service] : config.services) {
        if (!service.rule || service.rule->host != host || !path.starts_with(service.rule->prefix))
            continue;
        if (best == nullptr || service.rule->prefix.size() > best->rule->prefix.size())
            best = &service;
    }
    return best;
}

std::map<std::string, int> servicesAllowed(const FleetConfig &config)
{
    std::map<std::string, int> allowed;
    for (const Region &region : config.regions) {
        const auto count
            = std::count_if(config.services.begin(), config.services.end(), [&](const auto &entry) {
                  return permits(entry.second.regions, region.name);
              });
        allowed[region.name] = static_cast<int>(count);
    }
    return allowed;
}

std::string drawPool(const Service &service, double uniform)
{
    double total = 0;
    for (const PoolShare &share : service.pools)
        total += share.weight;
    double left = uniform * total;
    for (const PoolShare &share : service.pools) {
        if (left < share.weight)
            return share.pool;
        left -= share.weight;
    }
    return service.pools.empty() ? "" : service.pools.back().pool;
}

bool servesService(const BackendServer &server, const Service &service)
{
    if (!service.pools.empty())
        return std::any_of(service.pools.begin(), service.pools.end(),
                           [&server](const PoolShare &share) { return share.pool == server.pool; });
    if (server.kind != service.kind)
        return false;
    if (service.kind == ServiceKind::model)
        return contains(server.models, service.model);
    return contains(server.services, service.name);
}

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest);
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char *>(digest), sizeof digest));
}

} // namespace ibisnotch
