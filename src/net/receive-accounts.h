// All connections to the ports of a process: what is being received on them, and which of them
// are closed when that is too much, takes too long or leaves no room for others.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <asio/any_io_executor.hpp>
#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "ibisnotch/byte-count.h"
#include "ibisnotch/clock.h"
#include "ibisnotch/http-server.h"
#include "ibisnotch/loop-lag.h"
#include "ibisnotch/receive-limits.h"

namespace ibisnotch {

class ReceiveGuard;

struct ServedPort
{
    std::string name;
    RequestHandler *handler = nullptr;
    MessageLimits limits; // where the handler has none of its own
};

// Thread-safe.
class ReceiveAccounts
{
public:
    ReceiveAccounts(asio::io_context &io, const ReceiveSettings &settings);
    ReceiveAccounts(const ReceiveAccounts &) = delete;
    ReceiveAccounts &operator=(const ReceiveAccounts &) = delete;

    // Must be called before the port accepts connections.
    void addPort(std::uint16_t number, ServedPort port);

    // Opens the account of a new connection. Closes others if there are too many.
    std::shared_ptr<ReceiveGuard> open(asio::ip::tcp::socket &socket,
                                       const asio::any_io_executor &executor);
    void remove(const ReceiveGuard &guard);

    // Changes what is held of requests that are being received.
    void changeReceiving(std::size_t before, std::size_t after);
    // Count a connection that is about to be closed, and what its request holds.
    void addClosing(std::size_t bytes);
    void removeClosing(std::size_t bytes);
    // Reports a connection that was closed for a fault, with the response to it if it gets one.
    void report(const ReceiveGuard &guard, ReceiveFault fault, std::size_t heldBytes);
    // Sends the last response of a connection, and closes it once its client has had time to read.
    void closeAfter(asio::ip::tcp::socket socket, std::string response);

    // Drops what the connections wait for. Called when no thread runs the loop any more.
    void stop();

    TimePoint now() const { return m_clock.now(); }
    // Returns how long bytes that are read now may have waited unread.
    Duration unreadTime();
    const std::shared_ptr<ByteCount> &heldBytes() const { return m_heldBytes; }
    std::size_t maxConnections() const { return m_limits.maxConnections; }

private:
    using Guards = std::map<std::uint64_t, std::weak_ptr<ReceiveGuard>>;

    // Returns the connections in the order of their ids.
    std::vector<std::shared_ptr<ReceiveGuard>> guards() const;
    void makeRoom();
    void makeRoomForConnections();
    void scheduleCheck();
    void checkTimes();
    void scheduleTick();
    void tick();

    asio::io_context &m_io;
    const ReceiveLimits m_limits;
    const Clock &m_clock;
    ReceiveObserver *const m_observer;
    const std::shared_ptr<ByteCount> m_heldBytes; // null if not counted
    const std::size_t m_maxClosing;
    std::shared_ptr<std::atomic<std::size_t>> m_closing; // by closeAfter()
    std::atomic<std::size_t> m_receiving = 0;
    std::atomic<std::size_t> m_closingBytes = 0;
    std::atomic<std::size_t> m_closingConnections = 0;
    // Empty once the loop has stopped, as this object outlives it.
    std::optional<asio::steady_timer> m_timer;
    std::optional<asio::steady_timer> m_lagTimer;
    LoopLag m_lag;
    std::atomic<bool> m_isTicking = false; // m_lagTimer is set
    std::atomic<bool> m_hasRead = false; // since the last tick
    mutable std::mutex m_mutex; // guards all below
    std::map<std::uint16_t, ServedPort> m_ports;
    Guards m_guards;
    std::uint64_t m_lastId = 0;
};

// Makes the accounts known to the sockets of a loop.
class ReceiveService final : public asio::execution_context::service
{
public:
    using key_type = ReceiveService;
    static inline asio::execution_context::id id; // NOLINT: Asio's name

    explicit ReceiveService(asio::execution_context &context)
        : asio::execution_context::service(context)
    {
    }
    void shutdown() override { } // NOLINT: Asio's name

    ReceiveAccounts *accounts = nullptr;
};

} // namespace ibisnotch
