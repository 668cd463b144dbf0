#include "test/raw-server.h"

#include <chrono>
#include <utility>

#include <asio/read_until.hpp>
#include <asio/write.hpp>

namespace ibisnotch {

RawServer::RawServer(std::uint16_t port, Answer answer)
    : m_answer(std::move(answer)), m_acceptor(m_io, {asio::ip::tcp::v4(), port})
{
    m_thread = std::thread([this] { run(); });
}

RawServer::~RawServer()
{
    m_stopping = true;
    asio::io_context io;
    asio::ip::tcp::socket wake(io);
    wake.connect({asio::ip::address_v4::loopback(), m_acceptor.local_endpoint().port()});
    m_thread.join();
}

void RawServer::run()
{
    while (!m_stopping) {
        asio::ip::tcp::socket socket(m_io);
        asio::error_code error;
        m_acceptor.accept(socket, error);
        if (!error && !m_stopping)
            answer(socket);
    }
}

void RawServer::answer(asio::ip::tcp::socket &socket)
{
    asio::error_code error;
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
    if (error)
        return;
    const RawAnswer answer = m_answer(request);
    asio::write(socket, asio::buffer(answer.bytes), error);
    if (answer.end == RawEnd::reset) {
        std::this_thread::sleep_for(answer.pause);
        socket.set_option(asio::socket_base::linger(true, 0), error);
    }
    socket.close(error);
}

} // namespace ibisnotch
