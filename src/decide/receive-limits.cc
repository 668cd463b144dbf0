#include "ibisnotch/receive-limits.h"

#include <algorithm>
#include <map>

namespace ibisnotch {

namespace {

// Share of the bound that is in use after connections were closed, so that they are not chosen
// anew for each byte.
constexpr double relievedShare = 0.875;
// Silence of a client that has just sent something.
constexpr Duration leastSilence = std::chrono::milliseconds(100);
// Weight of silence where the client owes bytes.
constexpr int owingWeight = 4;

double memoryCost(const ReceiveSample &sample)
{
    return static_cast<double>(sample.heldBytes) * seconds(sample.silence + leastSilence);
}

bool isReceiving(const ReceiveSample &sample)
{
    return sample.state == ReceiveState::head || sample.state == ReceiveState::body;
}

Duration weighSilence(const ReceiveSample &sample)
{
    const bool owesBytes = sample.state != ReceiveState::idle;
    return owesBytes ? owingWeight * sample.silence : sample.silence;
}

std::uint16_t findFullestPort(std::span<const ReceiveSample> samples)
{
    std::map<std::uint16_t, std::size_t> counts;
    for (const ReceiveSample &sample : samples)
        ++counts[sample.port];
    const auto most
        = std::max_element(counts.begin(), counts.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    return most == counts.end() ? std::uint16_t(0) : most->first;
}

} // namespace

std::string_view receiveFaultName(ReceiveFault fault)
{
    switch (fault) {
    case ReceiveFault::none:
        return "none";
    case ReceiveFault::malformed:
        return "malformed";
    case ReceiveFault::headTooLarge:
        return "headTooLarge";
    case ReceiveFault::bodyTooLarge:
        return "bodyTooLarge";
    case ReceiveFault::headTimeout:
        return "headTimeout";
    case ReceiveFault::bodyTimeout:
        return "bodyTimeout";
    case ReceiveFault::idleTimeout:
        return "idleTimeout";
    case ReceiveFault::memoryShort:
        return "memoryShort";
    case ReceiveFault::connectionsShort:
        return "connectionsShort";
    case ReceiveFault::clientLeft:
        return "clientLeft";
    }
    return "none";
}

int statusOf(ReceiveFault fault)
{
    switch (fault) {
    case ReceiveFault::malformed:
        return 400;
    case ReceiveFault::headTooLarge:
        return 431;
    case ReceiveFault::bodyTooLarge:
        return 413;
    case ReceiveFault::headTimeout:
    case ReceiveFault::bodyTimeout:
    case ReceiveFault::idleTimeout:
        return 408;
    case ReceiveFault::none:
    case ReceiveFault::memoryShort:
    case ReceiveFault::connectionsShort:
    case ReceiveFault::clientLeft:
        return 503;
    }
    return 503;
}

ReceiveFault findTimeout(ReceiveState state, Duration sinceHeadBegan, Duration silence,
                         const MessageLimits &limits)
{
    switch (state) {
    case ReceiveState::handling:
        return ReceiveFault::none;
    case ReceiveState::head:
        return sinceHeadBegan > limits.headTime ? ReceiveFault::headTimeout : ReceiveFault::none;
    case ReceiveState::body:
        return silence > limits.idleTime ? ReceiveFault::bodyTimeout : ReceiveFault::none;
    case ReceiveState::unused:
    case ReceiveState::idle:
        return silence > limits.idleTime ? ReceiveFault::idleTimeout : ReceiveFault::none;
    }
    return ReceiveFault::none;
}

std::vector<std::uint64_t> chooseForMemory(std::span<const ReceiveSample> samples,
                                           std::size_t totalBytes)
{
    std::vector<ReceiveSample> receiving;
    std::size_t held = 0;
    std::size_t largest = 0;
    for (const ReceiveSample &sample : samples) {
        if (!isReceiving(sample))
            continue;
        receiving.push_back(sample);
        held += sample.heldBytes;
        largest = std::max(largest, sample.heldBytes);
    }
    const std::size_t bound = std::max(totalBytes, largest + totalBytes / 2);
    std::vector<std::uint64_t> chosen;
    if (held <= bound)
        return chosen;
    std::sort(receiving.begin(), receiving.end(), [](const auto &a, const auto &b) {
        const double costOfA = memoryCost(a);
        const double costOfB = memoryCost(b);
        return costOfA != costOfB ? costOfA > costOfB : a.id < b.id;
    });
    const auto relieved = static_cast<std::size_t>(relievedShare * static_cast<double>(bound));
    for (const ReceiveSample &sample : receiving) {
        if (held <= relieved)
            break;
        chosen.push_back(sample.id);
        held -= sample.heldBytes;
    }
    return chosen;
}

std::vector<std::uint64_t> chooseForConnections(std::span<const ReceiveSample> samples,
                                                std::size_t count)
{
    const std::uint16_t port = findFullestPort(samples);
    std::vector<ReceiveSample> candidates;
    for (const ReceiveSample &sample : samples) {
        if (sample.port == port && sample.state != ReceiveState::handling)
            candidates.push_back(sample);
    }
    const std::size_t size = std::min(count, candidates.size());
    const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(size);
    std::partial_sort(candidates.begin(), end, candidates.end(), [](const auto &a, const auto &b) {
        const Duration silenceOfA = weighSilence(a);
        const Duration silenceOfB = weighSilence(b);
        return silenceOfA != silenceOfB ? silenceOfA > silenceOfB : a.id < b.id;
    });
    std::vector<std::uint64_t> chosen;
    for (auto one = candidates.begin(); one != end; ++one)
        chosen.push_back(one->id);
    return chosen;
}

} // namespace ibisnotch
