// Whole answers, true refusals and bad input on real processes.
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

std::string wholeText(int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += "word" + std::to_string(i) + " ";
    return text;
}

// The text of a streamed answer, and whether it was closed by "[DONE]".
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

struct AnswersFixture
{
    Fleet fleet{FleetShape{.regions = 1, .instances = 2, .models = 3}};

    void restart(const std::string &entry)
    {
        fleet.stop(entry, SIGKILL);
        fleet.start(entry);
        fleet.waitReady(entry);
    }

    void allModels(const std::string &mode)
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

TEST_CASE_METHOD(AnswersFixture, "response_ofAHealthyEngine_isCompleteAndIdentified")
{
    bool done = false;
    const Reply streamed = fleet.chat("a1", true, 12);
    CHECK(streamedText(streamed.body, done) == wholeText(12));
    CHECK(done);
    const Reply whole = fleet.chat("a2", false, 12);
    CHECK(nlohmann::json::parse(whole.body)["choices"][0]["message"]["content"] == wholeText(12));
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

// What the caller sees: its whole answer. In what order: one engine hangs, crosses answers, cuts
// them, closes, refuses or fails. Why: nothing is passed on before it is known to be ours, so the
// request can go to another engine.
TEST_CASE_METHOD(AnswersFixture, "response_oneFaultyEngine_comesCompleteFromAnother")
{
    for (const char *mode : {"hang", "cross", "truncate", "drop", "refuse", "error"}) {
        INFO(mode);
        fleet.setFault("a-m1", mode);
        for (int i = 0; i < 6; ++i) {
            const Reply reply = fleet.chat("a1", false, 6, std::string(mode) + std::to_string(i));
            CHECK(reply.code == code(ResultCode::served));
            CHECK(nlohmann::json::parse(reply.body)["choices"][0]["message"]["content"]
                  == wholeText(6));
        }
        fleet.setFault("a-m1", "none");
        // Budget and ejections start afresh for the next kind of failure.
        restart("a1");
    }
}

// What the caller sees: never a short or foreign answer that looks whole. In what order: all
// engines fail in the same way, some after the first tokens were passed on. Why: a stream that was
// cut ends with an error event and without the last chunk.
TEST_CASE_METHOD(AnswersFixture, "response_allEnginesFaulty_neverLooksComplete")
{
    for (const char *mode : {"cross", "truncate", "drop", "silent", "error"}) {
        // A fresh instance: one that had ejected all engines by now would refuse, truly, with "not
        // run", and nothing of this failure would be tried.
        restart("a2");
        allModels(mode);
        for (const bool stream : {true, false}) {
            INFO(mode << (stream ? " streamed" : " whole"));
            if (std::string(mode) == "silent" && !stream)
                continue; // a whole answer has no middle to go silent in
            const Reply reply
                = fleet.chat("a2", stream, 6, std::string(mode) + (stream ? "s" : "w"));
            bool done = false;
            const std::string text = streamedText(reply.body, done);
            CHECK_FALSE(done);
            CHECK(wholeText(6).rfind(text, 0) == 0);
            if (reply.isComplete) {
                CHECK(reply.status >= 400);
                CHECK(reply.runState == "unknown");
            } else {
                CHECK(reply.body.find("\"error\"") != std::string::npos);
            }
        }
    }
}

TEST_CASE_METHOD(AnswersFixture, "refusal_allEnginesRefuse_reportsNotRunAndRetryAfter")
{
    allModels("refuse");
    const Reply reply = fleet.chat("a1", false);
    CHECK(reply.runState == "not run");
    CHECK(reply.retryAfter > 0);
}

// What the caller sees: "unknown", not "not run". In what order: the first engine takes the request
// and breaks off, the others refuse it. Why: a refusal is true of the whole request or not given.
TEST_CASE_METHOD(AnswersFixture, "refusal_afterAnAttemptThatMayHaveRun_neverReportsNotRun")
{
    allModels("refuse");
    for (const char *name : {"a-m1", "a-m2", "a-m3"})
        fleet.setFault(name, "drop", 1);
    const Reply reply = fleet.chat("a1", false);
    CHECK(reply.runState == "unknown");
}

// The same with an engine that fails without being lost, so that the retry is no trial.
TEST_CASE_METHOD(AnswersFixture, "refusal_ofARetryAfterAServerError_neverReportsNotRun")
{
    allModels("refuse");
    fleet.setFault("a-m1", "error");
    int tried = 0;
    for (int i = 0; i < 12; ++i) {
        const Reply reply = fleet.chat("a1", false, 6, "prompt " + std::to_string(i));
        OutgoingRequest request;
        request.url = "http://" + fleet.peers("a1") + "/admin/explain?id=" + reply.requestId;
        std::string steps;
        // The answer is sent before its trace is kept.
        eventually("the request is explained", [&] {
            const Reply explained = fleet.send(request);
            steps = explained.body;
            return explained.status == 200;
        });
        const bool mayHaveRun = steps.find("a-m1: server error") != std::string::npos;
        tried += mayHaveRun ? 1 : 0;
        CHECK(reply.runState == (mayHaveRun ? "unknown" : "not run"));
    }
    CHECK(tried > 0);
}

// What the caller sees: an answer at its deadline at the latest. Why: a request that is given up on
// is answered at once.
TEST_CASE_METHOD(AnswersFixture, "refusal_atTheDeadline_isSentAtOnce")
{
    allModels("hang");
    OutgoingRequest request = fleet.chatRequest("a1", false, 6, "late", "free-token");
    request.headers.add("X-Request-Timeout-Ms", "700");
    const Reply reply = fleet.send(request);
    CHECK(reply.runState == "unknown");
    CHECK(reply.code == code(ResultCode::deadlineExceeded));
}

TEST_CASE_METHOD(AnswersFixture, "badInput_ofEachKind_hasItsResultCode")
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
    const Headers good{{"Authorization", "Bearer free-token"}};
    Headers late = good;
    late.add("X-Request-Deadline", "1000");
    Headers odd = good;
    odd.add("X-Request-Timeout-Ms", "soon");
    Headers keyed = good;
    keyed.add("Idempotency-Key", "42");
    const std::string chat = "/v1/chat/completions";
    const std::string body = "{\"model\":\"m\",\"messages\":[]}";
    CHECK(send(chat, "{\"model\":", good) == code(ResultCode::malformedRequest));
    CHECK(send(chat, "{\"model\":\"m\",\"messages\":[],\"stream\":3}", good)
          == code(ResultCode::malformedRequest));
    CHECK(send(chat, "\xff\xfe", good) == code(ResultCode::malformedRequest));
    CHECK(send(chat, "{\"model\":\"x\",\"messages\":[]}", good) == code(ResultCode::unknownModel));
    CHECK(send(chat, body, {}) == code(ResultCode::unknownCustomer));
    CHECK(send(chat, body, {{"Authorization", "Bearer wrong"}})
          == code(ResultCode::unknownCustomer));
    CHECK(send(chat, std::string(2 << 20, ' '), good) == code(ResultCode::bodyTooLarge));
    CHECK(send(chat, body, late) == code(ResultCode::deadlinePassed));
    CHECK(send(chat, body, odd) == code(ResultCode::malformedRequest));
    CHECK(send("/v1/services/order", "{}", good) == code(ResultCode::bookingKeyMissing));
    CHECK(send("/v1/services/order", "{}", keyed) == code(ResultCode::bookingKeyForm));
    CHECK(send("/v1/services/nothing", "{}", good) == code(ResultCode::unknownService));
    CHECK(send("/v1/services/order", "", good, "GET") == code(ResultCode::malformedRequest));
    CHECK(send("/nowhere", "", good) == code(ResultCode::noSuchPath));
    CHECK(send("/admin/status", "", good, "GET") == code(ResultCode::noSuchPath));
    CHECK(fleet.chat("a1", false).code == code(ResultCode::served));
}

// What other callers see: nothing. In what order: some callers send half a request, others open
// connections and stay silent. Why: a connection that sends nothing holds no thread.
TEST_CASE_METHOD(AnswersFixture, "badInput_incompleteAndIdleConnections_dontAffectOthers")
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

// What the caller sees: one error, then refusals wherever it sends; other callers see nothing. In
// what order: a request ends the process of each engine that runs it, and its caller sends it
// again through every instance. Why: crash marks are shared at once, and two is the limit.
TEST_CASE_METHOD(AnswersFixture, "crashingRequest_sentToEveryInstance_crashesAtMostTwoEngines")
{
    for (int i = 0; i < 8; ++i) {
        const Reply reply = fleet.chat(i % 2 == 0 ? "a1" : "a2", false, 6, "crash-this-engine");
        CHECK(reply.code != code(ResultCode::served));
    }
    int left = 0;
    for (const char *name : {"a-m1", "a-m2", "a-m3"})
        left += fleet.isRunning(name) ? 1 : 0;
    CHECK(left >= 1);
    CHECK(fleet.chat("a1", false, 6, "a sound request").code == code(ResultCode::served));
    CHECK(fleet.chat("a2", false, 6, "crash-this-engine").code == code(ResultCode::quarantined));
}

// What the caller sees: as above. In what order: the same, but each engine that was lost is running
// again at once, so that it looks as if it had never gone. Why: an engine that answers again clears
// the request only if it is the same run of it.
TEST_CASE_METHOD(AnswersFixture, "crashingRequest_enginesRestartAtOnce_causesAtMostTwoCrashes")
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

// What callers see: errors for the copies, answers for all else. In what order: copies of one such
// request arrive at both instances at the same moment. Why: copies share a prefix, so they meet on
// the same engine; then the marks of both instances name it.
TEST_CASE_METHOD(AnswersFixture, "crashingRequest_simultaneousCopies_crashAtMostTwoEngines")
{
    std::vector<std::future<Reply>> copies;
    for (int i = 0; i < 6; ++i)
        copies.push_back(std::async(std::launch::async, [this, i] {
            return fleet.chat(i % 2 == 0 ? "a1" : "a2", false, 6, "crash-this-engine");
        }));
    for (auto &copy : copies)
        CHECK(copy.get().code != code(ResultCode::served));
    int left = 0;
    for (const char *name : {"a-m1", "a-m2", "a-m3"})
        left += fleet.isRunning(name) ? 1 : 0;
    CHECK(left >= 1);
}

// What the caller sees: its stream to the end. In what order: an instance is told to stop while it
// serves streams. Why: it takes nothing new, finishes what it has, then exits.
TEST_CASE_METHOD(AnswersFixture, "plannedStop_underLoad_completesAllStreams")
{
    std::vector<std::future<Reply>> streams;
    for (int i = 0; i < 12; ++i)
        streams.push_back(std::async(std::launch::async, [this, i] {
            return fleet.chat("a1", true, 200, "stream " + std::to_string(i));
        }));
    eventually("all streams are under way", [&] {
        return fleet.adminStatus("a1").find("\"inFlight\":12,") != std::string::npos;
    });
    CHECK(fleet.stop("a1", SIGTERM) == 0);
    for (auto &stream : streams) {
        const Reply reply = stream.get();
        bool done = false;
        CHECK(streamedText(reply.body, done) == wholeText(200));
        CHECK(done);
        CHECK(reply.isComplete);
    }
    OutgoingRequest request;
    request.url = "http://" + fleet.callers("a2") + "/v1/entries";
    request.headers = {{"Authorization", "Bearer free-token"}};
    eventually("callers are not pointed at it",
               [&] { return fleet.send(request).body.find("\"a1\"") == std::string::npos; });
}

// What callers see: nothing. In what order: an engine says that it is leaving; it runs what it has.
// Why: its own word, seen by any instance, is passed on at once.
TEST_CASE_METHOD(AnswersFixture, "drainingEngine_afterItsOwnReport_getsNoNewRequests")
{
    fleet.setFault("a-m1", "leaving");
    for (const char *entry : {"a1", "a2"})
        eventually("it is known",
                   [&] { return fleet.adminStatus(entry).find("leaving") != std::string::npos; });
    for (int i = 0; i < 40; ++i) {
        const Reply reply
            = fleet.chat(i % 2 == 0 ? "a1" : "a2", false, 2, "prompt " + std::to_string(i));
        CHECK(reply.code == code(ResultCode::served));
        CHECK(reply.servedBy.find("a-m1") == std::string::npos);
    }
}

TEST_CASE_METHOD(AnswersFixture, "drainingEngine_inThePlatformsList_getsNoNewRequests")
{
    std::promise<StoreWrite> written;
    fleet.store().compareAndSet("platform/instances", 0,
                                "{\"leaving\":[{\"name\":\"a-m2\",\"sinceMs\":9999999999999}]}",
                                [&](const StoreWrite &write) { written.set_value(write); });
    CHECK(written.get_future().get().status == StoreStatus::ok);
    for (const char *entry : {"a1", "a2"})
        eventually("it is known",
                   [&] { return fleet.adminStatus(entry).find("leaving") != std::string::npos; });
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.chat("a1", false, 2, std::to_string(i)).servedBy.find("a-m2")
              == std::string::npos);
}

// What callers see: one late answer at most each, then none. In what order: engines freeze with
// requests on open connections. Why: a request that makes no progress moves on to another engine,
// on a new connection, and the frozen engine gets no more.
TEST_CASE_METHOD(AnswersFixture, "stalledEngine_withOpenConnections_isNotUsed")
{
    for (int i = 0; i < 9; ++i)
        fleet.chat("a1", false, 2, std::to_string(i));
    fleet.signal("a-m1", SIGSTOP);
    for (int i = 0; i < 9; ++i)
        CHECK(fleet.chat("a1", false, 2, std::to_string(i)).code == code(ResultCode::served));
    fleet.signal("a-m1", SIGCONT);
}
