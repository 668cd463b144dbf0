// A server for tests that keeps its connections open and answers with any bytes.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace ibisnotch {

// A request without a body, or one with a length, as it was received.
struct KeptRequest
{
    std::size_t connection = 0; // number of the connection, from 0
    std::size_t index = 0; // of the request on its connection, from 0
    std::string head; // request line and fields, up to the empty line

    // Returns the value of a field, empty if there is none. `name` is written as it was sent.
    std::string field(const std::string &name) const;
    // Returns the method and the path.
    std::string line() const;

    bool operator==(const KeptRequest &) const = default;
};

// Takes one request after the other on each connection.
class KeptServer
{
public:
    // Returns all bytes that are sent before the next request is read. Called on a thread of the
    // connection; empty to close it without an answer.
    using Answer = std::function<std::string(const KeptRequest &request)>;

    // `after` returns what is sent in a segment of its own, afterDelay behind an answer.
    KeptServer(std::uint16_t port, Answer answer, Answer after = {});
    ~KeptServer();
    KeptServer(const KeptServer &) = delete;
    KeptServer &operator=(const KeptServer &) = delete;

private:
    using Socket = asio::ip::tcp::socket;

    void run();
    void serve(Socket &socket, std::size_t connection);

    static constexpr std::chrono::milliseconds afterDelay{5};

    Answer m_answer;
    Answer m_after;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::vector<std::thread> m_threads; // one for each connection
    std::thread m_acceptThread;
};

} // namespace ibisnotch
