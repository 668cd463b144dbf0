#include "peer-frames.h"

#include <algorithm>
#include <cstdint>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace ibisnotch {

namespace {

constexpr std::uint32_t maxReplyBytes = 8U << 20;
constexpr std::uint32_t maxRequestBytes = 64U << 10;
// Set aside for a frame before its bytes have arrived; the frame's size is only announced.
constexpr std::size_t frameStepBytes = 64U << 10;
constexpr auto requestTimeout = std::chrono::seconds(3);

std::array<unsigned char, 4> frameHead(std::size_t size)
{
    return {static_cast<unsigned char>(size >> 24), static_cast<unsigned char>(size >> 16),
            static_cast<unsigned char>(size >> 8), static_cast<unsigned char>(size)};
}

std::uint32_t frameSize(const std::array<unsigned char, 4> &head)
{
    return (std::uint32_t(head[0]) << 24) | (std::uint32_t(head[1]) << 16)
        | (std::uint32_t(head[2]) << 8) | head[3];
}

// Reads the rest of a frame of this size.
void readFrameBody(const PeerConnectionPtr &connection, std::size_t size, FrameDone done)
{
    std::string &in = connection->in;
    const std::size_t begin = in.size();
    const std::size_t step = std::min(frameStepBytes, size - begin);
    in.resize(begin + step);
    asio::async_read(connection->socket, asio::buffer(in.data() + begin, step),
                     [connection, size, done = std::move(done)](const asio::error_code &error,
                                                                std::size_t) mutable {
                         if (error || connection->in.size() == size)
                             return done(!error);
                         readFrameBody(connection, size, std::move(done));
                     });
}

void readFrame(const PeerConnectionPtr &connection, std::uint32_t maxBytes, FrameDone done)
{
    asio::async_read(connection->socket, asio::buffer(connection->head),
                     [connection, maxBytes, done = std::move(done)](const asio::error_code &error,
                                                                    std::size_t) mutable {
                         const std::uint32_t size = frameSize(connection->head);
                         if (error || size > maxBytes)
                             return done(false);
                         readFrameBody(connection, size, std::move(done));
                     });
}

} // namespace

void readRequest(const PeerConnectionPtr &connection, FrameDone done)
{
    readFrame(connection, maxRequestBytes, std::move(done));
}

void readReply(const PeerConnectionPtr &connection, FrameDone done)
{
    readFrame(connection, maxReplyBytes, std::move(done));
}

void writeFrame(const PeerConnectionPtr &connection, const std::string &body, FrameDone done)
{
    const auto head = frameHead(body.size());
    connection->out.assign(head.begin(), head.end());
    connection->out += body;
    asio::async_write(connection->socket, asio::buffer(connection->out),
                      [connection, done = std::move(done)](const asio::error_code &error,
                                                           std::size_t) { done(!error); });
}

void closeAfterTimeout(const PeerConnectionPtr &connection)
{
    connection->timer.expires_after(requestTimeout);
    connection->timer.async_wait([weak = std::weak_ptr(connection)](const asio::error_code &error) {
        asio::error_code ignored;
        if (const auto alive = weak.lock(); alive && !error)
            alive->socket.close(ignored);
    });
}

} // namespace ibisnotch
