// Complete responses, correct refusals and invalid input through real processes.
#include <csignal>
#include <future>
#include <set>
#include <thread>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fleet.h"
#include "ibisnotch/process-settings.h"
#include "ibisnotch/result-code.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr int code(ResultCode result)
{
    return static_cast<int>(result);
}

std::string expectedText(int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += "word" + std::to_string(i) + " ";
    return text;
}

// Returns the text of a streamed response. Sets `done` if the stream ended with "[DONE]".
std::string streamedText(const std::string &body, bool &done)
{
    std::string text;
    done = body.find("data: [DONE]\n\n") != std::string::npos;
    std::size_t at = 0;
    while ((at = body.find("data: {", at)) != std::string::npos) {
        const std::size_t end = body.find("\n\n", at);
        const auto json = nlohmann::json::parse(body.substr(at + 6, end - at - 6), nullptr, false);
        const nlohmann::json::json_pointer content("/choices/0/delta/content");
        if (json.is_object() && json.contains(content))
            text += json[content].get<std::string>();
        at = end;
    }
    return text;
}

struct ResponsesFixture
{
    Fleet fleet{FleetShape{.regions = 1, .instances = 2, .models = 3}};

    void restart(const std::string &entry)
    {
        fleet.stop(entry, SIGKILL);
        fleet.start(entry);
        fleet.waitReady(entry);
    }

    void setFaultOfAllModels(const std::string &mode)
    {
        for (const char *name : {"a-m1", "a-m2", "a-m3"})
            fleet.setFault(name, mode);
    }
};

asio::ip::tcp::socket connectTo(asio::io_context &io, const std::string &address)
{
    const Address parsed = *parseAddress(address);
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(parsed.host), parsed.port});
    return socket;
}

} // namespace

TEST_CASE_METHOD(ResponsesFixture, "response_ofAHealthyEngine_isCompleteAndIdentified")
{
    bool done = false;
    const Reply streamed = fleet.chat("a1", true, 12);
    CHECK(streamedText(streamed.body, done) == expectedText(12));
    CHECK(done);
    const Reply whole = fleet.chat("a2", false, 12);
    CHECK(nlohmann::json::parse(whole.body)["choices"][0]["message"]["content"]
          == expectedText(12));
    for (const Reply &reply : {streamed, whole}) {
        CHECK(reply.code == code(ResultCode::served));
        CHECK(reply.runState == "run");
        CHECK_FALSE(reply.requestId.empty());
        CHECK(reply.isComplete);
    }
    OutgoingRequest request;
    request.url = "http://" + fleet.peers("a1") + "/metrics";
    const std::string metrics = fleet.send(request).body;
    const std::string labels = "{service=\"digest\",customer=\"free\"";
    CHECK(metrics.find("ibisnotch_requests_total" + labels + ",code=\"1000\"} 1\n")
          != std::string::npos);
    CHECK(metrics.find("ibisnotch_cost_total" + labels + "} ") != std::string::npos);
    CHECK(metrics.find("ibisnotch_cost_total" + labels + "} 0.000000") == std::string::npos);
}

// Guards against one faulty engine affecting callers. It hangs, mixes up or truncates responses,
// closes the connection, refuses or fails. Nothing is sent to the caller before the response is
// checked, so the request can be retried at another engine.
TEST_CASE_METHOD(ResponsesFixture, "response_oneFaultyEngine_comesCompleteFromAnother")
{
    for (const char *mode : {"hang", "cross", "truncate", "drop", "refuse", "error"}) {
        INFO(mode);
        fleet.setFault("a-m1", mode);
        for (int i = 0; i < 6; ++i) {
            const Reply reply = fleet.chat("a1", false, 6, std::string(mode) + std::to_string(i));
            CHECK(reply.code == code(ResultCode::served));
            CHECK(nlohmann::json::parse(reply.body)["choices"][0]["message"]["content"]
                  == expectedText(6));
        }
        fleet.setFault("a-m1", "none");
        // Resets the retry budget and the ejections for the next kind of failure.
        restart("a1");
    }
}

// Guards against truncated responses, or responses to other requests, that look complete. All
// engines fail in the same way, some after the first tokens were sent to the caller. An aborted
// stream ends with an error event and without the last chunk.
TEST_CASE_METHOD(ResponsesFixture, "response_allEnginesFaulty_neverLooksComplete")
{
    for (const char *mode : {"cross", "truncate", "drop", "silent", "error"}) {
        // An instance that has ejected all engines would correctly refuse with "not run" and not
        // test this kind of failure, so it is restarted.
        restart("a2");
        setFaultOfAllModels(mode);
        for (const bool stream : {true, false}) {
            INFO(mode << (stream ? " streamed" : " whole"));
            if (std::string(mode) == "silent" && !stream)
                continue; // only a stream can stop half way
            const Reply reply
                = fleet.chat("a2", stream, 6, std::string(mode) + (stream ? "s" : "w"));
            bool done = false;
            const std::string text = streamedText(reply.body, done);
            CHECK_FALSE(done);
            CHECK(expectedText(6).rfind(text, 0) == 0);
            if (reply.isComplete) {
                CHECK(reply.status >= 400);
                CHECK(reply.runState == "unknown");
            } else {
                CHECK(reply.body.find("\"error\"") != std::string::npos);
            }
        }
    }
}

TEST_CASE_METHOD(ResponsesFixture, "refusal_allEnginesRefuse_reportsNotRunAndRetryAfter")
{
    setFaultOfAllModels("refuse");
    const Reply reply = fleet.chat("a1", false);
    CHECK(reply.runState == "not run");
    CHECK(reply.retryAfter > 0);
}

// Guards against a refusal that is only true of the last attempt. The first engine accepts the
// request and closes the connection, the others refuse it, so the run state is "unknown".
TEST_CASE_METHOD(ResponsesFixture, "refusal_afterAnAttemptThatMayHaveRun_neverReportsNotRun")
{
    setFaultOfAllModels("refuse");
    for (const char *name : {"a-m1", "a-m2", "a-m3"})
        fleet.setFault(name, "drop", 1);
    const Reply reply = fleet.chat("a1", false);
    CHECK(reply.runState == "unknown");
}

// The same with an engine that fails without closing the connection. No crash is suspected, so the
// retry is not a quarantine trial.
TEST_CASE_METHOD(ResponsesFixture, "refusal_ofARetryAfterAServerError_neverReportsNotRun")
{
    setFaultOfAllModels("refuse");
    fleet.setFault("a-m1", "error");
    int mayHaveRunCount = 0;
    for (int i = 0; i < 12; ++i) {
        const Reply reply = fleet.chat("a1", false, 6, "prompt " + std::to_string(i));
        OutgoingRequest request;
        request.url = "http://" + fleet.peers("a1") + "/admin/explain?id=" + reply.requestId;
        std::string steps;
        // The response is sent before the trace is stored.
        eventually("the request is explained", [&] {
            const Reply explained = fleet.send(request);
            steps = explained.body;
            return explained.status == 200;
        });
        const bool mayHaveRun = steps.find("a-m1: server error") != std::string::npos;
        mayHaveRunCount += mayHaveRun ? 1 : 0;
        CHECK(reply.runState == (mayHaveRun ? "unknown" : "not run"));
    }
    CHECK(mayHaveRunCount > 0);
}

// Guards against a log that can't tell an answer that its server never began from one that was lost
// on its way to the caller.
TEST_CASE_METHOD(ResponsesFixture, "instance_requestIsOver_logNamesStatusAndTransfer")
{
    const auto logged = [this](const std::string &sentence, const Reply &reply) {
        std::string line;
        eventually("the line is written", [&] {
            for (const std::string &one : fleet.logLines("a1", sentence)) {
                if (one.find("request=" + reply.requestId + ' ') != std::string::npos)
                    line = one;
            }
            return !line.empty();
        });
        return line;
    };
    using Catch::Contains;
    const Reply served = fleet.chat("a1", false);
    CHECK_THAT(logged("Request over.", served),
               Contains(" status=200 ") && Contains(" transfer=complete "));
    fleet.setFault("a-a1", "drop", 1);
    const Reply dropped = fleet.book("a1", fleet.callerKey());
    CHECK(dropped.status != 200);
    const std::string lost = " transfer=\"connection lost, no head\" ";
    CHECK_THAT(logged("Attempt failed.", dropped), Contains(lost));
    CHECK_THAT(logged("Request over.", dropped),
               Contains(" status=" + std::to_string(dropped.status) + ' ') && Contains(lost));
}

// Guards against a response after the caller's deadline when no engine responds.
TEST_CASE_METHOD(ResponsesFixture, "refusal_atTheDeadline_isSentAtOnce")
{
    setFaultOfAllModels("hang");
    OutgoingRequest request = fleet.chatRequest("a1", false, 6, "late", "free-token");
    request.headers.add("X-Request-Timeout-Ms", "700");
    const Reply reply = fleet.send(request);
    CHECK(reply.runState == "unknown");
    CHECK(reply.code == code(ResultCode::deadlineExceeded));
}

TEST_CASE_METHOD(ResponsesFixture, "badInput_ofEachKind_hasItsResultCode")
{
    const auto send = [&](const std::string &path, const std::string &body, const Headers &headers,
                          const std::string &method = "POST") {
        OutgoingRequest request;
        request.method = method;
        request.url = "http://" + fleet.callers("a1") + path;
        request.headers = headers;
        request.body = body;
        return fleet.send(request).code;
    };
    const Headers validHeaders{{"Authorization", "Bearer free-token"}};
    Headers pastDeadline = validHeaders;
    pastDeadline.add("X-Request-Deadline", "1000");
    Headers invalidTimeout = validHeaders;
    invalidTimeout.add("X-Request-Timeout-Ms", "soon");
    Headers invalidKey = validHeaders;
    invalidKey.add("Idempotency-Key", "42");
    const std::string chat = "/v1/chat/completions";
    const std::string body = "{\"model\":\"m\",\"messages\":[]}";
    CHECK(send(chat, "{\"model\":", validHeaders) == code(ResultCode::malformedRequest));
    CHECK(send(chat, "{\"model\":\"m\",\"messages\":[],\"stream\":3}", validHeaders)
          == code(ResultCode::malformedRequest));
    CHECK(send(chat, "\xff\xfe", validHeaders) == code(ResultCode::malformedRequest));
    CHECK(send(chat, "{\"model\":\"x\",\"messages\":[]}", validHeaders)
          == code(ResultCode::unknownModel));
    CHECK(send(chat, body, {}) == code(ResultCode::unknownCustomer));
    CHECK(send(chat, body, {{"Authorization", "Bearer wrong"}})
          == code(ResultCode::unknownCustomer));
    CHECK(send(chat, std::string(2 << 20, ' '), validHeaders) == code(ResultCode::bodyTooLarge));
    CHECK(send(chat, body, pastDeadline) == code(ResultCode::deadlinePassed));
    CHECK(send(chat, body, invalidTimeout) == code(ResultCode::malformedRequest));
    CHECK(send("/v1/services/order", "{}", validHeaders) == code(ResultCode::bookingKeyMissing));
    CHECK(send("/v1/services/order", "{}", invalidKey) == code(ResultCode::bookingKeyForm));
    CHECK(send("/v1/services/nothing", "{}", validHeaders) == code(ResultCode::unknownService));
    CHECK(send("/v1/services/order", "", validHeaders, "GET")
          == code(ResultCode::malformedRequest));
    CHECK(send("/nowhere", "", validHeaders) == code(ResultCode::noSuchPath));
    CHECK(send("/admin/status", "", validHeaders, "GET") == code(ResultCode::noSuchPath));
    CHECK(fleet.chat("a1", false).code == code(ResultCode::served));
}

// Guards against incomplete requests and idle connections that block other callers. A connection
// without data must not occupy a thread.
TEST_CASE_METHOD(ResponsesFixture, "badInput_incompleteAndIdleConnections_dontAffectOthers")
{
    asio::io_context io;
    std::vector<asio::ip::tcp::socket> sockets;
    const std::string half = "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{";
    for (int i = 0; i < 800; ++i) {
        sockets.push_back(connectTo(io, fleet.callers("a1")));
        if (i % 2 == 0)
            asio::write(sockets.back(), asio::buffer(half));
    }
    CHECK(fleet.chat("a1", true).code == code(ResultCode::served));
    sockets.clear();
    CHECK(fleet.chat("a1", true).code == code(ResultCode::served));
}

// Guards against a request that crashes every engine that runs it, while its caller sends it again
// through every instance. Instances share crash marks at once and quarantine the request after two.
TEST_CASE_METHOD(ResponsesFixture, "crashingRequest_sentToEveryInstance_crashesAtMostTwoEngines")
{
    for (int i = 0; i < 8; ++i) {
        const Reply reply = fleet.chat(i % 2 == 0 ? "a1" : "a2", false, 6, "crash-this-engine");
        CHECK(reply.code != code(ResultCode::served));
    }
    int running = 0;
    for (const char *name : {"a-m1", "a-m2", "a-m3"})
        running += fleet.isRunning(name) ? 1 : 0;
    CHECK(running >= 1);
    CHECK(fleet.chat("a1", false, 6, "a sound request").code == code(ResultCode::served));
    CHECK(fleet.chat("a2", false, 6, "crash-this-engine").code == code(ResultCode::quarantined));
}

// The same with engines that are restarted at once. An engine that responds again clears the
// request only if its process is still the same.
TEST_CASE_METHOD(ResponsesFixture, "crashingRequest_enginesRestartAtOnce_causesAtMostTwoCrashes")
{
    int crashes = 0;
    for (int i = 0; i < 5; ++i) {
        fleet.chat(i % 2 == 0 ? "a1" : "a2", false, 6, "crash-this-engine");
        for (const char *name : {"a-m1", "a-m2", "a-m3"}) {
            if (fleet.isRunning(name))
                continue;
            ++crashes;
            fleet.start(name);
        }
        std::this_thread::sleep_for(700ms);
    }
    CHECK(crashes >= 1);
    CHECK(crashes <= 2);
}

// Guards against copies of a crashing request that arrive at both instances at the same time. They
// share a prefix, so they go to the same engine, and the crash marks of both instances name it.
TEST_CASE_METHOD(ResponsesFixture, "crashingRequest_simultaneousCopies_crashAtMostTwoEngines")
{
    std::vector<std::future<Reply>> copies;
    for (int i = 0; i < 6; ++i)
        copies.push_back(std::async(std::launch::async, [this, i] {
            return fleet.chat(i % 2 == 0 ? "a1" : "a2", false, 6, "crash-this-engine");
        }));
    for (auto &copy : copies)
        CHECK(copy.get().code != code(ResultCode::served));
    int running = 0;
    for (const char *name : {"a-m1", "a-m2", "a-m3"})
        running += fleet.isRunning(name) ? 1 : 0;
    CHECK(running >= 1);
}

// Guards against streams that are cut by a planned stop. A stopping instance accepts no new
// requests, completes those in flight, and exits.
TEST_CASE_METHOD(ResponsesFixture, "plannedStop_underLoad_completesAllStreams")
{
    std::vector<std::future<Reply>> streams;
    for (int i = 0; i < 12; ++i)
        streams.push_back(std::async(std::launch::async, [this, i] {
            return fleet.chat("a1", true, 200, "stream " + std::to_string(i));
        }));
    eventually("all streams are in flight", [&] {
        return fleet.adminStatus("a1").find("\"inFlight\":12,") != std::string::npos;
    });
    CHECK(fleet.stop("a1", SIGTERM) == 0);
    for (auto &stream : streams) {
        const Reply reply = stream.get();
        bool done = false;
        CHECK(streamedText(reply.body, done) == expectedText(200));
        CHECK(done);
        CHECK(reply.isComplete);
    }
    OutgoingRequest request;
    request.url = "http://" + fleet.callers("a2") + "/v1/entries";
    request.headers = {{"Authorization", "Bearer free-token"}};
    eventually("the stopping instance is not listed for callers",
               [&] { return fleet.send(request).body.find("\"a1\"") == std::string::npos; });
}

// Guards against new requests to a draining engine. The engine reports that it is draining in its
// responses, and the instance that receives one informs the others at once.
TEST_CASE_METHOD(ResponsesFixture, "drainingEngine_afterItsOwnReport_getsNoNewRequests")
{
    fleet.setFault("a-m1", "leaving");
    for (const char *entry : {"a1", "a2"})
        eventually("the instance knows that the engine is draining",
                   [&] { return fleet.adminStatus(entry).find("leaving") != std::string::npos; });
    for (int i = 0; i < 40; ++i) {
        const Reply reply
            = fleet.chat(i % 2 == 0 ? "a1" : "a2", false, 2, "prompt " + std::to_string(i));
        CHECK(reply.code == code(ResultCode::served));
        CHECK(reply.servedBy.find("a-m1") == std::string::npos);
    }
}

TEST_CASE_METHOD(ResponsesFixture, "drainingEngine_inThePlatformsList_getsNoNewRequests")
{
    std::promise<StoreWrite> written;
    fleet.store().compareAndSet("platform/instances", 0,
                                "{\"leaving\":[{\"name\":\"a-m2\",\"sinceMs\":9999999999999}]}",
                                [&](const StoreWrite &write) { written.set_value(write); });
    CHECK(written.get_future().get().status == StoreStatus::ok);
    for (const char *entry : {"a1", "a2"})
        eventually("the instance knows that the engine is draining",
                   [&] { return fleet.adminStatus(entry).find("leaving") != std::string::npos; });
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.chat("a1", false, 2, std::to_string(i)).servedBy.find("a-m2")
              == std::string::npos);
}

// Guards against callers that wait for an engine that stalls with open connections. A request
// without progress is retried at another engine on a new connection, and the stalled engine gets no
// more requests.
TEST_CASE_METHOD(ResponsesFixture, "stalledEngine_withOpenConnections_isNotUsed")
{
    for (int i = 0; i < 9; ++i)
        fleet.chat("a1", false, 2, std::to_string(i));
    fleet.signal("a-m1", SIGSTOP);
    for (int i = 0; i < 9; ++i)
        CHECK(fleet.chat("a1", false, 2, std::to_string(i)).code == code(ResultCode::served));
    fleet.signal("a-m1", SIGCONT);
}
