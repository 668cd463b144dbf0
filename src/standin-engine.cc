// A small stand-in for a model engine or an application engine.
//
// Model engines answer POST /v1/chat/completions in the OpenAI form, with a number of slots, a
// prompt prefix cache and a fixed time per token. Application engines answer any other path; a POST
// counts as a booking by its Idempotency-Key. Both publish /metrics in the Prometheus text form and
// take placement orders at POST /v1/placement.
//
// PUT /standin/fault?mode=MODE[&count=N] makes it fail:
//   none, hang (no answer), silent (an answer that stops half way and stays open), truncate (an
//   answer that ends early but cleanly), cross (answers carry another request's id), drop (runs the
//   request, then closes without an answer), refuse (503, says that it did not run), error (500),
//   leaving (says so; serves what it has).
// A body that holds the word of --poison ends the process at once.
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

constexpr std::size_t prefixBytes = 512;
constexpr int cachedPromptPart = 8;

enum class Fault { none, hang, silent, truncate, cross, drop, refuse, error, leaving };

struct EngineSettings
{
    int port = 0;
    int slots = 8;
    int tokenMs = 5;
    int promptMs = 40;
    int runMs = 10;
    int cacheEntries = 64;
    int checkFencing = 0;
    std::string name = "engine";
    std::string model = "";
    std::string poison = "crash-this-engine";
};

struct Job
{
    HttpRequest request;
    std::shared_ptr<Responder> responder;
    std::string requestId;
    Fault fault = Fault::none;
    bool streaming = false;
    int tokens = 16;
    int sent = 0;
};

using JobPtr = std::shared_ptr<Job>;

HttpResponse answer(const Job &job, int status, std::string type, std::string body)
{
    return {status, {{"Content-Type", std::move(type)}, {"X-Request-Id", job.requestId}}, body};
}

std::string tokenText(int index)
{
    return fmt::format("word{} ", index);
}

std::string chunk(const std::string &id, const std::string &text, bool last)
{
    json choice{{"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}};
    if (last) {
        choice["delta"] = json::object();
        choice["finish_reason"] = "stop";
    }
    return "data: "
        + json{{"id", id}, {"object", "chat.completion.chunk"}, {"choices", json::array({choice})}}
              .dump()
        + "\n\n";
}

class Engine final : public RequestHandler
{
public:
    explicit Engine(EngineSettings settings) : m_settings(std::move(settings)) { }

    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override
    {
        if (request.path.rfind("/standin/", 0) == 0)
            return control(request, *responder);
        if (request.path == "/metrics" || request.path == "/health")
            return report(request, *responder);
        if (request.path == "/v1/placement")
            return place(request, *responder);
        if (request.path == "/v1/models")
            return responder->reply({200, {}, models()});
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
            _exit(134);
        job->fault = m_faults.take();
        if (job->fault == Fault::cross)
            job->requestId = "some-other-request";
        if (job->fault == Fault::hang)
            return m_held.push_back(job);
        if (job->fault == Fault::refuse) {
            HttpResponse response = answer(*job, 503, "application/json", "{}");
            response.headers.add("X-Not-Run", "true");
            return job->responder->reply(response);
        }
        if (job->fault == Fault::error)
            return job->responder->reply(answer(*job, 500, "application/json", "{}"));
        m_queue.push_back(job);
        startNext();
    }

    void startNext()
    {
        while (m_running < m_settings.slots && !m_queue.empty()) {
            const JobPtr job = m_queue.front();
            m_queue.pop_front();
            ++m_running;
            run(job);
        }
        m_waiting = static_cast<int>(m_queue.size());
    }

    void over()
    {
        --m_running;
        startNext();
    }

    void run(const JobPtr &job)
    {
        if (job->request.path == "/v1/chat/completions")
            return complete(job);
        if (job->request.method == "POST") {
            const std::lock_guard lock(m_mutex);
            ++m_runs[job->request.headers.get("Idempotency-Key").value_or("")];
        }
        m_loop.postAfter(std::chrono::milliseconds(m_settings.runMs), [this, job] {
            if (job->fault == Fault::drop)
                job->responder->abort();
            else
                finishCall(*job);
            over();
        });
    }

    void finishCall(Job &job)
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
        job.responder->reply(answer(job, 200, "application/json", text));
    }

    int promptTime(const std::string &body)
    {
        const std::uint64_t prefix = hash64(body.substr(0, prefixBytes));
        const auto found = m_cacheIndex.find(prefix);
        const bool hit = found != m_cacheIndex.end();
        if (hit)
            m_cache.erase(found->second);
        m_cache.push_front(prefix);
        m_cacheIndex[prefix] = m_cache.begin();
        if (static_cast<int>(m_cache.size()) > m_settings.cacheEntries) {
            m_cacheIndex.erase(m_cache.back());
            m_cache.pop_back();
        }
        return hit ? m_settings.promptMs / cachedPromptPart : m_settings.promptMs;
    }

    void complete(const JobPtr &job)
    {
        const auto body = json::parse(job->request.body.text(), nullptr, false);
        job->streaming = body.is_object() && body.value("stream", false);
        job->tokens = body.is_object() ? body.value("max_tokens", 16) : 16;
        m_loop.postAfter(
            std::chrono::milliseconds(promptTime(job->request.body.text())), [this, job] {
                if (job->streaming)
                    return stream(job);
                m_loop.postAfter(std::chrono::milliseconds(job->tokens * m_settings.tokenMs),
                                 [this, job] { finishWhole(job); });
            });
    }

    void finishWhole(const JobPtr &job)
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
        std::string whole = body.dump();
        if (job->fault == Fault::truncate)
            whole.resize(whole.size() / 2);
        if (job->fault == Fault::drop)
            job->responder->abort();
        else
            job->responder->reply(answer(*job, 200, "application/json", whole));
        over();
    }

    void stream(const JobPtr &job)
    {
        job->responder->start(
            200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", job->requestId}});
        nextToken(job);
    }

    void nextToken(const JobPtr &job)
    {
        const std::string id = "chatcmpl-" + job->requestId;
        const bool half = job->sent * 2 >= job->tokens;
        if (job->responder->isClosed())
            return over();
        if (half && job->fault == Fault::drop) {
            job->responder->abort();
            return over();
        }
        if (half && job->fault == Fault::silent) {
            m_held.push_back(job);
            return over();
        }
        if (half && job->fault == Fault::truncate) {
            job->responder->finish();
            return over();
        }
        if (job->sent >= job->tokens) {
            job->responder->write(chunk(id, "", true) + "data: [DONE]\n\n");
            job->responder->finish();
            return over();
        }
        job->responder->write(chunk(id, tokenText(job->sent++), false));
        m_loop.postAfter(std::chrono::milliseconds(m_settings.tokenMs),
                         [this, job] { nextToken(job); });
    }

    void control(const HttpRequest &request, Responder &responder)
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

    void report(const HttpRequest &request, Responder &responder)
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
                                     static_cast<double>(m_started) / 1000)});
    }

    std::string models()
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

    void place(const HttpRequest &request, Responder &responder)
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
    std::map<std::string, int> m_runs;
    std::uint64_t m_fence = 0;
    std::string m_version = "1";
    std::string m_adapter;
    std::string m_role = "serve";
    int m_loads = 0;
    // Below: on the loop only, but for the atomics.
    std::deque<JobPtr> m_queue;
    std::vector<JobPtr> m_held;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_waiting = 0;
    std::list<std::uint64_t> m_cache;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cacheIndex;
    long long m_started = wallMilliseconds(SystemClock().wallNow());
    HttpClient m_loop;
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
           {"check-fencing", 0, POPT_ARG_NONE, &settings.checkFencing, 0, "refuse old orders",
            nullptr},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    while (poptGetNextOpt(context) > 0) { }
    poptFreeContext(context);
    settings.name = name == nullptr ? settings.name : name;
    settings.model = model == nullptr ? settings.model : model;
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGINT);
    sigaddset(&stops, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    auto engine = std::make_unique<Engine>(settings);
    HttpServerSettings http;
    http.port = static_cast<std::uint16_t>(settings.port);
    HttpLoop loop(2);
    HttpServer server(http, *engine, loop);
    int signal = 0;
    sigwait(&stops, &signal);
    loop.stop();
    engine.reset();
    return 0;
}
