#include "ibisnotch/receive-limits.h"

#include <algorithm>

namespace ibisnotch {

namespace {

// Share of the bound that is in use after connections were closed, so that they are not chosen
// anew for each byte.
constexpr double relievedShare = 0.875;
// Silence of a client that has just sent something.
constexpr Duration leastSilence = std::chrono::milliseconds(100);

double memoryCost(const ReceiveSample &sample)
{
    return static_cast<double>(sample.heldBytes) * seconds(sample.silence + leastSilence);
}

bool isReceiving(const ReceiveSample &sample)
{
    return sample.state == ReceiveState::head || sample.state == ReceiveState::body;
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
    }
    return "none";
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

} // namespace ibisnotch
