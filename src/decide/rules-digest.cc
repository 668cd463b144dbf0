#include "ibisnotch/rules-digest.h"

#include <algorithm>
#include <vector>

#include <fmt/format.h>

#include "ibisnotch/hash.h"

namespace ibisnotch {

namespace {

// With its length before it, so that no two lists of texts give the same sequence.
void append(std::string &to, const std::string &text)
{
    to += fmt::format("{}:{}", text.size(), text);
}

void append(std::string &to, const std::vector<std::string> &texts)
{
    to += fmt::format("[{}]", texts.size());
    for (const std::string &text : texts)
        append(to, text);
}

} // namespace

std::string rulesDigest(const FleetConfig &config, const Customer &customer, const Service &service)
{
    std::string text;
    append(text, service.name);
    append(text, service.model);
    append(text, service.method);
    append(text, service.path);
    if (service.pathRule) {
        append(text, service.pathRule->host);
        append(text, service.pathRule->prefix);
    }
    text += fmt::format("[{}]", service.pools.size());
    for (const PoolShare &share : service.pools) {
        append(text, share.pool);
        text += fmt::format("*{};", share.weight);
    }
    text += fmt::format("{};{};{};{};{};{};{};", static_cast<int>(service.kind), service.idempotent,
                        service.isStreaming, service.isResumable, service.allowsAnonymous,
                        service.maxAttempts, service.deadline.count());
    append(text, customer.name);
    append(text, customer.services);
    std::vector<std::string> regions = allowedRegions(config, customer, service);
    std::sort(regions.begin(), regions.end()); // instances may name them in another order
    append(text, regions);
    return fmt::format("{:016x}", hash64(text));
}

} // namespace ibisnotch
