#include "ibisnotch/config.h"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "config-detail.h"

namespace ibisnotch {

using namespace detail;

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
        return absl::InvalidArgumentError(fmt::format("invalid document: {}", error.what()));
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

const Customer *findCustomerByKey(const FleetConfig &config, std::string_view key)
{
    const std::string hash = sha256Hex(key);
    const Customer *owner = nullptr;
    // Compares all hashes in constant time, so that the duration reveals nothing about keys.
    for (const auto &[name, customer] : config.customers) {
        for (const std::string &known : customer.keyHashes) {
            const bool same = known.size() == hash.size()
                && CRYPTO_memcmp(known.data(), hash.data(), hash.size()) == 0;
            owner = same ? &customer : owner;
        }
    }
    return owner;
}

Customer makeAnonymousCustomer()
{
    Customer customer;
    customer.name = "callers"; // shown in logs and metrics
    customer.anonymous = true;
    return customer;
}

int requestPriority(const Customer &customer, const Service &service)
{
    // Each priority of a customer has three levels for its services. Services with priority 2 or
    // more share the last level.
    constexpr int levelsPerCustomer = 3;
    if (!customer.priority)
        return service.priority;
    return *customer.priority * levelsPerCustomer
        + std::min(service.priority, levelsPerCustomer - 1);
}

std::vector<std::string> allowedRegions(const FleetConfig &config, const Customer &customer,
                                        const Service &service)
{
    std::vector<std::string> result;
    for (const Region &region : config.regions) {
        if (allows(customer.regions, region.name) && allows(service.regions, region.name))
            result.push_back(region.name);
    }
    return result;
}

void fillServiceDefaults(FleetConfig &config)
{
    for (auto &[name, service] : config.services) {
        if (service.expectedDuration.count() == 0)
            service.expectedDuration = service.targetLatency / 2;
    }
}

const Service *findServiceByPath(const FleetConfig &config, std::string_view host,
                                 std::string_view path)
{
    const Service *best = nullptr;
    for (const auto &[name, service] : config.services) {
        if (!service.pathRule || service.pathRule->host != host
            || !path.starts_with(service.pathRule->prefix))
            continue;
        if (best == nullptr || service.pathRule->prefix.size() > best->pathRule->prefix.size())
            best = &service;
    }
    return best;
}

std::map<std::string, int> countAllowedServices(const FleetConfig &config)
{
    std::map<std::string, int> allowed;
    for (const Region &region : config.regions) {
        const auto count
            = std::count_if(config.services.begin(), config.services.end(), [&](const auto &entry) {
                  return allows(entry.second.regions, region.name);
              });
        allowed[region.name] = static_cast<int>(count);
    }
    return allowed;
}

std::string selectPool(const Service &service, double uniform)
{
    double total = 0;
    for (const PoolShare &share : service.pools)
        total += share.weight;
    double remaining = uniform * total;
    for (const PoolShare &share : service.pools) {
        if (remaining < share.weight)
            return share.pool;
        remaining -= share.weight;
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
