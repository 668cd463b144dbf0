// Simulates the platform's key-value store for tests. It implements the part of Consul's HTTP
// interface that the system uses. A control request injects a fault:
//   PUT /standin/fault?mode=MODE[&count=N]
// MODE is one of:
//   none
//   down         requests get no response; their connections stay open until the mode is set again
//   refuse       requests are rejected with 429
//   loseAnswers  writes take effect, but their connections are closed without a response
//   late         as loseAnswers, but the writes take effect 1.5 s later
//   slow         each response is delayed by 300 ms
// With a count, the fault ends after that number of calls.
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <vector>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include "ibisnotch/http-client.h"
#include "ibisnotch/http-server.h"
#include "ibisnotch/random.h"
#include "standin-fault.h"

using namespace ibisnotch;
using nlohmann::json;

namespace {

constexpr std::size_t maxValueBytes = 1U << 20;

enum class Fault { none, down, refuse, loseAnswers, late, slow };

struct Value
{
    std::string bytes;
    std::uint64_t index = 0; // Consul's ModifyIndex
    std::string session; // session that holds the key as a lock; empty if none
};

struct Session
{
    Duration ttl{};
    TimePoint expiresAt;
};

// A blocking read of a key.
struct Watch
{
    std::string key;
    std::uint64_t afterIndex = 0; // the read waits for a modification index above this one
    std::shared_ptr<Responder> responder;
};

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

class FakeStore final : public RequestHandler
{
public:
    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override
    {
        if (request.path.rfind("/standin/", 0) == 0)
            return handleControl(request, *responder);
        const Fault fault = m_faults.nextFault();
        ++m_calls;
        const bool isWrite = request.method != "GET";
        switch (fault) {
        case Fault::down:
            holdOpen(responder);
            return;
        case Fault::refuse:
            responder->reply(jsonResponse(429, "rate limit"));
            return;
        case Fault::loseAnswers:
            if (!isWrite)
                return serve(request, responder);
            serve(request, std::make_shared<DiscardingResponder>());
            return closeWithoutResponse(responder);
        case Fault::late:
            if (!isWrite)
                return serve(request, responder);
            m_timerClient.postAfter(std::chrono::milliseconds(1500), [this, request] {
                serve(request, std::make_shared<DiscardingResponder>());
            });
            return closeWithoutResponse(responder);
        case Fault::slow:
            m_timerClient.postAfter(std::chrono::milliseconds(300),
                                    [this, request, responder] { serve(request, responder); });
            return;
        case Fault::none:
            serve(request, responder);
        }
    }

private:
    // Takes the place of a caller's responder for a write whose response the fault suppresses.
    class DiscardingResponder final : public Responder
    {
    public:
        void reply(HttpResponse) override { }
        void start(int, const Headers &) override { }
        void write(std::string) override { }
        void finish() override { }
        void abort() override { }
        bool isClosed() const override { return true; }
        void setClosedHandler(std::function<void()>) override { }
        std::size_t pendingBytes() const override { return 0; }
    };

    static void closeWithoutResponse(const std::shared_ptr<Responder> &responder)
    {
        responder->abort();
    }

    void holdOpen(std::shared_ptr<Responder> responder)
    {
        const std::lock_guard lock(m_mutex);
        m_held.push_back(std::move(responder));
    }

    void handleControl(const HttpRequest &request, Responder &responder)
    {
        if (request.path == "/standin/calls")
            return responder.reply(jsonResponse(200, std::to_string(m_calls.load())));
        const auto fault = m_faults.set(request);
        if (!fault)
            return responder.reply(jsonResponse(400, "unknown mode"));
        const std::lock_guard lock(m_mutex);
        // Requests held by the mode "down" end with a closed connection.
        for (const auto &held : m_held)
            held->abort();
        m_held.clear();
        responder.reply(jsonResponse(200, "{}"));
    }

    void serve(const HttpRequest &request, const std::shared_ptr<Responder> &responder)
    {
        const std::lock_guard lock(m_mutex);
        expireSessions();
        const std::string keyPrefix = "/v1/kv/";
        if (request.path == "/v1/txn")
            return transaction(request, *responder);
        if (request.path == "/v1/session/create")
            return createSession(request, *responder);
        if (request.path.rfind("/v1/session/renew/", 0) == 0)
            return renewSession(request.path.substr(18), *responder);
        if (request.path.rfind(keyPrefix, 0) != 0)
            return responder->reply(jsonResponse(404, ""));
        const std::string key = request.path.substr(keyPrefix.size());
        if (request.method == "GET")
            return get(key, request, responder);
        if (request.method == "DELETE") {
            m_values.erase(key);
            return responder->reply(jsonResponse(200, "true"));
        }
        put(key, request, *responder);
    }

    void get(const std::string &key, const HttpRequest &request,
             const std::shared_ptr<Responder> &responder)
    {
        std::uint64_t afterIndex = 0;
        (void)absl::SimpleAtoi(queryValue(request.query, "index").value_or("0"), &afterIndex);
        const auto found = m_values.find(key);
        const std::uint64_t index = found == m_values.end() ? 0 : found->second.index;
        if (afterIndex > 0 && index <= afterIndex)
            return addWatch(key, afterIndex, request, responder);
        responder->reply(responseFor(key));
    }

    HttpResponse responseFor(const std::string &key) const
    {
        const auto found = m_values.find(key);
        if (found == m_values.end())
            return jsonResponse(404, "");
        const json body = json::array({{{"Key", key},
                                        {"ModifyIndex", found->second.index},
                                        {"Value", absl::Base64Escape(found->second.bytes)}}});
        HttpResponse response = jsonResponse(200, body.dump());
        response.headers.add("X-Consul-Index", std::to_string(found->second.index));
        return response;
    }

    void addWatch(const std::string &key, std::uint64_t afterIndex, const HttpRequest &request,
                  const std::shared_ptr<Responder> &responder)
    {
        int seconds = 0;
        std::string text = queryValue(request.query, "wait").value_or("30s");
        text.pop_back();
        (void)absl::SimpleAtoi(text, &seconds);
        auto watch = std::make_shared<Watch>(Watch{key, afterIndex, responder});
        m_watches.push_back(watch);
        m_timerClient.postAfter(std::chrono::seconds(seconds), [this, watch] {
            const std::lock_guard lock(m_mutex);
            if (std::erase(m_watches, watch) > 0)
                watch->responder->reply(responseFor(watch->key));
        });
    }

    void notifyWatches(const std::string &key)
    {
        std::erase_if(m_watches, [&](const std::shared_ptr<Watch> &watch) {
            if (watch->key != key)
                return false;
            watch->responder->reply(responseFor(key));
            return true;
        });
    }

    void transaction(const HttpRequest &request, Responder &responder)
    {
        const auto body = json::parse(request.body.text(), nullptr, false);
        if (!body.is_array() || body.size() != 1 || !body[0].contains("KV"))
            return responder.reply(jsonResponse(400, "one KV operation expected"));
        const auto &operation = body[0]["KV"];
        const std::string key = operation.value("Key", "");
        const auto expected = operation.value("Index", std::uint64_t(0));
        std::string bytes;
        absl::Base64Unescape(operation.value("Value", ""), &bytes);
        if (bytes.size() > maxValueBytes)
            return responder.reply(jsonResponse(413, "value too large"));
        const auto found = m_values.find(key);
        const std::uint64_t index = found == m_values.end() ? 0 : found->second.index;
        if (index != expected)
            return responder.reply(
                jsonResponse(409, R"({"Results":null,"Errors":[{"OpIndex":0}]})"));
        m_values[key] = {std::move(bytes), ++m_index, ""};
        const json reply{{"Results", {{{"KV", {{"Key", key}, {"ModifyIndex", m_index}}}}}},
                         {"Errors", nullptr}};
        responder.reply(jsonResponse(200, reply.dump()));
        notifyWatches(key);
    }

    void put(const std::string &key, const HttpRequest &request, Responder &responder)
    {
        const auto session = queryValue(request.query, "acquire");
        const auto found = m_values.find(key);
        if (session) {
            const bool isFree = found == m_values.end() || found->second.session.empty()
                || found->second.session == *session;
            if (!isFree || m_sessions.count(*session) == 0)
                return responder.reply(jsonResponse(200, "false"));
        }
        m_values[key] = {request.body.text(), ++m_index, session.value_or("")};
        responder.reply(jsonResponse(200, "true"));
        notifyWatches(key);
    }

    void createSession(const HttpRequest &request, Responder &responder)
    {
        const auto body = json::parse(request.body.text(), nullptr, false);
        int seconds = 0;
        std::string text = body.is_object() ? body.value("TTL", "10s") : "10s";
        text.pop_back();
        (void)absl::SimpleAtoi(text, &seconds);
        const std::string id = fmt::format("{:016x}", m_random.next());
        m_sessions[id]
            = {std::chrono::seconds(seconds), m_clock.now() + std::chrono::seconds(seconds)};
        responder.reply(jsonResponse(200, json{{"ID", id}}.dump()));
    }

    void renewSession(const std::string &id, Responder &responder)
    {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end())
            return responder.reply(jsonResponse(404, ""));
        found->second.expiresAt = m_clock.now() + found->second.ttl;
        responder.reply(jsonResponse(200, json::array({{{"ID", id}}}).dump()));
    }

    // Removes expired sessions together with the keys that they hold.
    void expireSessions()
    {
        const TimePoint now = m_clock.now();
        std::erase_if(m_sessions, [&](const auto &session) {
            if (session.second.expiresAt > now)
                return false;
            std::erase_if(m_values,
                          [&](const auto &value) { return value.second.session == session.first; });
            return true;
        });
    }

    SystemClock m_clock;
    Random m_random{randomSeed()};
    std::mutex m_mutex;
    std::map<std::string, Value> m_values;
    std::map<std::string, Session> m_sessions;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::vector<std::shared_ptr<Responder>> m_held; // of requests received in the mode "down"
    std::uint64_t m_index = 10; // index of the last modification
    FaultSwitch<Fault> m_faults{{{"none", Fault::none},
                                 {"down", Fault::down},
                                 {"refuse", Fault::refuse},
                                 {"loseAnswers", Fault::loseAnswers},
                                 {"late", Fault::late},
                                 {"slow", Fault::slow}}};
    std::atomic<std::uint64_t> m_calls = 0;
    HttpClient m_timerClient; // sends no requests; only its event loop is used, for timers
};

} // namespace

int main(int argc, const char **argv)
{
    int port = 0;
    const poptOption options[]
        = {{"port", 'p', POPT_ARG_INT, &port, 0, "port on 127.0.0.1", "PORT"},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    while (poptGetNextOpt(context) > 0) { }
    poptFreeContext(context);
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGINT);
    sigaddset(&stopSignals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    auto store = std::make_unique<FakeStore>();
    HttpServerSettings settings;
    settings.port = static_cast<std::uint16_t>(port);
    HttpLoop loop(2);
    HttpServer server(settings, *store, loop);
    int signal = 0;
    sigwait(&stopSignals, &signal);
    loop.stop();
    store.reset();
    return 0;
}
