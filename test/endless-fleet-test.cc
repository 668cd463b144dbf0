// Backend servers that send bytes without end, or stop just before what they send is given up,
// against a real process with lowered limits: it keeps to its memory and answers an ordinary
// caller.
#include <atomic>
#include <csignal>
#include <list>
#include <mutex>
#include <thread>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd-fixture.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr int engines = 12;
constexpr std::size_t kib = 1024;

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
        result += text;
    return result;
}

// What follows the status line and the request's id in an answer, and what follows that again and
// again; without a rest, the connection stays open and silent.
struct FaultyAnswer
{
    std::string start;
    std::string rest;
    bool isReport = false; // the engine answers its reports so, too
};

// Takes the place of an engine, which it asks for its report before.
class FaultyEngine
{
public:
    FaultyEngine(std::uint16_t port, std::string report, FaultyAnswer answer)
        : m_report(std::move(report)), m_answer(std::move(answer)),
          m_acceptor(m_io, {asio::ip::tcp::v4(), port})
    {
        m_thread = std::thread([this] { run(); });
    }
    ~FaultyEngine()
    {
        m_stopping = true;
        asio::ip::tcp::socket wake(m_io);
        wake.connect({asio::ip::address_v4::loopback(), m_acceptor.local_endpoint().port()});
        m_thread.join();
        for (const auto &socket : m_sockets)
            ::shutdown(socket->native_handle(), SHUT_RDWR);
        for (std::thread &writer : m_writers)
            writer.join();
    }
    FaultyEngine(const FaultyEngine &) = delete;
    FaultyEngine &operator=(const FaultyEngine &) = delete;

    int begun() const { return m_begun; }

private:
    void run()
    {
        while (!m_stopping) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_io);
            asio::error_code error;
            m_acceptor.accept(*socket, error);
            if (error || m_stopping)
                continue;
            m_sockets.push_back(socket);
            m_writers.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        asio::error_code error;
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return;
        const bool isReport = request.starts_with("GET /metrics");
        if (isReport && !m_answer.isReport) {
            asio::write(socket,
                        asio::buffer(fmt::format("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                                 "Content-Length: {}\r\n\r\n{}",
                                                 m_report.size(), m_report)),
                        error);
            return close(socket);
        }
        const std::size_t begin = request.find("X-Request-Id: ");
        const std::string id = begin == std::string::npos
            ? ""
            : request.substr(begin, request.find("\r\n", begin) + 2 - begin);
        ++m_begun;
        asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\n" + id + m_answer.start), error);
        while (!error && !m_answer.rest.empty() && !m_stopping)
            asio::write(socket, asio::buffer(m_answer.rest), error);
        // Until the instance closes.
        std::string ignored;
        asio::read(socket, asio::dynamic_buffer(ignored), error);
        close(socket);
    }

    static void close(asio::ip::tcp::socket &socket)
    {
        ::shutdown(socket.native_handle(), SHUT_RDWR);
    }

    const std::string m_report;
    const FaultyAnswer m_answer;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_begun = 0;
    std::list<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;
    std::list<std::thread> m_writers;
    std::thread m_thread;
};

Fleet startWithEngines()
{
    FleetShape shape = oneInstance();
    shape.models = engines;
    return Fleet(shape);
}

const std::string eventHead = "Content-Type: text/event-stream\r\n\r\n";
const std::string chunkedHead
    = "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

struct FaultyEnginesFixture : CrowdFixture
{
    FaultyEnginesFixture() : CrowdFixture(startWithEngines) { }

    void replaceEngines(const FaultyAnswer &answer)
    {
        for (int i = 1; i <= engines; ++i) {
            const std::string name = fmt::format("a-m{}", i);
            OutgoingRequest request;
            request.url = "http://" + fleet.address(name) + "/metrics";
            const std::string report = fleet.send(request).body;
            fleet.stop(name, SIGKILL);
            m_faulty.emplace_back(parseAddress(fleet.address(name))->port, report, answer);
        }
    }

    // Returns how many answers the engines have begun.
    int begun() const
    {
        int count = 0;
        for (const FaultyEngine &engine : m_faulty)
            count += engine.begun();
        return count;
    }

    // Lets callers send requests at once while each engine answers so.
    void meetAnswer(const FaultyAnswer &answer, bool streams)
    {
        constexpr int callers = 150;
        constexpr std::size_t descriptors = 2 * callers + spareDescriptors;
        replaceEngines(answer);
        // The instance has found engines away meanwhile; their next reports bring them back.
        std::this_thread::sleep_for(3s);
        const std::string body
            = fmt::format(R"({{"model":"m","stream":{},"max_tokens":4,"messages":[]}})", streams);
        const std::string request = head(fmt::format("Content-Length: {}\r\n", body.size())) + body;
        {
            const Crowd crowd(*parseAddress(fleet.callers("a1")), {callers, request});
            crowd.waitUntilStill();
            std::this_thread::sleep_for(3s);
            checkInstance(descriptors);
        }
        checkInstance(descriptors);
        CHECK(begun() > 60);
    }

private:
    std::list<FaultyEngine> m_faulty;
};

// Guards against a head that takes far more memory than it has bytes, while it is below its bound.
TEST_CASE_METHOD(FaultyEnginesFixture,
                 "instance_enginesStopInHeadsOfShortFields_staysWithinItsMemory")
{
    meetAnswer({repeated("a:\r\n", 250 * kib), ""}, false);
}

// The same for a single field.
TEST_CASE_METHOD(FaultyEnginesFixture, "instance_enginesStopInOneLongField_staysWithinItsMemory")
{
    meetAnswer({"X-A: " + std::string(95 * kib, 'x'), ""}, false);
}

// The same for fields after the last chunk.
TEST_CASE_METHOD(FaultyEnginesFixture,
                 "instance_enginesStopInTrailersOfShortFields_staysWithinItsMemory")
{
    meetAnswer({chunkedHead + "0\r\n" + repeated("a:\r\n", 250 * kib), ""}, false);
}

// Guards against unfinished events that are counted nowhere.
TEST_CASE_METHOD(FaultyEnginesFixture, "instance_enginesStopInLongEvents_staysWithinItsMemory")
{
    meetAnswer({eventHead + "data: " + std::string(1000 * kib, 'x'), ""}, true);
}

// The same for events and comments that never end.
TEST_CASE_METHOD(FaultyEnginesFixture, "instance_enginesSendEventsWithoutEnd_staysWithinItsMemory")
{
    meetAnswer({eventHead + ":", std::string(64 * kib, 'x')}, true);
}

// Guards against answers of which a copy is kept for their check, counted nowhere.
TEST_CASE_METHOD(FaultyEnginesFixture, "instance_enginesSendBodiesWithoutEnd_staysWithinItsMemory")
{
    const std::string chunk
        = fmt::format("{:x}\r\n", 64 * kib) + std::string(64 * kib, 'x') + "\r\n";
    meetAnswer({chunkedHead, chunk}, false);
}

// The same for reports of engines, which need no caller.
TEST_CASE_METHOD(FaultyEnginesFixture, "instance_enginesSendReportsWithoutEnd_staysWithinItsMemory")
{
    replaceEngines({"\r\n", std::string(64 * kib, 'x'), true});
    std::this_thread::sleep_for(5s);
    checkInstance();
    CHECK(begun() >= engines);
}
