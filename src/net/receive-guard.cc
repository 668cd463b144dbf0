#include "receive-guard.h"

#include <algorithm>

#include <poll.h>

#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// Read from a socket at once.
constexpr std::size_t readBytes = 16 * 1024;
// While a response is in progress, its connection is read on, as that shows when its client leaves.
// What it sends meanwhile is not parsed, and only so much of it is taken.
constexpr std::size_t readAheadBytes = 4 * 1024;
// Between two looks for the end of a connection that isn't read on.
constexpr auto endCheckInterval = std::chrono::milliseconds(100);
// What a head takes up to this size belongs to the fixed cost of a connection.
constexpr std::size_t ordinaryHeadCost = 4 * 1024;

thread_local ReceiveGuard *currentGuard = nullptr;

std::size_t countedHeadCost(std::size_t cost)
{
    return cost - std::min(cost, ordinaryHeadCost);
}

// A body with the count of its bytes, which ends with it.
struct CountedText
{
    CountedText(std::string body, const std::shared_ptr<ByteCount> &count)
        : text(std::move(body)), held(count, text.size())
    {
    }
    std::string text;
    HeldBytes held;
};

bool isAnswered(ReceiveState state)
{
    return state == ReceiveState::head || state == ReceiveState::body;
}

} // namespace

ReceiveGuard::ReceiveGuard(ReceiveAccounts &accounts, std::uint64_t id, ServedPort port,
                           asio::ip::tcp::socket &socket, asio::any_io_executor executor)
    : m_accounts(accounts), m_id(id), m_servedPort(std::move(port)), m_socket(&socket),
      m_executor(std::move(executor)), m_port(socket.local_endpoint().port()),
      m_remote(socket.remote_endpoint()), m_lastActivity(accounts.now()),
      m_headBegan(accounts.now()), m_heldUnparsed(accounts.heldBytes()), m_endTimer(m_executor)
{
    socket.non_blocking(true);
}

ReceiveGuard::~ReceiveGuard()
{
    setReceiving(0);
    m_accounts.remove(*this);
}

MessageLimits ReceiveGuard::limits() const
{
    return m_servedPort.handler->messageLimits().value_or(m_servedPort.limits);
}

std::shared_ptr<ReceiveGuard> ReceiveGuard::current()
{
    return currentGuard == nullptr ? nullptr : currentGuard->shared_from_this();
}

ReceivedRequest ReceiveGuard::takeRequest()
{
    return std::exchange(m_request, {});
}

void ReceiveGuard::read(asio::mutable_buffer buffer, ReadHandler handler)
{
    m_buffer = buffer;
    m_handler = std::move(handler);
    // The handler must not be called before this returns, and the first call isn't made on the
    // connection's executor.
    const bool mustWait = m_hasBegun && m_head.empty() && m_unparsed.empty();
    m_hasBegun = true;
    if (mustWait)
        return waitForBytes();
    asio::post(m_executor, [self = shared_from_this()] { self->proceed(); });
}

void ReceiveGuard::proceed()
{
    endOnException([this] { handOverOrWait(); });
}

void ReceiveGuard::handOverOrWait()
{
    if (!m_handler || m_socket == nullptr)
        return;
    if (!m_head.empty())
        return deliver();
    if (m_state == ReceiveState::handling || m_unparsed.empty())
        return waitForBytes();
    const std::string bytes = std::exchange(m_unparsed, {});
    m_heldUnparsed.set(0);
    parse(bytes, m_unparsedAt);
}

void ReceiveGuard::waitForBytes()
{
    if (m_isWaiting || m_socket == nullptr)
        return;
    if (hasReadAhead())
        return watchForEnd();
    m_isWaiting = true;
    m_socket->async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_executor(m_executor, [self = shared_from_this()](const auto &error) {
            self->m_isWaiting = false;
            self->onReadable(error);
        }));
}

void ReceiveGuard::onReadable(const asio::error_code &error)
{
    if (!m_handler)
        return;
    if (error || m_socket == nullptr)
        return complete(error ? error : asio::error::operation_aborted, 0);
    if (hasReadAhead())
        return watchForEnd();
    endOnException([this] { receive(); });
}

void ReceiveGuard::watchForEnd()
{
    if (std::exchange(m_isWatching, true))
        return;
    m_endTimer.expires_after(endCheckInterval);
    m_endTimer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isWatching = false;
        if (error || !self->m_handler || self->m_socket == nullptr)
            return;
        if (self->hasClientLeft())
            return self->complete(asio::error::eof, 0);
        if (self->m_state == ReceiveState::handling)
            self->waitForBytes();
    });
}

bool ReceiveGuard::hasClientLeft() const
{
    pollfd connection{m_socket->native_handle(), POLLRDHUP, 0};
    return poll(&connection, 1, 0) > 0;
}

bool ReceiveGuard::hasReadAhead() const
{
    return m_unparsed.size() >= readAheadBytes;
}

// An exception, as for want of memory, ends the connection and not the process.
template <typename Task> void ReceiveGuard::endOnException(const Task &task)
{
    try {
        task();
    } catch (const std::exception &error) {
        logLine(LogPart::entry, LogLevel::error, "Request could not be received.",
                {{"port", m_servedPort.name}, {"error", error.what()}});
        dropRequest();
        if (m_handler)
            complete(asio::error::connection_aborted, 0);
    }
}

void ReceiveGuard::receive()
{
    static thread_local std::array<char, readBytes> buffer;
    asio::error_code error;
    const bool isAhead = m_state == ReceiveState::handling;
    const std::size_t most = isAhead ? readAheadBytes - m_unparsed.size() : readBytes;
    const std::size_t size = m_socket->read_some(asio::buffer(buffer, most), error);
    if (error == asio::error::would_block)
        return waitForBytes();
    if (error)
        return complete(error, 0);
    touch();
    const TimePoint arrivedAt = m_accounts.now() - m_accounts.unreadTime();
    if (!isAhead)
        return parse({buffer.data(), size}, arrivedAt);
    if (m_unparsed.empty())
        m_unparsedAt = arrivedAt;
    m_unparsed.append(buffer.data(), size);
    m_heldUnparsed.set(m_unparsed.size());
    waitForBytes();
}

void ReceiveGuard::parse(std::string_view bytes, TimePoint arrivedAt)
{
    if (!m_receiver.hasBegun()) {
        m_receiver.begin(limits());
        m_headBegan = m_accounts.now();
        m_beganAt = arrivedAt;
    }
    const std::size_t taken = m_receiver.add(bytes);
    m_state = m_receiver.isHeadComplete() ? ReceiveState::body : ReceiveState::head;
    if (m_receiver.fault() != ReceiveFault::none)
        return closeFor(m_receiver.fault());
    if (m_receiver.isComplete()) {
        m_unparsed.assign(bytes.substr(taken));
        m_unparsedAt = arrivedAt;
        m_heldUnparsed.set(m_unparsed.size());
        return handOver(arrivedAt);
    }
    setReceiving(countedHeadCost(m_receiver.headCost()) + m_receiver.bodyBytes());
    waitForBytes();
}

void ReceiveGuard::handOver(TimePoint arrivedAt)
{
    // The end may lie right behind the request if the process stood still or had too much to do.
    if (hasClientLeft())
        return closeFor(ReceiveFault::clientLeft);
    const auto &count = m_accounts.heldBytes();
    m_request.head = std::make_shared<HeldBytes>(count, countedHeadCost(m_receiver.headCost()));
    if (m_receiver.bodyBytes() > 0) {
        const auto body = std::make_shared<CountedText>(m_receiver.takeBody(), count);
        m_request.body = Body(std::shared_ptr<const std::string>(body, &body->text));
    }
    m_request.beganAt = m_beganAt;
    m_request.arrivedAt = arrivedAt;
    m_head = m_receiver.takeHead();
    m_headDelivered = 0;
    m_receiver.begin({});
    m_state = ReceiveState::handling;
    setReceiving(0);
    deliver();
}

void ReceiveGuard::deliver()
{
    const std::size_t size = asio::buffer_copy(m_buffer, asio::buffer(m_head) + m_headDelivered);
    m_headDelivered += size;
    if (m_headDelivered == m_head.size())
        std::string().swap(m_head); // an assignment would keep its memory
    complete({}, size);
}

void ReceiveGuard::complete(const asio::error_code &error, std::size_t size)
{
    const ReadHandler handler = std::exchange(m_handler, {});
    ReceiveGuard *const before = std::exchange(currentGuard, this);
    handler(error, size);
    currentGuard = before;
}

void ReceiveGuard::onResponseEnd()
{
    asio::post(m_executor, [self = shared_from_this()] {
        if (self->m_state != ReceiveState::handling)
            return;
        self->m_state = ReceiveState::idle;
        self->touch();
        self->proceed();
    });
}

void ReceiveGuard::requestClose(ReceiveFault fault)
{
    if (m_isClosing.exchange(true))
        return;
    m_closingBytes = m_receiving.load();
    m_accounts.addClosing(m_closingBytes);
    asio::post(m_executor, [self = shared_from_this(), fault] {
        self->endOnException([&] { self->closeFor(fault); });
    });
}

void ReceiveGuard::closeFor(ReceiveFault fault)
{
    if (m_isClosing.exchange(false))
        m_accounts.removeClosing(m_closingBytes);
    // A request that became complete in the meantime is served.
    if (!m_handler || m_socket == nullptr || m_state == ReceiveState::handling)
        return;
    m_accounts.report(*this, fault, m_receiving);
    if (isAnswered(m_state) && fault != ReceiveFault::clientLeft) {
        const std::string response = responseTo(fault);
        asio::ip::tcp::socket socket(std::move(*m_socket));
        asio::error_code ignored;
        socket.cancel(ignored);
        m_accounts.closeAfter(std::move(socket), response);
    }
    m_socket = nullptr;
    m_accounts.remove(*this);
    dropRequest();
    // RESTinio closes the connection as if its client had.
    complete(asio::error::eof, 0);
}

std::string ReceiveGuard::responseTo(ReceiveFault fault) const
{
    const HttpResponse response = m_servedPort.handler->refuse(fault, m_receiver.fieldsSoFar());
    std::string text = fmt::format("HTTP/1.1 {} Refused\r\n", response.status);
    for (const auto &[name, value] : response.headers.fields())
        text += fmt::format("{}: {}\r\n", name, value);
    text += fmt::format("Connection: close\r\nContent-Length: {}\r\n\r\n", response.body.size());
    return m_receiver.isHeadRequest() ? text : text + response.body;
}

void ReceiveGuard::dropRequest()
{
    m_receiver.begin({});
    std::string().swap(m_unparsed);
    m_heldUnparsed.set(0);
    setReceiving(0);
}

void ReceiveGuard::onSocketClosed()
{
    m_socket = nullptr;
    m_accounts.remove(*this);
    if (!m_handler)
        return;
    asio::post(m_executor, [self = shared_from_this()] {
        self->dropRequest();
        if (self->m_handler)
            self->complete(asio::error::operation_aborted, 0);
    });
}

void ReceiveGuard::setReceiving(std::size_t size)
{
    const std::size_t before = m_receiving.exchange(size);
    if (before != size)
        m_accounts.changeReceiving(before, size);
}

ReceiveSample ReceiveGuard::sample(TimePoint now) const
{
    return {m_id, m_port, m_state, m_receiving, now - m_lastActivity.load()};
}

ReceiveFault ReceiveGuard::findTimeout(TimePoint now) const
{
    return ibisnotch::findTimeout(m_state, now - m_headBegan.load(), now - m_lastActivity.load(),
                                  limits());
}

std::shared_ptr<ReceiveGuard> GuardedSocket::openGuard(const asio::any_io_executor &executor)
{
    auto &service = asio::use_service<ReceiveService>(get_executor().context());
    return service.accounts->open(*this, executor);
}

void GuardedSocket::endGuard()
{
    if (const auto guard = std::exchange(m_guard, nullptr))
        guard->onSocketClosed();
}

} // namespace ibisnotch
