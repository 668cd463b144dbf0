// The HTTP server when it ends while a response is in progress, and when it counts what it holds.
#include "ibisnotch/http-server.h"

#include <array>
#include <atomic>
#include <functional>
#include <thread>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "free-ports.h"
#include "ibisnotch/http-client.h"

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

    std::shared_ptr<ResponseBuffer> buffer() const { return m_responder->buffer(); }
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

namespace {

// Replies with as many bytes as the path says, or streams them if it ends with "s".
class SizedResponse final : public RequestHandler
{
public:
    explicit SizedResponse(std::size_t writeBytes = 1) : m_writeBytes(writeBytes) { }

    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override
    {
        const std::size_t size = std::stoul(request.path.substr(1));
        if (!request.path.ends_with('s'))
            return responder->reply({200, {}, std::string(size, 'x')});
        responder->start(200, {});
        for (std::size_t sent = 0; sent < size; sent += m_writeBytes)
            responder->write(std::string(m_writeBytes, 'x'));
        responder->finish();
    }

private:
    const std::size_t m_writeBytes;
};

// A server that counts what it holds.
struct CountingServer
{
    explicit CountingServer(RequestHandler &handler) : server(settings(), handler, loop) { }

    HttpServerSettings settings() const
    {
        HttpServerSettings result;
        result.port = port;
        result.heldBytes = held;
        return result;
    }

    std::shared_ptr<ByteCount> held = std::make_shared<ByteCount>(0);
    std::uint16_t port = freePorts(1).front();
    HttpLoop loop{2};
    HttpServer server;
};

// Stands still while it handles the first request, and notes how long each has waited since its
// arrival.
class StallingHandler final : public RequestHandler
{
public:
    static constexpr auto stall = 800ms;

    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override
    {
        waited[handled] = SystemClock().now() - request.arrivedAt;
        if (++handled == 1)
            std::this_thread::sleep_for(stall);
        responder->reply({200, {}, "done"});
    }

    std::atomic<int> handled = 0;
    std::array<std::atomic<Duration>, 2> waited;
};

// A client that sends one request and reads no byte of the response.
struct IdleClient
{
    explicit IdleClient(std::uint16_t port)
    {
        socket.connect({asio::ip::address_v4::loopback(), port});
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    }
    asio::io_context io;
    asio::ip::tcp::socket socket{io};
};

bool becomesTrue(const std::function<bool()> &condition)
{
    for (int i = 0; i < 500 && !condition(); ++i)
        std::this_thread::sleep_for(20ms);
    return condition();
}

// Returns false if all responses have ended, or nothing arrives for ten seconds.
bool becomesReadable(const asio::ip::tcp::socket &socket, const HttpServer &server)
{
    for (int i = 0; i < 10'000 && socket.available() == 0 && server.openResponses() > 0; ++i)
        std::this_thread::sleep_for(1ms);
    return socket.available() > 0;
}

} // namespace

TEST_CASE("countingServer_responsesOfAllSizes_arriveWholeAndAreNoLongerHeld")
{
    SizedResponse handler;
    CountingServer server(handler);
    HttpClient client;
    for (const char *path : {"/0", "/1", "/16384", "/16385", "/3000000", "/0s", "/1s", "/40000s"}) {
        CAPTURE(path);
        OutgoingRequest request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port) + path;
        const BufferedResponse got = sendAndWait(client, request);
        CHECK(got.result.outcome == TransferOutcome::complete);
        CHECK(got.response.status == 200);
        CHECK(got.response.body.size() == std::stoul(std::string(path).substr(1)));
        CHECK(becomesTrue([&] { return *server.held == 0; }));
    }
    client.stop();
    server.loop.stop();
}

// Guards against a slow reader whose response stays in memory after it was given up.
TEST_CASE("countingServer_responseIsDiscarded_dropsItsBytesAndTellsItsHandler")
{
    UnreadResponse handler;
    CountingServer server(handler);
    const IdleClient client(server.port);
    REQUIRE(becomesTrue([&] { return handler.isStarted.load(); }));
    CHECK(*server.held > unreadBytes / 2);
    CHECK(handler.buffer()->heldBytes() == *server.held);
    handler.buffer()->discard();
    CHECK(handler.closedCalls == 1);
    constexpr std::size_t onePiece = 16 * 1024;
    CHECK(becomesTrue([&] { return *server.held <= onePiece; }));
    handler.release();
    server.loop.stop();
}

// Guards against a response that stays counted after its client has left.
TEST_CASE("countingServer_clientLeaves_holdsNothing")
{
    UnreadResponse handler;
    CountingServer server(handler);
    {
        const IdleClient client(server.port);
        REQUIRE(becomesTrue([&] { return handler.isStarted.load(); }));
    }
    CHECK(becomesTrue([&] { return *server.held == 0; }));
    handler.release();
    server.loop.stop();
}

// Guards against a crash as the loop ends while a response is in its queue.
TEST_CASE("countingServer_endsWhileAResponseIsUnread_dropsIt")
{
    UnreadResponse handler;
    std::shared_ptr<ByteCount> held;
    {
        CountingServer server(handler);
        held = server.held;
        const IdleClient client(server.port);
        REQUIRE(becomesTrue([&] { return handler.isStarted.load(); }));
        server.loop.stop();
        handler.release();
    }
    CHECK(handler.closedCalls == 0);
    CHECK(*held == 0);
}

// Guards against a process that ends while a client has not read its response: it is open until the
// client has taken all of it or has left, whether the server counts bytes or not.
TEST_CASE("server_responsesAreReadSlowlyOrLeft_areOpenUntilTheirEnd")
{
    constexpr std::size_t longBytes = 8U << 20;
    const bool counts = GENERATE(false, true);
    const bool isStream = GENERATE(false, true);
    CAPTURE(counts, isStream);
    SizedResponse handler(64 * 1024);
    HttpServerSettings settings;
    settings.port = freePorts(1).front();
    if (counts)
        settings.heldBytes = std::make_shared<ByteCount>(0);
    HttpLoop loop(1);
    const HttpServer server(settings, handler, loop);
    CHECK(server.openResponses() == 0);
    const std::string path = std::to_string(longBytes) + (isStream ? "s" : "");
    const std::string text = "GET /" + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    asio::io_context io;
    const auto connect = [&] {
        asio::ip::tcp::socket socket(io, asio::ip::tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        socket.connect({asio::ip::address_v4::loopback(), settings.port});
        asio::write(socket, asio::buffer(text));
        return socket;
    };
    asio::ip::tcp::socket reader = connect();
    {
        const asio::ip::tcp::socket leaver = connect();
        CHECK(becomesTrue([&] { return server.openResponses() == 2; }));
    }
    CHECK(becomesTrue([&] { return server.openResponses() == 1; }));
    std::this_thread::sleep_for(100ms);
    CHECK(server.openResponses() == 1);
    std::string got(64 * 1024, '\0');
    asio::error_code error;
    // The response ends a moment after its last byte has come, and no further byte follows.
    while (!error && becomesReadable(reader, server))
        reader.read_some(asio::buffer(got), error);
    CHECK_FALSE(error);
    CHECK(server.openResponses() == 0);
    loop.stop();
}

// Guards against servers that work on for callers whose time is over: an instance that stood still
// took the requests that waited for new, and told their whole time limit.
TEST_CASE("server_requestWaitsWhileItsLoopStandsStill_knowsSinceWhen")
{
    StallingHandler handler;
    HttpServerSettings settings;
    settings.port = freePorts(1).front();
    HttpLoop loop(1);
    const HttpServer server(settings, handler, loop);
    const IdleClient first(settings.port);
    REQUIRE(becomesTrue([&] { return handler.handled == 1; }));
    const IdleClient second(settings.port);
    REQUIRE(becomesTrue([&] { return handler.handled == 2; }));
    CHECK(handler.waited[0].load() < 100ms);
    CHECK(handler.waited[1].load() > StallingHandler::stall / 2);
}
