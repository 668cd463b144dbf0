// Bounds on what clients may send and how long they may take, and the choice of the connections
// that are closed when the process holds too much for them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// Bounds of one request and of its connection.
struct MessageLimits
{
    std::size_t headBytes = 64U << 10; // request line and fields
    std::uint64_t bodyBytes = 16U << 20; // without the framing of chunks
    Duration headTime = std::chrono::seconds(60); // from the first byte of a head to its last one
    // The longest time without a byte, within a request and between two requests.
    Duration idleTime = std::chrono::seconds(60);

    bool operator==(const MessageLimits &) const = default;
};

// Bounds of all connections of a process together.
struct ReceiveLimits
{
    // Bound of the bytes held of requests that are not complete yet.
    std::size_t totalBytes = 32U << 20;
    std::size_t maxConnections = 20000;

    bool operator==(const ReceiveLimits &) const = default;
};

// How far a client has come with its current request.
enum class ReceiveState {
    unused, // connected; nothing was received yet
    head,
    body,
    handling, // the request is complete, its response is not
    idle, // the last response is complete, and no further request has begun
};

// Why a request is not read to its end, or its connection is closed.
enum class ReceiveFault {
    none,
    malformed,
    headTooLarge,
    bodyTooLarge,
    headTimeout,
    bodyTimeout,
    idleTimeout,
    memoryShort,
    connectionsShort,
    clientLeft, // before its request was handled
};

// Returns the name used in metrics and logs.
std::string_view receiveFaultName(ReceiveFault fault);

// Returns the HTTP status of the response to a request that ends with the fault.
int statusOf(ReceiveFault fault);

// One connection as the process sees it at a moment.
struct ReceiveSample
{
    std::uint64_t id = 0;
    std::uint16_t port = 0; // on which it was accepted
    ReceiveState state = ReceiveState::unused;
    std::size_t heldBytes = 0; // of the request that is being received
    Duration silence{}; // since the last byte, or since the last response

    bool operator==(const ReceiveSample &) const = default;
};

// Returns which time limit a connection exceeds: the time since its head began, or its silence.
ReceiveFault findTimeout(ReceiveState state, Duration sinceHeadBegan, Duration silence,
                         const MessageLimits &limits);

// Returns the connections to close so that all requests that are being received fit the bound
// again with some room to spare; empty if they fit. The order is by bytes held times silence: a
// client that stops short holds its bytes for nothing, and neither who came last nor bytes alone
// show that. The bound is stretched to one request and half as much for others, so that a single
// request is received whatever the bound.
std::vector<std::uint64_t> chooseForMemory(std::span<const ReceiveSample> samples,
                                           std::size_t totalBytes);

// Returns up to `count` connections to close so that others can be accepted. They are taken from
// the port that has most connections, the longest silence first; silence within a request, or
// before the first one, weighs more, as others reuse idle connections. Never those whose request is
// being handled.
std::vector<std::uint64_t> chooseForConnections(std::span<const ReceiveSample> samples,
                                                std::size_t count);

} // namespace ibisnotch
