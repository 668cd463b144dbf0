#include "ibisnotch/http-client.h"

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "test/free-ports.h"
#include "test/raw-server.h"

using namespace ibisnotch;

namespace {

const std::string interimHeads = "HTTP/1.1 100 Continue\r\n\r\n"
                                 "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Tells how a transfer ended.
class EndSink final : public ResponseSink
{
public:
    explicit EndSink(std::shared_ptr<std::promise<TransferResult>> ended)
        : m_ended(std::move(ended))
    {
    }
    bool onHead(int, const Headers &) override { return true; }
    bool onData(std::string_view) override { return true; }
    void onEnd(const TransferResult &result) override { m_ended->set_value(result); }

private:
    std::shared_ptr<std::promise<TransferResult>> m_ended;
};

// A client, and a server that answers with bytes of the test's choice.
class RawAnswerFixture
{
public:
    BufferedResponse answerTo(const std::string &bytes, const std::string &method = "GET",
                              std::size_t maxBytes = 4U << 20)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_bytes = bytes;
        }
        OutgoingRequest request;
        request.method = method;
        request.maxBufferedBytes = maxBytes;
        request.url = "http://127.0.0.1:" + std::to_string(m_port) + "/";
        request.limits.total = std::chrono::seconds(5);
        return sendAndWait(m_client, std::move(request));
    }

    // Cuts the answer after each of its first bytes, and checks that none looks complete.
    void checkCuts(const std::string &answer, std::size_t bytes)
    {
        for (std::size_t size = 0; size < bytes; ++size) {
            INFO("after " << answer.substr(0, size));
            CHECK(answerTo(answer.substr(0, size)).result.outcome
                  == TransferOutcome::connectionLost);
        }
        CHECK(answerTo(answer).result.outcome == TransferOutcome::complete);
    }
    void checkCuts(const std::string &answer) { checkCuts(answer, answer.size()); }

    // Sends a request and cancels it, both in one task of the client's loop.
    void startAndCancel(const std::shared_ptr<ResponseSink> &sink)
    {
        m_client.post([this, sink] {
            OutgoingRequest request;
            request.url = "http://127.0.0.1:" + std::to_string(m_port) + "/";
            request.limits.total = std::chrono::seconds(5);
            m_client.send(std::move(request), sink);
            m_client.cancel(sink);
        });
    }

protected:
    std::atomic<int> m_requests = 0;

private:
    std::uint16_t m_port = freePorts(1).front();
    std::mutex m_mutex;
    std::string m_bytes;
    RawServer m_server{m_port, [this](const std::string &) {
                           ++m_requests;
                           const std::lock_guard lock(m_mutex);
                           return RawAnswer{m_bytes};
                       }};
    HttpClient m_client;
};

} // namespace

// Guards against a request that goes on for a caller who has left: it waited in the client's queue
// when it was cancelled.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_cancelledBeforeItsStart_sendsNothing")
{
    const auto ended = std::make_shared<std::promise<TransferResult>>();
    const auto sink = std::make_shared<EndSink>(ended);
    startAndCancel(sink);
    auto result = ended->get_future();
    REQUIRE(result.wait_for(std::chrono::seconds(4)) == std::future_status::ready);
    CHECK(result.get().outcome == TransferOutcome::cancelled);
    CHECK(answerTo("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").result.outcome
          == TransferOutcome::complete);
    CHECK(m_requests == 1);
}

// Guards against an answer that its server broke off within the head and that counts as complete.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_answerCutInItsHead_isLost")
{
    checkCuts("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok");
}

// The same after interim heads, which are no answer by themselves.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_answerCutAfterInterimHeads_isLost")
{
    checkCuts(interimHeads + "HTTP/1.1 204 No Content\r\n\r\n");
}

// The same for an answer in chunks, up to the end of the chunk without data that ends its body.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_answerCutBeforeItsLastChunk_isLost")
{
    const std::string chunks = chunkedHead + "2\r\nok\r\n0\r\n";
    checkCuts(chunks + "X-T: u\r\n\r\n", chunks.size());
}

// The same for a head without a length, after which the body ends with the connection.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_answerCutInAHeadWithoutALength_isLost")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-A: b\r\n\r\n";
    checkCuts(head + "ok", head.size());
}

namespace {

// Answers the first request on each connection whole, and breaks the next one's answer off.
class BreakingServer
{
public:
    ~BreakingServer()
    {
        m_io.stop();
        m_thread.join();
    }
    std::uint16_t port() const { return m_port; }
    void setSecond(const std::string &bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_second = bytes;
    }

private:
    using Socket = asio::ip::tcp::socket;

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &error, Socket socket) {
            if (error)
                return;
            answer(std::make_shared<Socket>(std::move(socket)), true);
            accept();
        });
    }

    void answer(const std::shared_ptr<Socket> &socket, bool isFirst)
    {
        const auto request = std::make_shared<std::string>();
        asio::async_read_until(*socket, asio::dynamic_buffer(*request), "\r\n\r\n",
                               [this, socket, request, isFirst](const auto &error, std::size_t) {
                                   if (!error)
                                       write(*socket, isFirst);
                                   if (!error && isFirst)
                                       answer(socket, false);
                               });
    }

    void write(Socket &socket, bool isFirst)
    {
        const std::lock_guard lock(m_mutex);
        asio::error_code ignored;
        asio::write(
            socket,
            asio::buffer(isFirst ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : m_second),
            ignored);
    }

    std::uint16_t m_port = freePorts(1).front();
    std::mutex m_mutex;
    std::string m_second;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor{m_io, {asio::ip::address_v4::loopback(), m_port}};
    std::thread m_thread{[this] {
        accept();
        m_io.run();
    }};
};

} // namespace

// The same on a kept connection, on which another answer was complete.
TEST_CASE("transfer_keptConnectionsAnswerIsCut_isLost")
{
    const std::string answer = GENERATE_COPY(
        "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok",
        interimHeads + "HTTP/1.1 204 No Content\r\n\r\n", chunkedHead + "2\r\nok\r\n0\r\n");
    BreakingServer server;
    HttpClient client;
    const auto ask = [&] {
        OutgoingRequest request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
        request.limits.total = std::chrono::seconds(5);
        return sendAndWait(client, std::move(request)).result.outcome;
    };
    for (std::size_t size = 0; size < answer.size(); ++size) {
        INFO("after " << answer.substr(0, size));
        server.setSecond(answer.substr(0, size));
        CHECK(ask() == TransferOutcome::complete);
        CHECK(ask() == TransferOutcome::connectionLost);
    }
}

// Guards against a change of protocol that nobody asked for and that counts as a complete answer.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_protocolIsSwitchedUnasked_isLost")
{
    const std::string head = "HTTP/1.1 101 Switching Protocols\r\n";
    for (const std::string &answer :
         {head + "\r\n", head + "Content-Length: 5\r\n\r\nbytes",
          head + "Upgrade: other\r\nConnection: Upgrade\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
          interimHeads + head + "\r\nbytes"}) {
        INFO(answer);
        const BufferedResponse got = answerTo(answer);
        CHECK(got.result.outcome == TransferOutcome::connectionLost);
        CHECK_FALSE(got.result.headReceived);
        CHECK(got.response == HttpResponse{});
    }
}

// Guards against bytes that are no head and that count as a complete answer.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_headIsFaulty_isLost")
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string end = "Content-Length: 2\r\n\r\nok";
    const std::vector<std::pair<std::string, HeadFault>> cases{
        {"HTTP/1.1 200 OK\rX-A: b\r\n" + end, HeadFault::statusLine},
        {"HTTP/1.1 600 OK\r\n" + end, HeadFault::status},
        {statusLine + "X-A: b\r\n folded\r\n" + end, HeadFault::field},
        {statusLine + "X A: b\r\n" + end, HeadFault::field},
        {statusLine + "Content-Length: 12345678901234567890123\r\n\r\nok", HeadFault::length},
        {interimHeads + statusLine + "Content-Length: 2x\r\n\r\nok", HeadFault::length},
    };
    for (const auto &[answer, fault] : cases) {
        INFO(answer);
        const BufferedResponse got = answerTo(answer);
        CHECK(got.result.outcome == TransferOutcome::connectionLost);
        CHECK(got.result.headFault == fault);
        CHECK(got.response == HttpResponse{});
    }
}

// Guards against a caller of HEAD that waits for a body that never comes.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_answerToHeadHasALength_isComplete")
{
    const BufferedResponse got = answerTo("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD");
    CHECK(got.result.outcome == TransferOutcome::complete);
    CHECK(got.response == HttpResponse{200, {{"Content-Length", "5"}}, ""});
}

// Guards against answers that are taken for broken ones because they have no body, or more heads
// than one.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_unusualAnswers_areComplete")
{
    struct Case
    {
        std::string method;
        std::string answer;
        HttpResponse expected;
    };
    const std::vector<Case> cases{
        {"GET", "HTTP/1.1 204 No Content\r\n\r\n", {204, {}, ""}},
        {"GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", {304, {{"ETag", "\"a\""}}, ""}},
        {"HEAD", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", {200, {{"X-A", "b"}}, ""}},
        {"GET", interimHeads + "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nok", {200, {{"X-A", "b"}}, "ok"}},
        {"GET",
         chunkedHead + "2\r\nok\r\n0\r\nX-T: u\r\n\r\n",
         {200, {{"Transfer-Encoding", "chunked"}}, "ok"}},
        {"GET", "HTTP/1.0 200 OK\r\n\r\nok", {200, {}, "ok"}},
        {"GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", {200, {{"Content-Length", "0"}}, ""}},
    };
    for (const Case &one : cases) {
        INFO(one.method << ' ' << one.answer);
        const BufferedResponse got = answerTo(one.answer, one.method);
        CHECK(got.result.outcome == TransferOutcome::complete);
        CHECK(got.result.headReceived);
        CHECK(got.response == one.expected);
    }
}

// Guards against a report without end of which megabytes are kept.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_bufferedBodyExceedsItsBound_isCancelledAndDropped")
{
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    const BufferedResponse whole = answerTo(head + std::string(50000, 'x'), "GET", 50000);
    CHECK(whole.result.outcome == TransferOutcome::complete);
    CHECK(whole.response.body.size() == 50000);
    const BufferedResponse longer = answerTo(head + std::string(50001, 'x'), "GET", 50000);
    CHECK(longer.result.outcome == TransferOutcome::cancelled);
    CHECK(longer.response.body.empty());
}

// Guards against a head whose short fields take far more memory than bytes.
TEST_CASE_METHOD(RawAnswerFixture, "transfer_headHasThousandsOfShortFields_isLost")
{
    std::string fields;
    for (int i = 0; i < 5000; ++i)
        fields += "a:\r\n";
    const std::string end = "Content-Length: 2\r\n\r\nok";
    CHECK(answerTo("HTTP/1.1 200 OK\r\n" + fields + end).result.outcome
          == TransferOutcome::connectionLost);
    CHECK(answerTo("HTTP/1.1 200 OK\r\n" + fields.substr(0, 600) + end).result.outcome
          == TransferOutcome::complete);
}

// A client that looked at new connections, too, would begin anew without end.
TEST_CASE("transfer_serverSpeaksFirstOnEachConnection_endsOnce")
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const std::uint16_t port = acceptor.local_endpoint().port();
    std::thread server([&] {
        asio::ip::tcp::socket socket = acceptor.accept();
        asio::error_code error;
        asio::write(socket,
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                                             "\r\nearly")),
                    error);
        std::string received;
        asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
    });
    // Slows the client's loop, so that the bytes are there before the request is sent.
    std::function<void(int)> slowDown;
    HttpClient client;
    slowDown = [&](int times) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        if (times > 1)
            client.post([&slowDown, times] { slowDown(times - 1); });
    };
    client.post([&slowDown] { slowDown(10); });
    OutgoingRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    request.limits.total = std::chrono::seconds(5);
    const BufferedResponse got = sendAndWait(client, request);
    CHECK(got.result.outcome == TransferOutcome::complete);
    server.join();
}

// An answer that lay on a pooled connection before the request was sent was taken for its answer.
TEST_CASE("transfer_pooledConnectionHasBytesToRead_isNotUsed")
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    const std::uint16_t port = acceptor.local_endpoint().port();
    const std::string own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    std::promise<void> mayStutter;
    std::promise<void> hasStuttered;
    const auto serve = [&](asio::ip::tcp::socket &socket) {
        std::string received;
        asio::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
        if (!error)
            asio::write(socket, asio::buffer(own), error);
    };
    std::thread server([&] {
        asio::ip::tcp::socket first = acceptor.accept();
        serve(first);
        mayStutter.get_future().wait();
        asio::write(first, asio::buffer(extra));
        hasStuttered.set_value();
        acceptor.non_blocking(true);
        for (int i = 0; i < 300; ++i) {
            asio::error_code error;
            asio::ip::tcp::socket second = acceptor.accept(error);
            if (!error) {
                second.non_blocking(false);
                return serve(second);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    });
    HttpClient client;
    OutgoingRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    request.limits.total = std::chrono::seconds(5);
    CHECK(sendAndWait(client, request).response.body == "own");
    mayStutter.set_value();
    hasStuttered.get_future().wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const BufferedResponse reply = sendAndWait(client, request);
    CHECK(reply.response.body != "extra");
    server.join();
}

// Guards against servers that work on for callers whose time is over: a request that waited in the
// client's queue told the time limit of the moment at which it was put there.
TEST_CASE("transfer_waitsBeforeItIsSent_tellsWhatIsLeft")
{
    constexpr int limitMs = 5000;
    constexpr auto wait = std::chrono::milliseconds(600);
    std::promise<std::string> got;
    const std::uint16_t port = freePorts(1).front();
    const RawServer server(port, [&got](const std::string &request) {
        got.set_value(request);
        return RawAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    });
    HttpClient client;
    client.post([wait] { std::this_thread::sleep_for(wait); });
    OutgoingRequest request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    request.headers = {{"X-Left", std::to_string(limitMs)}};
    request.waitField = "X-Left";
    const BufferedResponse answer = sendAndWait(client, std::move(request));
    CHECK(answer.response.status == 200);
    const std::string sent = got.get_future().get();
    const std::string name = "X-Left: ";
    const int left = std::stoi(sent.substr(sent.find(name) + name.size()));
    CHECK(left <= limitMs - wait.count() * 9 / 10);
    CHECK(left > limitMs - 3 * wait.count());
}

// Guards against a part of an answer that a caller gets as the whole one: the server answers a long
// upload before it has read it, without a length, and resets the connection.
TEST_CASE("transfer_answeredAndResetDuringItsUpload_isLost")
{
    const std::size_t partBytes = GENERATE(std::size_t(54), std::size_t(2) << 20);
    const auto pause = std::chrono::milliseconds(GENERATE(0, 150, 1200));
    const RawEnd end = GENERATE(RawEnd::reset, RawEnd::closed);
    const std::size_t uploadBytes = GENERATE(std::size_t(300) << 10, std::size_t(8) << 20);
    CAPTURE(partBytes, pause.count(), end, uploadBytes);
    const std::uint16_t port = freePorts(1).front();
    const RawServer server(port, [&](const std::string &) {
        return RawAnswer{"HTTP/1.1 200 OK\r\n\r\n" + std::string(partBytes, 'x'), end, pause};
    });
    HttpClient client;
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    request.body = std::string(uploadBytes, 'u');
    request.limits.total = std::chrono::seconds(5);
    const BufferedResponse got = sendAndWait(client, std::move(request));
    CHECK(got.result.outcome != TransferOutcome::complete);
}
