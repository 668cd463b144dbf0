// What stands between a connection's socket and RESTinio. RESTinio collects a request without
// counting it, keeps a record of each chunk and gives a whole request one time limit, so requests
// are received here and reach it when they are complete, without their bodies.
#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <asio/any_io_executor.hpp>
#include <asio/associated_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "receive-accounts.h"
#include "request-receiver.h"

namespace ibisnotch {

// The parts of a complete request that RESTinio doesn't see, and the count of what it holds.
struct ReceivedRequest
{
    Body body;
    std::shared_ptr<const HeldBytes> head;
    TimePoint beganAt{}; // as in HttpRequest
    TimePoint arrivedAt{};
};

// One connection. Its functions run on the connection's executor, unless they say otherwise.
class ReceiveGuard : public std::enable_shared_from_this<ReceiveGuard>
{
public:
    using ReadHandler = std::function<void(const asio::error_code &, std::size_t)>;

    ReceiveGuard(ReceiveAccounts &accounts, std::uint64_t id, ServedPort port,
                 asio::ip::tcp::socket &socket, asio::any_io_executor executor);
    ~ReceiveGuard();
    ReceiveGuard(const ReceiveGuard &) = delete;
    ReceiveGuard &operator=(const ReceiveGuard &) = delete;

    // Passes the head of the next complete request to the handler, in pieces as large as the
    // buffer. An error means the end of the connection.
    void read(asio::mutable_buffer buffer, ReadHandler handler);
    // The socket was closed or is about to be destroyed.
    void onSocketClosed();

    // Returns the guard whose request RESTinio is handling on this thread; null if there is none.
    static std::shared_ptr<ReceiveGuard> current();
    ReceivedRequest takeRequest();

    // May be called from any thread.
    void onResponseEnd();
    void requestClose(ReceiveFault fault);
    ReceiveSample sample(TimePoint now) const;
    ReceiveFault findTimeout(TimePoint now) const;
    bool isClosing() const { return m_isClosing; }

    // Drops the handler, which refers to the connection. Called when no thread runs the loop.
    void release() { m_handler = {}; }

    std::uint64_t id() const { return m_id; }
    const ServedPort &servedPort() const { return m_servedPort; }
    const asio::ip::tcp::endpoint &remote() const { return m_remote; }

private:
    // Goes on with what is due: handing over, parsing or waiting for bytes.
    void proceed();
    void handOverOrWait();
    template <typename Task> void endOnException(const Task &task);
    void waitForBytes();
    // Returns whether as much was read as may be kept unparsed.
    bool hasReadAhead() const;
    // Looks for the end of the connection from time to time, while bytes before it are not read.
    void watchForEnd();
    // Returns whether the client has closed its connection, or its sending side of it, or reset it,
    // also if bytes that it sent before are not read yet.
    bool hasClientLeft() const;
    void onReadable(const asio::error_code &error);
    void receive();
    void parse(std::string_view bytes, TimePoint arrivedAt);
    void handOver(TimePoint arrivedAt);
    void deliver();
    void complete(const asio::error_code &error, std::size_t size);
    void closeFor(ReceiveFault fault);
    std::string responseTo(ReceiveFault fault) const;
    void dropRequest();
    void setReceiving(std::size_t size);
    void touch() { m_lastActivity = m_accounts.now(); }
    MessageLimits limits() const;

    ReceiveAccounts &m_accounts;
    const std::uint64_t m_id;
    const ServedPort m_servedPort;
    asio::ip::tcp::socket *m_socket; // null once it was closed
    const asio::any_io_executor m_executor;
    const std::uint16_t m_port;
    const asio::ip::tcp::endpoint m_remote;

    std::atomic<ReceiveState> m_state = ReceiveState::unused;
    std::atomic<std::size_t> m_receiving = 0; // bytes held of the request that is being received
    std::atomic<TimePoint> m_lastActivity;
    std::atomic<TimePoint> m_headBegan;
    TimePoint m_beganAt{}; // when the first byte arrived of the request that is being received
    TimePoint m_unparsedAt{}; // of the first of the bytes that follow a request
    std::atomic<bool> m_isClosing = false; // requestClose() is not done yet
    std::atomic<std::size_t> m_closingBytes = 0; // what was held when it was called

    RequestReceiver m_receiver;
    std::string m_unparsed; // bytes that follow a complete request
    HeldBytes m_heldUnparsed;
    std::string m_head; // to be handed over
    std::size_t m_headDelivered = 0;
    ReceivedRequest m_request;
    asio::mutable_buffer m_buffer;
    ReadHandler m_handler;
    asio::steady_timer m_endTimer;
    bool m_hasBegun = false;
    bool m_isWaiting = false;
    bool m_isWatching = false; // m_endTimer is set
};

// The socket of RESTinio's connections. What it doesn't define is the socket's own.
class GuardedSocket : public asio::ip::tcp::socket
{
public:
    explicit GuardedSocket(asio::io_context &io) : asio::ip::tcp::socket(io) { }
    ~GuardedSocket() { endGuard(); }
    GuardedSocket(GuardedSocket &&) = default;
    GuardedSocket &operator=(GuardedSocket &&) = delete;

    template <typename Handler>
    void async_read_some(const asio::mutable_buffer &buffer, Handler &&handler) // NOLINT
    {
        if (!m_guard)
            m_guard = openGuard(asio::get_associated_executor(handler, get_executor()));
        // The handler may only be moved.
        auto shared = std::make_shared<std::decay_t<Handler>>(std::forward<Handler>(handler));
        m_guard->read(buffer, [shared](const asio::error_code &error, std::size_t size) {
            (*shared)(error, size);
        });
    }

    void close() // NOLINT: hides Asio's
    {
        endGuard();
        asio::ip::tcp::socket::close();
    }

private:
    std::shared_ptr<ReceiveGuard> openGuard(const asio::any_io_executor &executor);
    void endGuard();

    std::shared_ptr<ReceiveGuard> m_guard;
};

} // namespace ibisnotch
