#include "ibisnotch/peer-link.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <ctime>
#include <deque>
#include <sstream>
#include <thread>

#include <pthread.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include "bounded-archive.h"
#include "ibisnotch/hash.h"
#include "peer-frames.h"

namespace ibisnotch {

namespace {

constexpr std::size_t maxDatagramBytes = 16384;
// Bounds of the requests that are served at a time, and of the replies to them that are not sent
// yet. The oldest give way.
constexpr std::size_t maxServedRequests = 128;
constexpr std::size_t maxUnsentBytes = 16U << 20;
// Accepting fails at once, again and again, while the process has no descriptor left.
constexpr auto acceptRetryTime = std::chrono::milliseconds(100);

constexpr std::uint16_t protocolWithRangeUpdates = 2;
constexpr std::uint16_t protocolWithRangePositions = 3;
constexpr std::uint16_t protocolWithCustomerUsage = 4;
constexpr std::uint16_t protocolWithRequestLimits = 5;
constexpr std::uint16_t protocolWithEras = 6;
constexpr std::uint16_t protocolWithDemand = 7;

// Reads or writes a list of revisions without eras. Earlier instances have it at this place, and
// must not get revisions that they can't compare with their own.
template <typename Element, typename Archive> void serializeWithoutEras(Archive &archive)
{
    std::vector<Element> none;
    archive(none);
}

template <typename Archive> void serializeFields(Archive &archive, GossipMessage &message)
{
    archive(message.protocol, message.probe, message.configVersion, message.loads,
            message.regionLoads, message.crashMarks);
    if (message.protocol >= protocolWithRangeUpdates)
        archive(message.silenceUpdates);
    if (message.protocol >= protocolWithRangeUpdates)
        serializeWithoutEras<RangeUpdate>(archive);
    if (message.protocol >= protocolWithRangePositions) {
        serializeWithoutEras<RangePosition>(archive);
        archive(message.coldUpdates);
    }
    if (message.protocol >= protocolWithCustomerUsage)
        archive(message.hasCustomerUsage, message.customerUsage, message.regionUsage);
    if (message.protocol >= protocolWithRequestLimits)
        archive(message.limitUpdates);
    if (message.protocol >= protocolWithEras)
        archive(message.rangeUpdates, message.rangePositions);
    if (message.protocol >= protocolWithDemand)
        archive(message.hasDemand, message.demands, message.regionDemands, message.serverSpeeds,
                message.hasCustomerDemand, message.customerDemand, message.customerTotals);
}

template <typename Archive> void serializeFields(Archive &archive, PeerRequest &request)
{
    archive(request.protocol, request.knownVersion, request.wantsMembers);
    if (request.protocol >= protocolWithRangePositions)
        serializeWithoutEras<RangeRequest>(archive);
    if (request.protocol >= protocolWithEras)
        archive(request.rangeRequests);
}

template <typename Archive> void serializeFields(Archive &archive, PeerReply &reply)
{
    archive(reply.protocol, reply.delta, reply.members);
    if (reply.protocol >= protocolWithRangePositions)
        serializeWithoutEras<RangeReply>(archive);
    if (reply.protocol >= protocolWithEras)
        archive(reply.rangeReplies);
}

// Precedes the fields of an OriginMessage, which is sent without the sender's member record because
// it is sent often. An instance that doesn't know such messages reads the tag as the first fields
// of a GossipMessage, with a text longer than memory, and drops the datagram.
struct OriginTag
{
    static constexpr std::uint64_t allOnes = ~std::uint64_t(0);
    std::uint16_t protocol = 0xffff;
    std::uint8_t kind = 0xff;
    std::uint64_t sequence = allOnes;
    std::uint64_t nameLength = allOnes;
    bool operator==(const OriginTag &) const = default;
};

template <typename Archive> void serializeFields(Archive &archive, OriginMessage &message)
{
    OriginTag tag;
    archive(tag.protocol, tag.kind, tag.sequence, tag.nameLength);
    if (tag != OriginTag{})
        throw cereal::Exception("no origin message");
    archive(message.notices, message.questions, message.answers);
}

constexpr std::size_t checksumBytes = 8;
// The archive begins with one byte for the byte order; the protocol follows.
constexpr std::size_t protocolOffset = checksumBytes + 1;

bool isOriginMessage(std::string_view bytes)
{
    const std::string_view mark = "\xff\xff";
    return bytes.size() > protocolOffset && bytes.substr(protocolOffset).starts_with(mark);
}

std::string checksumOf(std::string_view body)
{
    std::uint64_t hash = hash64(body);
    std::string bytes(checksumBytes, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(hash & 0xffU);
        hash >>= 8;
    }
    return bytes;
}

template <typename Message> std::string encode(Message message)
{
    std::ostringstream out(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(out);
    serializeFields(archive, message);
    const std::string body = out.str();
    return checksumOf(body) + body;
}

template <typename Message> std::optional<Message> decode(const std::string &bytes)
{
    // The checksum shows damage on the way. Lengths are checked as well: the sender may be anyone.
    if (bytes.size() < checksumBytes)
        return std::nullopt;
    const std::string_view body = std::string_view(bytes).substr(checksumBytes);
    if (checksumOf(body) != bytes.substr(0, checksumBytes))
        return std::nullopt;
    try {
        BoundedInputArchive archive(body);
        Message message;
        serializeFields(archive, message);
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

using asio::ip::tcp;
using asio::ip::udp;

} // namespace

std::string encodeGossip(const GossipMessage &message)
{
    return encode(message);
}

std::optional<GossipMessage> decodeGossip(const std::string &bytes)
{
    return decode<GossipMessage>(bytes);
}

std::string encodeOrigins(const OriginMessage &message)
{
    return encode(message);
}

std::optional<OriginMessage> decodeOrigins(const std::string &bytes)
{
    return isOriginMessage(bytes) ? decode<OriginMessage>(bytes) : std::nullopt;
}

std::string withChecksum(const std::string &body)
{
    return checksumOf(body) + body;
}

class PeerLink::Private
{
public:
    Private(const Address &address, PeerHandler &handler)
        : m_handler(handler),
          m_udp(m_io, udp::endpoint(asio::ip::make_address(address.host), address.port)),
          m_acceptor(m_io, tcp::endpoint(asio::ip::make_address(address.host), address.port))
    {
        m_thread = std::thread([this] {
            const auto guard = asio::make_work_guard(m_io);
            m_io.run();
        });
    }

    ~Private() { stop(); }

    void stop()
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void start()
    {
        asio::post(m_io, [this] {
            receive();
            accept();
        });
    }

    void send(const std::string &address, const std::string &bytes)
    {
        const auto parsed = parseAddress(address);
        asio::error_code error;
        const auto host
            = parsed.ok() ? asio::ip::make_address(parsed->host, error) : asio::ip::address();
        if (!parsed.ok() || error)
            return;
        m_udp.send_to(asio::buffer(bytes), udp::endpoint(host, parsed->port), 0, error);
        if (!error)
            m_sent += bytes.size();
    }

    void sendRequest(const std::string &address, const PeerRequest &request,
                     std::function<void(std::optional<PeerReply>)> done)
    {
        const auto parsed = parseAddress(address);
        asio::error_code error;
        const auto host
            = parsed.ok() ? asio::ip::make_address(parsed->host, error) : asio::ip::address();
        if (!parsed.ok() || error)
            return done(std::nullopt);
        auto connection = std::make_shared<PeerConnection>(m_io);
        closeAfterTimeout(connection);
        const std::string bytes = encode(request);
        connection->socket.async_connect(
            tcp::endpoint(host, parsed->port),
            [this, connection, bytes,
             done = std::move(done)](const asio::error_code &connectError) {
                if (connectError)
                    return done(std::nullopt);
                m_sent += bytes.size();
                writeFrame(connection, bytes, [this, connection, done](bool written) {
                    if (!written)
                        return done(std::nullopt);
                    readReply(connection, [this, connection, done](bool read) {
                        m_received += connection->in.size();
                        done(read ? decode<PeerReply>(connection->in) : std::nullopt);
                    });
                });
            });
    }

    asio::io_context m_io;
    std::atomic<std::uint64_t> m_sent = 0;
    std::atomic<std::uint64_t> m_received = 0;
    std::thread m_thread;

private:
    void receive()
    {
        m_buffer.resize(maxDatagramBytes);
        m_udp.async_receive_from(asio::buffer(m_buffer), m_sender,
                                 [this](const asio::error_code &error, std::size_t size) {
                                     if (error == asio::error::operation_aborted)
                                         return;
                                     if (!error)
                                         onDatagram(size);
                                     receive();
                                 });
    }

    void onDatagram(std::size_t size)
    {
        m_received += size;
        const std::string bytes = m_buffer.substr(0, size);
        const std::string from
            = m_sender.address().to_string() + ":" + std::to_string(m_sender.port());
        if (isOriginMessage(bytes)) {
            if (const auto origins = decodeOrigins(bytes))
                m_handler.onOrigins(*origins, from);
        } else if (const auto message = decodeGossip(bytes)) {
            m_handler.onGossip(*message, from);
        }
    }

    void accept()
    {
        auto connection = std::make_shared<PeerConnection>(m_io);
        m_acceptor.async_accept(connection->socket,
                                [this, connection](const asio::error_code &error) {
                                    if (error == asio::error::operation_aborted)
                                        return;
                                    if (error)
                                        return acceptLater();
                                    serve(connection);
                                    accept();
                                });
    }

    void acceptLater()
    {
        m_acceptTimer.expires_after(acceptRetryTime);
        m_acceptTimer.async_wait([this](const asio::error_code &error) {
            if (!error)
                accept();
        });
    }

    // Closes the oldest connections until the others are within their bounds. The newest stays.
    void makeRoom()
    {
        std::erase_if(m_served, [](const auto &one) { return one.expired(); });
        std::size_t unsent = 0;
        for (const auto &one : m_served)
            unsent += unsentBytes(one);
        while (m_served.size() > 1
               && (m_served.size() > maxServedRequests || unsent > maxUnsentBytes)) {
            unsent -= unsentBytes(m_served.front());
            asio::error_code ignored;
            if (const auto oldest = m_served.front().lock())
                oldest->socket.close(ignored);
            m_served.pop_front();
        }
    }

    static std::size_t unsentBytes(const std::weak_ptr<PeerConnection> &connection)
    {
        const auto alive = connection.lock();
        return alive ? alive->out.size() : 0;
    }

    void serve(const PeerConnectionPtr &connection)
    {
        closeAfterTimeout(connection);
        m_served.push_back(connection);
        makeRoom();
        readRequest(connection, [this, connection](bool read) {
            const auto request = read ? decode<PeerRequest>(connection->in) : std::nullopt;
            if (!request)
                return;
            const std::string reply = encode(m_handler.onRequest(*request));
            m_received += connection->in.size();
            m_sent += reply.size();
            writeFrame(connection, reply, [connection](bool) { connection->timer.cancel(); });
            makeRoom();
        });
    }

    PeerHandler &m_handler;
    udp::socket m_udp;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer{m_io};
    std::deque<std::weak_ptr<PeerConnection>> m_served; // the oldest first
    std::string m_buffer;
    udp::endpoint m_sender;
};

PeerLink::PeerLink(const Address &address, PeerHandler &handler)
    : m_d(std::make_unique<Private>(address, handler))
{
}

PeerLink::~PeerLink() = default;

void PeerLink::start()
{
    m_d->start();
}

void PeerLink::sendGossip(const std::string &address, const GossipMessage &message)
{
    m_d->send(address, encode(message));
}

void PeerLink::sendOrigins(const std::string &address, const OriginMessage &message)
{
    m_d->send(address, encode(message));
}

void PeerLink::sendRequest(const std::string &address, const PeerRequest &request,
                           std::function<void(std::optional<PeerReply>)> done)
{
    m_d->sendRequest(address, request, std::move(done));
}

void PeerLink::post(std::function<void()> task)
{
    asio::post(m_d->m_io, std::move(task));
}

void PeerLink::postAfter(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(m_d->m_io);
    timer->expires_after(delay);
    timer->async_wait([timer, task = std::move(task)](const asio::error_code &error) {
        if (!error)
            task();
    });
}

TrafficCount PeerLink::traffic() const
{
    return {m_d->m_sent, m_d->m_received};
}

Duration PeerLink::processorTime() const
{
    clockid_t clock = 0;
    timespec time{};
    if (pthread_getcpuclockid(m_d->m_thread.native_handle(), &clock) != 0
        || clock_gettime(clock, &time) != 0)
        return {};
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

void PeerLink::stop()
{
    m_d->stop();
}

} // namespace ibisnotch
