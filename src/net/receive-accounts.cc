#include "receive-accounts.h"

#include <algorithm>
#include <array>

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

#include "ibisnotch/log.h"
#include "receive-guard.h"

namespace ibisnotch {

namespace {

constexpr auto checkInterval = std::chrono::milliseconds(500);
constexpr auto lagInterval = std::chrono::milliseconds(100);
// A loop that is further behind is logged.
constexpr auto loggedLag = std::chrono::milliseconds(300);
// Time for which a client whose request isn't read to its end may still send, and read the
// response. A connection that is closed with unread bytes is reset, which may cost the response.
constexpr auto closingTime = std::chrono::seconds(2);
// What such a client may send; reading it costs processor time.
constexpr std::size_t maxDroppedBytes = 1U << 20;
// Share of the connections that may be in that state beside the others.
constexpr std::size_t closingShare = 16;

const Clock &clockOf(const ReceiveSettings &settings)
{
    static const SystemClock systemClock;
    return settings.clock == nullptr ? systemClock : *settings.clock;
}

// A connection that gets its last response and is then read, and what it sends dropped, until its
// client closes it or the time is over.
class ClosingConnection : public std::enable_shared_from_this<ClosingConnection>
{
public:
    ClosingConnection(asio::io_context &io, asio::ip::tcp::socket socket, std::string response,
                      std::shared_ptr<std::atomic<std::size_t>> count)
        : m_strand(asio::make_strand(io)), m_timer(m_strand), m_socket(std::move(socket)),
          m_response(std::move(response)), m_count(std::move(count))
    {
        ++*m_count;
    }
    ~ClosingConnection() { --*m_count; }
    ClosingConnection(const ClosingConnection &) = delete;
    ClosingConnection &operator=(const ClosingConnection &) = delete;

    void start()
    {
        m_timer.expires_after(closingTime);
        m_timer.async_wait(
            asio::bind_executor(m_strand, [self = shared_from_this()](const asio::error_code &) {
                asio::error_code ignored;
                self->m_socket.close(ignored);
            }));
        asio::async_write(
            m_socket, asio::buffer(m_response),
            asio::bind_executor(
                m_strand, [self = shared_from_this()](const auto &error, std::size_t) {
                    asio::error_code ignored;
                    self->m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                    self->onRead(error, 0);
                }));
    }

private:
    void onRead(const asio::error_code &error, std::size_t size)
    {
        m_dropped += size;
        if (error || m_dropped > maxDroppedBytes) {
            m_timer.cancel();
            return;
        }
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            asio::bind_executor(m_strand,
                                [self = shared_from_this()](const auto &next, std::size_t n) {
                                    self->onRead(next, n);
                                }));
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    asio::ip::tcp::socket m_socket;
    std::string m_response;
    std::array<char, 4096> m_buffer{};
    std::size_t m_dropped = 0;
    std::shared_ptr<std::atomic<std::size_t>> m_count;
};

} // namespace

ReceiveAccounts::ReceiveAccounts(asio::io_context &io, const ReceiveSettings &settings)
    : m_io(io), m_limits(settings.limits), m_clock(clockOf(settings)),
      m_observer(settings.observer), m_heldBytes(settings.heldBytes),
      m_maxClosing(settings.limits.maxConnections / closingShare + 1),
      m_closing(std::make_shared<std::atomic<std::size_t>>(0)), m_timer(std::in_place, io),
      m_lagTimer(std::in_place, io), m_lag(lagInterval, m_clock.now())
{
    asio::use_service<ReceiveService>(io).accounts = this;
    scheduleCheck();
}

void ReceiveAccounts::addPort(std::uint16_t number, ServedPort port)
{
    const std::lock_guard lock(m_mutex);
    m_ports[number] = std::move(port);
}

std::shared_ptr<ReceiveGuard> ReceiveAccounts::open(asio::ip::tcp::socket &socket,
                                                    const asio::any_io_executor &executor)
{
    std::shared_ptr<ReceiveGuard> guard;
    bool isTooMany = false;
    {
        const std::lock_guard lock(m_mutex);
        const ServedPort &port = m_ports.at(socket.local_endpoint().port());
        guard = std::make_shared<ReceiveGuard>(*this, ++m_lastId, port, socket, executor);
        m_guards.emplace(guard->id(), guard);
        isTooMany = m_guards.size() > m_limits.maxConnections + m_closingConnections;
    }
    if (isTooMany)
        makeRoomForConnections();
    return guard;
}

void ReceiveAccounts::remove(const ReceiveGuard &guard)
{
    const std::lock_guard lock(m_mutex);
    m_guards.erase(guard.id());
}

void ReceiveAccounts::changeReceiving(std::size_t before, std::size_t after)
{
    for (ByteCount *count : {&m_receiving, m_heldBytes.get()}) {
        if (count == nullptr)
            continue;
        *count += after;
        *count -= before;
    }
    if (after > before && m_receiving > m_limits.totalBytes + m_closingBytes)
        makeRoom();
}

void ReceiveAccounts::addClosing(std::size_t bytes)
{
    m_closingBytes += bytes;
    ++m_closingConnections;
}

void ReceiveAccounts::removeClosing(std::size_t bytes)
{
    m_closingBytes -= bytes;
    --m_closingConnections;
}

std::vector<std::shared_ptr<ReceiveGuard>> ReceiveAccounts::guards() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<ReceiveGuard>> result;
    result.reserve(m_guards.size());
    for (const auto &[id, weak] : m_guards) {
        if (auto guard = weak.lock())
            result.push_back(std::move(guard));
    }
    return result;
}

namespace {

std::vector<ReceiveSample> samplesOf(const std::vector<std::shared_ptr<ReceiveGuard>> &guards,
                                     TimePoint now)
{
    std::vector<ReceiveSample> samples;
    samples.reserve(guards.size());
    for (const auto &guard : guards) {
        if (!guard->isClosing())
            samples.push_back(guard->sample(now));
    }
    return samples;
}

// The guards are in the order of their ids.
void requestClose(const std::vector<std::shared_ptr<ReceiveGuard>> &guards,
                  const std::vector<std::uint64_t> &ids, ReceiveFault fault)
{
    for (const std::uint64_t id : ids) {
        const auto found = std::lower_bound(
            guards.begin(), guards.end(), id,
            [](const auto &guard, std::uint64_t wanted) { return guard->id() < wanted; });
        (*found)->requestClose(fault);
    }
}

} // namespace

void ReceiveAccounts::makeRoom()
{
    const auto all = guards();
    requestClose(all, chooseForMemory(samplesOf(all, now()), m_limits.totalBytes),
                 ReceiveFault::memoryShort);
}

void ReceiveAccounts::makeRoomForConnections()
{
    const auto all = guards();
    const std::vector<ReceiveSample> samples = samplesOf(all, now());
    if (samples.size() <= m_limits.maxConnections)
        return;
    requestClose(all, chooseForConnections(samples, samples.size() - m_limits.maxConnections),
                 ReceiveFault::connectionsShort);
}

void ReceiveAccounts::report(const ReceiveGuard &guard, ReceiveFault fault, std::size_t heldBytes)
{
    if (m_observer == nullptr)
        return;
    const ReceiveSample sample = guard.sample(now());
    m_observer->onConnectionClosed({guard.servedPort().name, guard.remote().address().to_string(),
                                    guard.remote().port(), fault, heldBytes, m_receiving,
                                    sample.silence});
}

void ReceiveAccounts::closeAfter(asio::ip::tcp::socket socket, std::string response)
{
    if (*m_closing >= m_maxClosing) {
        asio::error_code ignored;
        socket.write_some(asio::buffer(response), ignored);
        return;
    }
    std::make_shared<ClosingConnection>(m_io, std::move(socket), std::move(response), m_closing)
        ->start();
}

void ReceiveAccounts::scheduleCheck()
{
    m_timer->expires_after(checkInterval);
    m_timer->async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        checkTimes();
        scheduleCheck();
    });
}

Duration ReceiveAccounts::unreadTime()
{
    const TimePoint time = now();
    m_hasRead = true;
    if (!m_isTicking.exchange(true)) {
        m_lag.restart(time);
        asio::post(m_io, [this] { scheduleTick(); });
    }
    return m_lag.at(time);
}

void ReceiveAccounts::scheduleTick()
{
    m_lagTimer->expires_after(lagInterval);
    m_lagTimer->async_wait([this](const asio::error_code &error) {
        if (!error)
            tick();
    });
}

// While nothing is read, the timer would only wake the process.
void ReceiveAccounts::tick()
{
    const Duration late = m_lag.onTick(now());
    if (late >= loggedLag)
        logLine(LogPart::entry, LogLevel::warn, "Requests wait unread.",
                {{"loopBehindMs", millisecondsText(late)},
                 {"connections", std::to_string(guards().size())}});
    // Behind what was ready together with this timer.
    if (late.count() > 0)
        asio::post(m_io, [this] { m_lag.onTurnEnd(); });
    if (m_hasRead.exchange(false))
        scheduleTick();
    else
        m_isTicking = false;
}

void ReceiveAccounts::checkTimes()
{
    const TimePoint time = now();
    const auto all = guards();
    for (const auto &guard : all) {
        const ReceiveFault fault
            = guard->isClosing() ? ReceiveFault::none : guard->findTimeout(time);
        if (fault != ReceiveFault::none)
            guard->requestClose(fault);
    }
    if (m_observer != nullptr)
        m_observer->onReceiving(m_receiving, all.size());
}

void ReceiveAccounts::stop()
{
    m_timer.reset();
    m_lagTimer.reset();
    for (const auto &guard : guards())
        guard->release();
}

} // namespace ibisnotch
