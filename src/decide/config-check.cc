// Checks a configuration for all sites together, and against the active version.
#include <fmt/format.h>

#include "config-detail.h"

namespace ibisnotch {

using namespace detail;

namespace {

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

// Checks that each customer names known services, and that a backend server in an allowed region
// runs each of them.
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
            if (!allows(customer.services, serviceName))
                continue;
            if (!runsSomewhere(sites, allowedRegions(config, customer, service), service))
                errors.push_back(fmt::format(
                    "{}: customers.{}.regions: residency leaves service {} nowhere to run; add a "
                    "region with a backend server for it, or list the customer's services",
                    file, customerName, serviceName));
        }
    }
}

// Checks that all sites have the same rules for residency, idempotence and booking keys. If
// residency differed between sites, the sender and the receiver of a request would check different
// rules.
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
            || config.limits.bookingKeyLifetime != first.limits.bookingKeyLifetime)
            errors.push_back(fmt::format("overlay of {}: limits.bookingShards, "
                                         "limits.bookingKeyLife: must be the same at all sites",
                                         site));
    }
}

// Checks the settings that must not change. The claim of a booking key is found by its shard: if
// the number of shards changed, an old key would be looked up on another page, where it is
// unclaimed, and its booking would run a second time.
void checkAgainstActive(const Sites &sites, const ConfigDocument &active,
                        std::vector<std::string> &errors)
{
    if (active.overlays.empty())
        return;
    const auto activeConfig = parseFleetConfig(active, active.overlays.begin()->first);
    if (!activeConfig.ok())
        return;
    const Limits &limits = sites.begin()->second.limits;
    if (limits.bookingShards != activeConfig->limits.bookingShards)
        errors.push_back(
            fmt::format("limits.bookingShards: may not change while keys live; keep {}",
                        activeConfig->limits.bookingShards));
    if (limits.bookingKeyLifetime > activeConfig->limits.bookingKeyLifetime)
        errors.emplace_back("limits.bookingKeyLife: may not grow, dropped claims would be accepted "
                            "again; keep or lower it");
}

} // namespace

absl::StatusOr<std::map<std::string, FleetConfig>> validateDocument(const ConfigDocument &document,
                                                                    const ConfigDocument *active)
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
        return makeErrorStatus(errors);
    for (const Region &region : sites.begin()->second.regions) {
        if (sites.count(region.name) == 0)
            errors.push_back(fmt::format("{}: regions.{}: no overlay for this region",
                                         document.base.name, region.name));
    }
    if (!errors.empty())
        return makeErrorStatus(errors);
    checkSameRules(sites, errors);
    checkCustomerRules(sites, sites.begin()->second, document.base.name, errors);
    if (active != nullptr)
        checkAgainstActive(sites, *active, errors);
    if (!errors.empty())
        return makeErrorStatus(errors);
    return sites;
}

} // namespace ibisnotch
