#include "test/kept-server.h"

#include <cstdlib>
#include <utility>

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace ibisnotch {

std::string KeptRequest::field(const std::string &name) const
{
    const std::string begin = "\r\n" + name + ": ";
    const std::size_t at = head.find(begin);
    if (at == std::string::npos)
        return "";
    const std::size_t value = at + begin.size();
    return head.substr(value, head.find("\r\n", value) - value);
}

std::string KeptRequest::line() const
{
    return head.substr(0, head.find(" HTTP/"));
}

KeptServer::KeptServer(std::uint16_t port, Answer answer, Answer after)
    : m_answer(std::move(answer)), m_after(std::move(after)),
      m_acceptor(m_io, {asio::ip::tcp::v4(), port})
{
    m_acceptThread = std::thread([this] { run(); });
}

KeptServer::~KeptServer()
{
    m_stopping = true;
    asio::io_context io;
    Socket wake(io);
    wake.connect({asio::ip::address_v4::loopback(), m_acceptor.local_endpoint().port()});
    m_acceptThread.join();
    for (const auto &socket : m_sockets) {
        asio::error_code ignored;
        socket->shutdown(Socket::shutdown_both, ignored);
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

void KeptServer::run()
{
    while (!m_stopping) {
        const auto socket = std::make_shared<Socket>(m_io);
        asio::error_code error;
        m_acceptor.accept(*socket, error);
        if (error || m_stopping)
            continue;
        const std::size_t connection = m_threads.size();
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket, connection] { serve(*socket, connection); });
    }
}

void KeptServer::serve(Socket &socket, std::size_t connection)
{
    std::string received;
    asio::error_code error;
    for (std::size_t index = 0; !error; ++index) {
        const std::size_t size
            = asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
        if (error)
            break;
        const KeptRequest request{connection, index, received.substr(0, size)};
        received.erase(0, size);
        const std::size_t body = std::strtoul(request.field("Content-Length").c_str(), nullptr, 10);
        if (received.size() < body)
            asio::read(socket, asio::dynamic_buffer(received),
                       asio::transfer_exactly(body - received.size()), error);
        if (error)
            break;
        received.erase(0, body);
        const std::string bytes = m_answer(request);
        if (bytes.empty())
            break;
        asio::write(socket, asio::buffer(bytes), error);
        const std::string more = m_after ? m_after(request) : "";
        if (error || more.empty())
            continue;
        std::this_thread::sleep_for(afterDelay);
        asio::write(socket, asio::buffer(more), error);
    }
    socket.shutdown(Socket::shutdown_both, error);
}

} // namespace ibisnotch
