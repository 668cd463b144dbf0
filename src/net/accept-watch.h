// Notices when a server's port accepts no connections any more, and has it opened anew.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace ibisnotch {

// RESTinio doesn't accept again once an accept has failed, as it does while the process has no
// descriptor left. Connections that wait at two checks in a row while none is accepted show that.
// Must be destroyed before the loop.
class AcceptWatch
{
public:
    // Opens the port anew; calls `opened` if that works. Called again at the next check if not.
    using Reopen = std::function<void(std::function<void()> opened)>;

    AcceptWatch(asio::io_context &io, std::string portName, Reopen reopen);

    // Sets the acceptor of the port each time that it was opened.
    void setAcceptor(asio::ip::tcp::acceptor &acceptor) { m_acceptor = &acceptor; }
    // May be called from any thread.
    void onAccepted() { ++m_accepted; }
    void start() { schedule(); }
    void stop() { m_isStopped = true; }
    bool isStopped() const { return m_isStopped; }
    // Closes the port and the connections that still wait there. Called when no thread runs the
    // loop.
    void closePort();

private:
    void schedule();
    void check();
    bool hasWaitingConnection() const;
    void reopen();

    const std::string m_portName;
    const Reopen m_reopen;
    asio::steady_timer m_timer;
    asio::ip::tcp::acceptor *m_acceptor = nullptr;
    std::atomic<std::uint64_t> m_accepted = 0;
    std::atomic<bool> m_isOpen = true;
    std::atomic<bool> m_isStopped = false;
    std::uint64_t m_acceptedBefore = 0; // at the last check
    bool m_wasWaiting = false; // at the last check
};

} // namespace ibisnotch
