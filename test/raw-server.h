// A server for tests that answers with any bytes, whether they are a response or not.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace ibisnotch {

enum class RawEnd { closed, reset };

// The bytes of an answer, and how the connection ends after them.
struct RawAnswer
{
    std::string bytes;
    RawEnd end = RawEnd::closed;
    // Between them. Without it, a reset would overtake the bytes.
    std::chrono::milliseconds pause{5};

    bool operator==(const RawAnswer &) const = default;
};

// Takes one request on each connection.
class RawServer
{
public:
    // Called on the server's thread with the head of a request, as it was received.
    using Answer = std::function<RawAnswer(const std::string &request)>;

    RawServer(std::uint16_t port, Answer answer);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

private:
    void run();
    void answer(asio::ip::tcp::socket &socket);

    Answer m_answer;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace ibisnotch
