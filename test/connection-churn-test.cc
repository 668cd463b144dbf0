// Connections that are closed and opened all the time, so that the numbers of their sockets and
// their ports come again, at servers that also answer twice.
#include "ibisnotch/http-client.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "test/free-ports.h"
#include "test/kept-server.h"

using namespace ibisnotch;

namespace {

std::string answerBytes(const std::string &body, const std::string &fields = "")
{
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", fields, body.size(),
                       body);
}

// Closes each connection after some requests, and sends a second answer after some.
class ChurningServer
{
public:
    std::uint16_t port() const { return m_port; }
    int extraCount() const { return m_extras; }

private:
    std::string answer(const KeptRequest &request)
    {
        const std::string body = request.line();
        const bool closes = (request.connection + request.index) % 5 == 4;
        return answerBytes(body, closes ? "Connection: close\r\n" : "");
    }
    std::string after(const KeptRequest &request)
    {
        if ((request.connection * 7 + request.index) % 4 != 0)
            return "";
        ++m_extras;
        return answerBytes("extra");
    }

    const std::uint16_t m_port = freePorts(1).front();
    std::atomic<int> m_extras = 0;
    KeptServer m_server{m_port, [this](const KeptRequest &request) { return answer(request); },
                        [this](const KeptRequest &request) { return after(request); }};
};

} // namespace

// Guards against a look at the socket of another connection than the one that is going to be used.
TEST_CASE("transfer_socketsComeAgain_noExtraAnswerIsTaken")
{
    ChurningServer servers[6];
    HttpClient client;
    int foreign = 0;
    int failed = 0;
    for (int round = 0; round < 60; ++round) {
        std::vector<std::pair<std::string, std::future<BufferedResponse>>> answers;
        for (int i = 0; i < 6; ++i) {
            const std::string path = fmt::format("/{}/{}", round, i);
            OutgoingRequest request;
            request.url = fmt::format("http://127.0.0.1:{}{}", servers[i].port(), path);
            request.limits.total = std::chrono::seconds(5);
            auto promise = std::make_shared<std::promise<BufferedResponse>>();
            answers.emplace_back("GET " + path, promise->get_future());
            sendBuffered(client, std::move(request),
                         [promise](const BufferedResponse &got) { promise->set_value(got); });
        }
        for (auto &[line, answer] : answers) {
            const BufferedResponse got = answer.get();
            const bool isComplete = got.result.outcome == TransferOutcome::complete;
            failed += isComplete ? 0 : 1;
            foreign += isComplete && got.response.body != line ? 1 : 0;
        }
        // A second answer comes within 5 ms, or up to 40 ms later if its segment waits for an ack.
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
    }
    int extras = 0;
    for (const ChurningServer &server : servers)
        extras += server.extraCount();
    INFO("extra answers " << extras << ", failed " << failed);
    CHECK(foreign == 0);
    CHECK(failed == 0);
    CHECK(extras > 50);
}
