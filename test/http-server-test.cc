// The HTTP server when it ends while a response is in progress.
#include "ibisnotch/http-server.h"

#include <atomic>
#include <thread>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "free-ports.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// More than the sockets' buffers hold.
constexpr std::size_t unreadBytes = 64U << 20;

// Starts a response that its client doesn't read, and counts the calls of its closed handler.
class UnreadResponse final : public RequestHandler
{
public:
    void handle(HttpRequest, std::shared_ptr<Responder> responder) override
    {
        responder->setClosedHandler([this] { ++closedCalls; });
        responder->start(200, {});
        responder->write(std::string(unreadBytes, 'x'));
        m_responder = std::move(responder);
        isStarted = true;
    }

    std::size_t pendingBytes() const { return m_responder->pendingBytes(); }
    void release() { m_responder.reset(); }

    std::atomic<bool> isStarted = false;
    std::atomic<int> closedCalls = 0;

private:
    std::shared_ptr<Responder> m_responder;
};

} // namespace

// Guards against a process that crashes when it stops while a caller doesn't read its response: the
// closed handler ran when the loop was destroyed, and used a client that was destroyed before.
TEST_CASE("responder_releasedBeforeItsBytesAreSent_neverCallsItsClosedHandler")
{
    UnreadResponse handler;
    {
        HttpServerSettings settings;
        settings.port = freePorts(1).front();
        HttpLoop loop(1);
        const HttpServer server(settings, handler, loop);
        asio::io_context io;
        asio::ip::tcp::socket caller(io);
        caller.connect({asio::ip::make_address(settings.address), settings.port});
        asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        for (int i = 0; i < 500 && !handler.isStarted; ++i)
            std::this_thread::sleep_for(20ms);
        REQUIRE(handler.isStarted);
        loop.stop();
        CHECK(handler.pendingBytes() > 0);
        handler.release();
    }
    CHECK(handler.closedCalls == 0);
}
