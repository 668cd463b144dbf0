// Simulates a model engine or an application engine for tests.
//
// As a model engine it serves POST /v1/chat/completions in the OpenAI format, with a number of
// slots, a prompt prefix cache and a fixed time per token. As an application engine it serves any
// other path; a POST counts as a booking under its Idempotency-Key. Both publish /metrics in the
// Prometheus text format and accept placement orders at POST /v1/placement.
//
// PUT /standin/fault?mode=MODE[&count=N] injects a fault, for N calls if a count is given:
//   none
//   hang      sends no response and keeps the connection open
//   silent    stops in the middle of the response and keeps the connection open
//   truncate  ends the response early, but without a transport error
//   cross     sends the request id of another request
//   drop      runs the request and closes the connection; a stream is cut in the middle
//   refuse    responds with 503 and X-Not-Run, without running the request
//   error     responds with 500
//   leaving   reports that the engine is draining, and still serves requests
//
// A request body that contains EngineSettings::poison ends the process at once, as a crash would.
#include <atomic>
#include <csignal>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <unordered_map>

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <unistd.h>

#include "ibisnotch/hash.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/http-server.h"
#include "standin-fault.h"

using namespace ibisnotch;
using nlohmann::json;

namespace {

constexpr std::size_t cachedPrefixBytes = 512;
constexpr int cachedPromptSpeedup = 8; // how many times faster a cached prompt is

enum class Fault { none, hang, silent, truncate, cross, drop, refuse, error, leaving };

struct EngineSettings
{
    int port = 0;
    int slots = 8; // requests that run at the same time
    int tokenMs = 5;
    int promptMs = 40; // for a prompt that is not cached
    int runMs = 10; // for a call of an application engine
    int cacheEntries = 64;
    int checkFencing = 0; // 1 to reject placement orders with an outdated fencing token
    std::string name = "engine";
    std::string model = "";
    std::string poison = "crash-this-engine"; // text in a request body that ends the process
};

struct Job
{
    HttpRequest request;
    std::shared_ptr<Responder> responder;
    std::string requestId;
    Fault fault = Fault::none;
    bool streaming = false;
    int tokens = 16; // tokens to generate
    int sentTokens = 0;
};

using JobPtr = std::shared_ptr<Job>;

HttpResponse makeResponse(const Job &job, int status, std::string contentType, std::string body)
{
    return {
        status, {{"Content-Type", std::move(contentType)}, {"X-Request-Id", job.requestId}}, body};
}

std::string tokenText(int index)
{
    return fmt::format("word{} ", index);
}

std::string streamEvent(const std::string &id, const std::string &text, bool isLast)
{
    json choice{{"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}};
    if (isLast) {
        choice["delta"] = json::object();
        choice["finish_reason"] = "stop";
    }
    return "data: "
        + json{{"id", id}, {"object", "chat.completion.chunk"}, {"choices", json::array({choice})}}
              .dump()
        + "\n\n";
}

class FakeEngine final : public RequestHandler
{
public:
    explicit FakeEngine(EngineSettings settings) : m_settings(std::move(settings)) { }

    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override
    {
        if (request.path.rfind("/standin/", 0) == 0)
            return handleControl(request, *responder);
        if (request.path == "/metrics" || request.path == "/health")
            return reportStatus(request, *responder);
        if (request.path == "/v1/placement")
            return handlePlacement(request, *responder);
        if (request.path == "/v1/models")
            return responder->reply({200, {}, modelsPage()});
        auto job = std::make_shared<Job>();
        job->requestId = request.headers.get("X-Request-Id").value_or("");
        job->request = std::move(request);
        job->responder = std::move(responder);
        m_loop.post([this, job] { submit(job); });
    }

private:
    void submit(const JobPtr &job)
    {
        if (job->request.body.text().find(m_settings.poison) != std::string::npos)
            _exit(134); // the exit code that a shell reports after abort()
        job->fault = m_faults.nextFault();
        if (job->fault == Fault::cross)
            job->requestId = "some-other-request";
        if (job->fault == Fault::hang)
            return m_held.push_back(job);
        if (job->fault == Fault::refuse) {
            HttpResponse response = makeResponse(*job, 503, "application/json", "{}");
            response.headers.add("X-Not-Run", "true");
            return job->responder->reply(response);
        }
        if (job->fault == Fault::error)
            return job->responder->reply(makeResponse(*job, 500, "application/json", "{}"));
        m_queue.push_back(job);
        startNext();
    }

    void startNext()
    {
        while (m_running < m_settings.slots && !m_queue.empty()) {
            const JobPtr job = m_queue.front();
            m_queue.pop_front();
            ++m_running;
            runJob(job);
        }
        m_waiting = static_cast<int>(m_queue.size());
    }

    void onJobFinished()
    {
        --m_running;
        startNext();
    }

    void runJob(const JobPtr &job)
    {
        if (job->request.path == "/v1/chat/completions")
            return completeChat(job);
        if (job->request.method == "POST") {
            const std::lock_guard lock(m_mutex);
            ++m_runs[job->request.headers.get("Idempotency-Key").value_or("")];
        }
        m_loop.postAfter(std::chrono::milliseconds(m_settings.runMs), [this, job] {
            if (job->fault == Fault::drop)
                job->responder->abort();
            else
                finishApplicationCall(*job);
            onJobFinished();
        });
    }

    void finishApplicationCall(Job &job)
    {
        if (job.fault == Fault::silent) {
            job.responder->start(200, {{"X-Request-Id", job.requestId}});
            job.responder->write("{\"engine\":");
            m_held.push_back(std::make_shared<Job>(job));
            return;
        }
        const json body{{"engine", m_settings.name},
                        {"path", job.request.path},
                        {"status", job.request.method == "POST" ? "booked" : "ok"}};
        std::string text = body.dump();
        if (job.fault == Fault::truncate)
            text.resize(text.size() / 2);
        job.responder->reply(makeResponse(job, 200, "application/json", text));
    }

    // Returns the time that the prompt takes and adds its prefix to the cache.
    int promptTimeMs(const std::string &body)
    {
        const std::uint64_t prefix = hash64(body.substr(0, cachedPrefixBytes));
        const auto found = m_cacheIndex.find(prefix);
        const bool isCached = found != m_cacheIndex.end();
        if (isCached)
            m_cache.erase(found->second);
        m_cache.push_front(prefix);
        m_cacheIndex[prefix] = m_cache.begin();
        if (static_cast<int>(m_cache.size()) > m_settings.cacheEntries) {
            m_cacheIndex.erase(m_cache.back());
            m_cache.pop_back();
        }
        return isCached ? m_settings.promptMs / cachedPromptSpeedup : m_settings.promptMs;
    }

    void completeChat(const JobPtr &job)
    {
        const auto body = json::parse(job->request.body.text(), nullptr, false);
        job->streaming = body.is_object() && body.value("stream", false);
        job->tokens = body.is_object() ? body.value("max_tokens", 16) : 16;
        m_loop.postAfter(
            std::chrono::milliseconds(promptTimeMs(job->request.body.text())), [this, job] {
                if (job->streaming)
                    return startStream(job);
                m_loop.postAfter(std::chrono::milliseconds(job->tokens * m_settings.tokenMs),
                                 [this, job] { finishCompletion(job); });
            });
    }

    void finishCompletion(const JobPtr &job)
    {
        std::string text;
        for (int i = 0; i < job->tokens; ++i)
            text += tokenText(i);
        const json body{{"id", "chatcmpl-" + job->requestId},
                        {"object", "chat.completion"},
                        {"engine", m_settings.name},
                        {"choices",
                         json::array({{{"index", 0},
                                       {"message", {{"role", "assistant"}, {"content", text}}},
                                       {"finish_reason", "stop"}}})}};
        std::string responseBody = body.dump();
        if (job->fault == Fault::truncate)
            responseBody.resize(responseBody.size() / 2);
        if (job->fault == Fault::drop)
            job->responder->abort();
        else
            job->responder->reply(makeResponse(*job, 200, "application/json", responseBody));
        onJobFinished();
    }

    void startStream(const JobPtr &job)
    {
        job->responder->start(
            200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", job->requestId}});
        nextToken(job);
    }

    void nextToken(const JobPtr &job)
    {
        const std::string id = "chatcmpl-" + job->requestId;
        const bool isHalfSent = job->sentTokens * 2 >= job->tokens;
        if (job->responder->isClosed())
            return onJobFinished();
        if (isHalfSent && job->fault == Fault::drop) {
            job->responder->abort();
            return onJobFinished();
        }
        if (isHalfSent && job->fault == Fault::silent) {
            m_held.push_back(job);
            return onJobFinished();
        }
        if (isHalfSent && job->fault == Fault::truncate) {
            job->responder->finish();
            return onJobFinished();
        }
        if (job->sentTokens >= job->tokens) {
            job->responder->write(streamEvent(id, "", true) + "data: [DONE]\n\n");
            job->responder->finish();
            return onJobFinished();
        }
        job->responder->write(streamEvent(id, tokenText(job->sentTokens++), false));
        m_loop.postAfter(std::chrono::milliseconds(m_settings.tokenMs),
                         [this, job] { nextToken(job); });
    }

    void handleControl(const HttpRequest &request, Responder &responder)
    {
        const std::lock_guard lock(m_mutex);
        if (request.path == "/standin/runs")
            return responder.reply({200, {}, json(m_runs).dump()});
        const auto fault = m_faults.set(request);
        if (!fault)
            return responder.reply({400, {}, "unknown mode"});
        m_leaving = *fault == Fault::leaving;
        responder.reply({200, {}, "{}"});
    }

    void reportStatus(const HttpRequest &request, Responder &responder)
    {
        if (request.path == "/health")
            return responder.reply({m_leaving ? 503 : 200, {}, ""});
        responder.reply({200,
                         {{"Content-Type", "text/plain; version=0.0.4"}},
                         fmt::format("vllm:num_requests_running {}\n"
                                     "vllm:num_requests_waiting {}\n"
                                     "engine_draining {}\n"
                                     "process_start_time_seconds {:.3f}\n",
                                     m_running.load(), m_waiting.load(), m_leaving ? 1 : 0,
                                     static_cast<double>(m_startedMs) / 1000)});
    }

    std::string modelsPage()
    {
        const std::lock_guard lock(m_mutex);
        return json{
            {"object", "list"},
            {"fence", m_fence},
            {"role", m_role},
            {"loads", m_loads},
            {"data",
             json::array(
                 {{{"id", m_settings.model}, {"version", m_version}, {"adapter", m_adapter}}})}}
            .dump();
    }

    void handlePlacement(const HttpRequest &request, Responder &responder)
    {
        const auto order = json::parse(request.body.text(), nullptr, false);
        if (!order.is_object())
            return responder.reply({400, {}, "{}"});
        const std::lock_guard lock(m_mutex);
        const auto fence = order.value("fence", std::uint64_t(0));
        if (m_settings.checkFencing != 0 && fence < m_fence)
            return responder.reply({409, {}, json{{"fence", m_fence}}.dump()});
        m_fence = std::max(m_fence, fence);
        const std::string version = order.value("version", m_version);
        const std::string model = order.value("model", m_settings.model);
        const std::string adapter = order.value("adapter", m_adapter);
        if (version != m_version || model != m_settings.model || adapter != m_adapter)
            ++m_loads;
        m_adapter = adapter;
        m_settings.model = model;
        m_version = version;
        m_role = order.value("role", m_role);
        responder.reply({200, {}, "{}"});
    }

    EngineSettings m_settings;
    std::mutex m_mutex;
    FaultSwitch<Fault> m_faults{{{"none", Fault::none},
                                 {"hang", Fault::hang},
                                 {"silent", Fault::silent},
                                 {"truncate", Fault::truncate},
                                 {"cross", Fault::cross},
                                 {"drop", Fault::drop},
                                 {"refuse", Fault::refuse},
                                 {"error", Fault::error},
                                 {"leaving", Fault::leaving}}};
    std::atomic<bool> m_leaving = false;
    std::map<std::string, int> m_runs; // POST requests run, by idempotency key
    std::uint64_t m_fence = 0; // highest fencing token of a placement order
    std::string m_version = "1";
    std::string m_adapter;
    std::string m_role = "serve";
    int m_loads = 0; // loads of a model, version or adapter by placement orders
    // The members below are accessed only on the event loop, except for the atomics.
    std::deque<JobPtr> m_queue;
    std::vector<JobPtr> m_held; // jobs whose connections stay open without a complete response
    std::atomic<int> m_running = 0;
    std::atomic<int> m_waiting = 0;
    std::list<std::uint64_t> m_cache; // hashes of prompt prefixes, the most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cacheIndex;
    long long m_startedMs = wallMilliseconds(SystemClock().wallNow());
    HttpClient m_loop; // sends no requests; only its event loop is used
};

} // namespace

int main(int argc, const char **argv)
{
    EngineSettings settings;
    char *name = nullptr;
    char *model = nullptr;
    const poptOption options[]
        = {{"port", 'p', POPT_ARG_INT, &settings.port, 0, "port on 127.0.0.1", "PORT"},
           {"name", 'n', POPT_ARG_STRING, &name, 0, "name of this engine", "NAME"},
           {"model", 'm', POPT_ARG_STRING, &model, 0, "model that is loaded", "MODEL"},
           {"slots", 's', POPT_ARG_INT, &settings.slots, 0, "requests run at once", "N"},
           {"token-ms", 0, POPT_ARG_INT, &settings.tokenMs, 0, "time per token", "MS"},
           {"prompt-ms", 0, POPT_ARG_INT, &settings.promptMs, 0, "time per new prompt", "MS"},
           {"run-ms", 0, POPT_ARG_INT, &settings.runMs, 0, "time per application call", "MS"},
           {"check-fencing", 0, POPT_ARG_NONE, &settings.checkFencing, 0,
            "reject placement orders with an old token", nullptr},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    while (poptGetNextOpt(context) > 0) { }
    poptFreeContext(context);
    settings.name = name == nullptr ? settings.name : name;
    settings.model = model == nullptr ? settings.model : model;
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGINT);
    sigaddset(&stopSignals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    auto engine = std::make_unique<FakeEngine>(settings);
    HttpServerSettings http;
    http.port = static_cast<std::uint16_t>(settings.port);
    HttpLoop loop(2);
    HttpServer server(http, *engine, loop);
    int signal = 0;
    sigwait(&stopSignals, &signal);
    loop.stop();
    engine.reset();
    return 0;
}
