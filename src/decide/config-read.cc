// Reads the configuration of one site from its merged settings.
#include <fmt/format.h>

#include "config-detail.h"
#include "ibisnotch/server-table.h"

namespace ibisnotch {

using namespace detail;

namespace {

void readRegions(SettingReader &root, FleetConfig &config)
{
    for (auto &[name, reader] : root.children("regions")) {
        config.regions.push_back({name, reader.textList("dataCentres")});
        reader.finish();
    }
    if (config.regions.empty())
        root.fail("regions", "missing; name at least one region");
}

std::vector<std::string> readRegionList(SettingReader &reader, const FleetConfig &config)
{
    std::vector<std::string> regions = reader.textList("regions");
    for (const std::string &name : regions) {
        if (!isKnownRegion(config, name))
            reader.fail("regions",
                        fmt::format("unknown region \"{}\"; name one of the base file's "
                                    "regions",
                                    name));
    }
    return regions;
}

void readWeights(SettingReader &root, FleetConfig &config)
{
    constexpr double maxWeight = 100;
    SettingReader reader = root.child("weights");
    config.weights.tailLatency = reader.number("tailLatency", 1, 0, maxWeight);
    config.weights.cost = reader.number("cost", 1, 0, maxWeight);
    config.weights.sentAway = reader.number("sentAway", 1, 0, maxWeight);
    config.weights.lateIsUndelivered = reader.flag("lateIsUndelivered", false);
    reader.finish();
}

void readLimits(SettingReader &root, FleetConfig &config)
{
    constexpr int maxBodySize = 8 << 20;
    constexpr int maxHeadSize = 64 << 10; // the parser's own limit is little more
    constexpr int maxShards = 4096;
    SettingReader reader = root.child("limits");
    Limits &limits = config.limits;
    limits.maxBodyBytes = reader.integer("maxBodyBytes", limits.maxBodyBytes, 1024, maxBodySize);
    limits.maxHeaderBytes
        = reader.integer("maxHeaderBytes", limits.maxHeaderBytes, 1024, maxHeadSize);
    limits.headerTimeout = reader.duration("headerTimeout", limits.headerTimeout);
    limits.retryShare = reader.number("retryShare", limits.retryShare, 0, 1);
    limits.queueFactor = reader.number("queueFactor", limits.queueFactor, 1, 100);
    limits.awayMargin = reader.duration("awayMargin", limits.awayMargin);
    limits.bookingShards = reader.integer("bookingShards", limits.bookingShards, 1, maxShards);
    limits.bookingKeyLifetime = reader.duration("bookingKeyLife", limits.bookingKeyLifetime);
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

// Reads the hash of one token or of several, so that a customer can switch to a new token while the
// old one is still valid.
void readKeys(SettingReader &reader, Customer &customer,
              std::map<std::string, std::string> &ownersByHash)
{
    const std::string single = reader.text("tokenSha256", "");
    std::vector<std::string> hashes = reader.textList("tokensSha256");
    if (single.empty() == hashes.empty())
        reader.fail("tokenSha256", "expected it, or tokensSha256 with at least one hash");
    if (!single.empty())
        hashes.push_back(single);
    for (const std::string &hash : hashes) {
        const std::string field = single.empty() ? "tokensSha256" : "tokenSha256";
        if (!isKeyHash(hash))
            reader.fail(field, "expected 64 lower-case hex digits, the SHA-256 of the token");
        const auto [owner, inserted] = ownersByHash.emplace(hash, customer.name);
        if (!inserted)
            reader.fail(field,
                        fmt::format("this token is already one of customer {}; a request "
                                    "with it would be either's",
                                    owner->second));
    }
    customer.keyHashes = std::move(hashes);
}

void readUsageCap(SettingReader &reader, Customer &customer)
{
    constexpr double maxValue = 1e12;
    if (!reader.has("usageCap"))
        return;
    SettingReader child = reader.child("usageCap");
    UsageCap cap;
    cap.countsTokens = child.choice("unit", "requests", {"requests", "tokens"}) == "tokens";
    cap.perSecond = child.number("perSecond", 0, 0, maxValue);
    cap.burst = child.number("burst", cap.perSecond, 0, maxValue);
    cap.plainTokens = child.number("plainTokens", 0, 0, maxValue);
    if (cap.perSecond <= 0)
        child.fail("perSecond", "above 0 expected; leave usageCap out for no limit");
    if (!cap.countsTokens && cap.plainTokens > 0)
        child.fail("plainTokens", "only with unit: tokens");
    child.finish();
    customer.usageCap = cap;
}

void readCustomers(SettingReader &root, FleetConfig &config)
{
    std::map<std::string, std::string> ownersByHash; // customers by key hash
    for (auto &[name, reader] : root.children("customers")) {
        Customer customer;
        customer.name = name;
        readKeys(reader, customer, ownersByHash);
        customer.regions = readRegionList(reader, config);
        customer.services = reader.textList("services");
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
        service.expectedDuration = reader.duration("expected", std::chrono::milliseconds(200));
        if (service.expectedDuration > service.deadline)
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

void checkOfferedServices(SettingReader &reader, const FleetConfig &config,
                          const BackendServer &server)
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
    std::map<std::uint32_t, std::string> namesById;
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
        server.models = reader.textList("models");
        server.services = reader.textList("services");
        server.cost = reader.number("cost", 1, 0, 1000000);
        server.checksFencing = reader.flag("checksFencing", false);
        readPlacement(reader, server);
        checkOfferedServices(reader, config, server);
        reader.finish();
        const auto [other, inserted] = namesById.emplace(serverId(name), name);
        if (!inserted)
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

} // namespace

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
    if (!isKnownRegion(config, site))
        errors.push_back(
            fmt::format("{}: regions: no region \"{}\" for its overlay", document.base.name, site));
    if (!errors.empty())
        return makeErrorStatus(errors);
    return config;
}

} // namespace ibisnotch
