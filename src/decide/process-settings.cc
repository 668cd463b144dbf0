#include "ibisnotch/process-settings.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include "ibisnotch/settings.h"

namespace ibisnotch {

namespace {

Address readAddress(SettingReader &reader, const std::string &key)
{
    const std::string text = reader.requiredText(key);
    const auto address = parseAddress(text);
    if (!address.ok() && !text.empty())
        reader.fail(key, std::string(address.status().message()));
    return address.ok() ? *address : Address{};
}

} // namespace

namespace {

BufferLimits readBuffers(SettingReader reader)
{
    constexpr int leastBytes = 64 << 10;
    constexpr int mostBytes = 1 << 30;
    const BufferLimits defaults;
    const auto bytes = [&](const std::string &key, std::size_t fallback) {
        return static_cast<std::size_t>(
            reader.integer(key, static_cast<int>(fallback), leastBytes, mostBytes));
    };
    // Share of the machine's memory; the rest is for the process itself and for what isn't counted.
    constexpr double bufferShare = 0.4;
    constexpr int bytesPerMegabyte = 1 << 20;
    constexpr double maxMemoryMb = 1 << 20;
    std::size_t totalBytes = defaults.totalBytes;
    if (reader.has("memoryMb"))
        totalBytes = static_cast<std::size_t>(std::clamp(
            bufferShare * bytesPerMegabyte * reader.number("memoryMb", 0, 1, maxMemoryMb),
            double(leastBytes), double(mostBytes)));
    BufferLimits limits;
    limits.totalBytes = bytes("totalBytes", totalBytes);
    limits.exchangeBytes = bytes("exchangeBytes", defaults.exchangeBytes);
    limits.exchangeBytesWhenShort
        = bytes("exchangeBytesWhenShort", defaults.exchangeBytesWhenShort);
    limits.slowReadTime = reader.duration("slowReadTime", defaults.slowReadTime);
    if (limits.exchangeBytes > limits.totalBytes)
        reader.fail("exchangeBytes", "is above totalBytes; make it smaller");
    reader.finish();
    return limits;
}

// Reads the data centres and their regions, for deployments whose configuration doesn't list them.
std::vector<Region> readRegions(SettingReader &reader)
{
    std::map<std::string, std::vector<std::string>> dataCentres;
    for (auto &[name, dataCentre] : reader.children("dataCentres")) {
        dataCentres[dataCentre.requiredText("region")].push_back(name);
        dataCentre.finish();
    }
    std::vector<Region> regions;
    for (auto &[name, names] : dataCentres)
        regions.push_back({name, std::move(names)});
    return regions;
}

void readPlatformSettings(SettingReader &reader, ProcessSettings &settings)
{
    const std::string interfaces = reader.choice("interfaces", "own", {"own", "platform"});
    if (interfaces == "own")
        return;
    constexpr double maxSlack = 1e6;
    constexpr double maxUsageSlack = 1e12;
    settings.interfaces = Interfaces::platform;
    settings.readyAddress = readAddress(reader, "ready");
    settings.directoryAddress = readAddress(reader, "directory");
    settings.metricsAddress = readAddress(reader, "metrics");
    settings.regions = readRegions(reader);
    settings.entryListTtl = reader.duration("entryListLife", settings.entryListTtl);
    settings.drainAcceptTime = reader.duration("serveOn", settings.drainAcceptTime);
    SettingReader warmup = reader.child("warmup");
    settings.warmup.factor = warmup.number("factor", 1, 0, maxSlack);
    settings.warmup.slack = warmup.number("slack", 0, 0, maxSlack);
    warmup.finish();
    // Time between the end of the drain and the kill in which the process can exit by itself.
    constexpr Duration exitMargin = std::chrono::milliseconds(700);
    settings.drainTime = reader.duration("killedAfter", settings.drainTime) - exitMargin;
    SettingReader retries = reader.child("retries");
    settings.retryShare = retries.number("share", settings.retryShare, 0, 1);
    settings.retrySlack = retries.number("slack", settings.retrySlack, 0, maxSlack);
    retries.finish();
    SettingReader usage = reader.child("usage");
    settings.usageSlack = usage.number("slack", 0, 0, maxUsageSlack);
    usage.finish();
}

} // namespace

ReceiveLimits receiveLimits(const ProcessSettings &settings, std::size_t descriptors)
{
    constexpr std::size_t leastReserve = 64;
    constexpr std::size_t reserveShare = 4; // one in four
    constexpr std::size_t closingShare = 8; // connections that are about to be closed
    const std::size_t reserve = std::max(leastReserve, descriptors / reserveShare);
    const std::size_t available = descriptors - std::min(descriptors, reserve);
    ReceiveLimits limits;
    limits.maxConnections = std::clamp<std::size_t>(
        available - available / closingShare, 1, static_cast<std::size_t>(settings.maxConnections));
    // The other half is for complete requests and for responses.
    limits.totalBytes = settings.buffers.totalBytes / 2;
    return limits;
}

absl::StatusOr<Address> parseAddress(const std::string &text)
{
    constexpr int maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    int port = 0;
    const bool ok = colon != std::string::npos && colon > 0
        && absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 && port <= maxPort;
    if (!ok)
        return absl::InvalidArgumentError(
            fmt::format("expected IP:port such as 127.0.0.1:8001, found \"{}\"", text));
    return Address{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

absl::StatusOr<ProcessSettings> parseProcessSettings(std::string_view text, const std::string &file)
{
    constexpr int maxWorkers = 64;
    constexpr int maxConnectionLimit = 1000000;
    const auto tree = parseSettings(text, file);
    if (!tree.ok())
        return tree.status();
    std::vector<std::string> errors;
    SettingReader reader(*tree, "", errors);
    ProcessSettings settings;
    settings.name = reader.requiredText("name");
    if (settings.name.find_first_of("@,. ") != std::string::npos)
        reader.fail("name", "may not hold a space or one of @ , .");
    settings.region = reader.requiredText("region");
    settings.dataCentre = reader.requiredText("dataCentre");
    settings.callerAddress = readAddress(reader, "callers");
    settings.peerAddress = readAddress(reader, "peers");
    settings.gossipAddress = readAddress(reader, "gossip");
    settings.storeAddress = readAddress(reader, "store").text();
    settings.seeds = reader.textList("seeds");
    settings.workers = reader.integer("workers", settings.workers, 1, maxWorkers);
    settings.maxConnections
        = reader.integer("maxConnections", settings.maxConnections, 1, maxConnectionLimit);
    settings.idleTimeout = reader.duration("idleTimeout", settings.idleTimeout);
    settings.drainTime = reader.duration("drainTime", settings.drainTime);
    readPlatformSettings(reader, settings);
    SettingReader features = reader.child("features");
    settings.features.regionPlan = features.flag("regionPlan", false);
    settings.features.serverSpeed = features.flag("serverSpeed", false);
    settings.features.prefixWeighing = features.flag("prefixWeighing", false);
    settings.features.customerShares = features.flag("customerShares", false);
    settings.features.bufferLimits = features.flag("bufferLimits", false);
    features.finish();
    settings.buffers = readBuffers(reader.child("buffers"));
    settings.logLevel = reader.choice("logLevel", "info", {"debug", "info", "warn", "error"});
    reader.finish();
    if (!errors.empty())
        return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
    return settings;
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return absl::NotFoundError(fmt::format("{}: cannot be read", path));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace ibisnotch
