// Frames of the requests between instances: four bytes with the size, and so many bytes after them.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace ibisnotch {

// The TCP connection of one request, on either side, with the buffers of the frame that is received
// and the frame that is sent.
struct PeerConnection
{
    explicit PeerConnection(asio::io_context &io) : socket(io), timer(io) { }
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<unsigned char, 4> head{};
    std::string in;
    std::string out;
};

using PeerConnectionPtr = std::shared_ptr<PeerConnection>;
// Called with whether the frame is whole.
using FrameDone = std::function<void(bool)>;

// Read a frame into the connection's buffer, which grows as bytes arrive. A request is far smaller
// than a reply, as anybody may send one.
void readRequest(const PeerConnectionPtr &connection, FrameDone done);
void readReply(const PeerConnectionPtr &connection, FrameDone done);

void writeFrame(const PeerConnectionPtr &connection, const std::string &body, FrameDone done);

// Closes the connection when the time that a request may take is over.
void closeAfterTimeout(const PeerConnectionPtr &connection);

} // namespace ibisnotch
