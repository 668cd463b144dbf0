#include "accept-watch.h"

#include <poll.h>

#include <utility>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr auto checkInterval = std::chrono::milliseconds(500);

} // namespace

AcceptWatch::AcceptWatch(asio::io_context &io, std::string portName, Reopen reopen)
    : m_portName(std::move(portName)), m_reopen(std::move(reopen)), m_timer(io)
{
}

void AcceptWatch::schedule()
{
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error || m_isStopped)
            return;
        check();
        schedule();
    });
}

void AcceptWatch::check()
{
    const std::uint64_t accepted = m_accepted;
    const bool isWaiting = hasWaitingConnection();
    const bool isStuck = isWaiting && m_wasWaiting && accepted == m_acceptedBefore;
    m_wasWaiting = isWaiting;
    m_acceptedBefore = accepted;
    if (isStuck || !m_isOpen)
        reopen();
}

void AcceptWatch::closePort()
{
    if (m_acceptor == nullptr)
        return;
    asio::error_code error;
    m_acceptor->close(error);
    if (error)
        logLine(LogPart::entry, LogLevel::error, "Port could not be closed.",
                {{"port", m_portName}, {"error", error.message()}});
}

bool AcceptWatch::hasWaitingConnection() const
{
    if (!m_isOpen || m_acceptor == nullptr)
        return false;
    pollfd waiting{m_acceptor->native_handle(), POLLIN, 0};
    return ::poll(&waiting, 1, 0) > 0;
}

void AcceptWatch::reopen()
{
    if (m_isOpen)
        logLine(LogPart::entry, LogLevel::error, "Port stopped accepting, opened anew.",
                {{"port", m_portName}});
    m_isOpen = false;
    m_wasWaiting = false;
    m_reopen([this] { m_isOpen = true; });
}

} // namespace ibisnotch
