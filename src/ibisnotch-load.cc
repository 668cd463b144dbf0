// Sends requests to a running system: a demonstration of each kind, or a measured load.
//
//   ibisnotch-load demo --entry IP:PORT
//   ibisnotch-load run --entry IP:PORT --engine IP:PORT [--concurrency N] [--seconds N]
//   ibisnotch-load idle|streams --entry IP:PORT --connections N --pid PID
//   ibisnotch-load bookings --entry IP:PORT --engine IP:PORT --store IP:PORT [--count N]
//   ibisnotch-load inforce --store IP:PORT --entries IP:PORT,... [--count N]
//   ibisnotch-load leaving --entries IP:PORT,... --engine IP:PORT [--count N]
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

#include <absl/strings/str_split.h>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include "ibisnotch/booking.h"
#include "ibisnotch/config-admin.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/process-settings.h"
#include "ibisnotch/store.h"

using namespace ibisnotch;

namespace {

constexpr int exitUsage = 1;
constexpr int exitFailed = 2;

struct Options
{
    std::string command;
    std::string entry;
    std::string engine;
    std::string kind = "stream";
    int concurrency = 32;
    int seconds = 5;
    int connections = 1000;
    int tokens = 16;
    int pid = 0;
    int count = 200;
    std::string store;
    std::vector<std::string> entries;
};

std::string chatBody(const std::string &model, const std::string &text, bool stream, int tokens)
{
    return nlohmann::json{{"model", model},
                          {"stream", stream},
                          {"max_tokens", tokens},
                          {"messages", {{{"role", "user"}, {"content", text}}}}}
        .dump();
}

OutgoingRequest chat(const std::string &address, const std::string &token,
                     const std::string &service, const std::string &body)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + address + "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + token},
                       {"Content-Type", "application/json"},
                       {"X-Service", service},
                       {"X-Request-Id", "direct"}};
    request.body = body;
    return request;
}

OutgoingRequest call(const std::string &address, const std::string &token,
                     const std::string &method, const std::string &service, const std::string &key,
                     const std::string &body)
{
    OutgoingRequest request;
    request.method = method;
    request.url = "http://" + address + "/v1/services/" + service;
    request.headers = {{"Authorization", "Bearer " + token}, {"Content-Type", "application/json"}};
    if (!key.empty())
        request.headers.add("Idempotency-Key", key);
    request.body = body;
    return request;
}

std::string field(const WholeAnswer &answer, const char *name)
{
    return answer.response.headers.get(name).value_or("-");
}

class Demo
{
public:
    explicit Demo(std::string entry) : m_entry(std::move(entry)) { }

    int run()
    {
        if (!askForEntries())
            return exitFailed;
        SystemClock clock;
        Random random(randomSeed());
        const std::string ownKey = makeCallerKey(clock.wallNow(), random);
        const std::string rider = "{\"item\":\"hot meals\",\"count\":12}";
        show("digest, streamed",
             chat(m_entry, "arena-token", "rider-digest",
                  chatBody("digest-7b", "Full rider and venue notes.", true, 12)));
        show("dressing-room note",
             chat(m_entry, "arena-token", "dressing-note",
                  chatBody("note-1b", "Towels for room 3?", false, 8)));
        show("booking, caller's key",
             call(m_entry, "arena-token", "POST", "order-commit", ownKey, rider));
        show("the same, sent again",
             call(m_entry, "arena-token", "POST", "order-commit", ownKey, rider));
        show("booking, issued key",
             call(m_entry, "arena-token", "POST", "order-commit", m_key, rider));
        show("the same, elsewhere",
             call(m_other, "arena-token", "POST", "order-commit", m_key, rider));
        show("status read", call(m_entry, "castle-token", "GET", "status-read", "", ""));
        show("delivery schedule",
             chat(m_entry, "clinic-token", "delivery-schedule",
                  chatBody("digest-7b", "Standing schedule.", true, 12)));
        show("refill order",
             call(m_entry, "clinic-token", "POST", "refill-order",
                  makeCallerKey(clock.wallNow(), random), "{\"dewar\":7}"));
        show("stock lookup", call(m_entry, "clinic-token", "GET", "stock-lookup", "", ""));
        return m_failed ? exitFailed : 0;
    }

private:
    bool askForEntries()
    {
        OutgoingRequest request;
        request.url = "http://" + m_entry + "/v1/entries?keys=1";
        request.headers = {{"Authorization", "Bearer arena-token"}};
        const WholeAnswer answer = sendAndWait(m_client, request);
        const auto body = nlohmann::json::parse(answer.response.body, nullptr, false);
        if (!body.is_object() || !body.contains("instances") || body["instances"].empty()
            || body["booking_keys"].empty()) {
            fmt::print("no list of entry instances: {}\n", answer.response.body);
            return false;
        }
        fmt::print("entry instances to use, for {} ms:\n", body["lifetime_ms"].dump());
        for (const auto &instance : body["instances"])
            fmt::print("  {} in {} at {}\n", instance["name"].get<std::string>(),
                       instance["region"].get<std::string>(),
                       instance["address"].get<std::string>());
        m_key = body["booking_keys"][0];
        m_other = body["instances"].back()["address"];
        for (const auto &instance : body["instances"]) {
            if (instance["address"] != m_entry)
                m_other = instance["address"];
        }
        return true;
    }

    void show(const std::string &what, const OutgoingRequest &request)
    {
        const WholeAnswer answer = sendAndWait(m_client, request);
        const std::string &body = answer.response.body;
        std::size_t events = 0;
        for (std::size_t at = body.find("data: "); at != std::string::npos;
             at = body.find("data: ", at + 1))
            ++events;
        const bool whole = answer.result.end == TransferEnd::complete;
        fmt::print("{:<22} status {} result {} ({}) by {}{} request {}\n", what,
                   answer.response.status, field(answer, "X-Result-Code"),
                   field(answer, "X-Run-State"), field(answer, "X-Served-By"),
                   events > 0 ? fmt::format(", {} events", events) : "",
                   field(answer, "X-Request-Id"));
        if (!whole || answer.response.status != 200) {
            fmt::print("  {}\n", body);
            m_failed = true;
        }
    }

    std::string m_entry;
    std::string m_other;
    std::string m_key;
    HttpClient m_client;
    bool m_failed = false;
};

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

struct Sample
{
    double first = 0;
    double total = 0;
    bool good = false;
};

class TimingSink final : public AnswerSink
{
public:
    explicit TimingSink(std::function<void(const Sample &)> done) : m_done(std::move(done)) { }
    bool onHead(int status, const Headers &) override
    {
        m_status = status;
        return true;
    }
    bool onData(std::string_view) override
    {
        if (m_sample.first == 0)
            m_sample.first = secondsSince(m_start);
        return true;
    }
    void onEnd(const TransferResult &result) override
    {
        m_sample.total = secondsSince(m_start);
        m_sample.good = result.end == TransferEnd::complete && m_status == 200;
        m_done(m_sample);
    }

private:
    std::function<void(const Sample &)> m_done;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    Sample m_sample;
    int m_status = 0;
};

// A closed loop: so many requests are always under way.
class ClosedLoop
{
public:
    ClosedLoop(std::function<OutgoingRequest(int)> make, int concurrency, int seconds)
        : m_make(std::move(make)), m_concurrency(concurrency), m_seconds(seconds)
    {
    }

    std::vector<Sample> run()
    {
        m_start = std::chrono::steady_clock::now();
        for (int i = 0; i < m_concurrency; ++i)
            next(i);
        std::unique_lock lock(m_mutex);
        m_over.wait(lock, [this] { return m_running == 0; });
        return m_samples;
    }

private:
    void next(int lane)
    {
        ++m_running;
        m_clients[lane % 2].send(m_make(m_count++),
                                 std::make_shared<TimingSink>([this, lane](const Sample &sample) {
                                     onSample(lane, sample);
                                 }));
    }

    void onSample(int lane, const Sample &sample)
    {
        const bool more = secondsSince(m_start) < m_seconds;
        if (more)
            next(lane);
        const std::lock_guard lock(m_mutex);
        m_samples.push_back(sample);
        if (--m_running == 0)
            m_over.notify_all();
    }

    std::function<OutgoingRequest(int)> m_make;
    int m_concurrency;
    int m_seconds;
    std::chrono::steady_clock::time_point m_start;
    std::atomic<int> m_count = 0;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::condition_variable m_over;
    std::vector<Sample> m_samples;
    HttpClient m_clients[2];
};

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[at];
}

void report(const std::string &name, const std::vector<Sample> &samples, double seconds)
{
    std::vector<double> first;
    std::vector<double> total;
    std::size_t good = 0;
    for (const Sample &sample : samples) {
        if (!sample.good)
            continue;
        ++good;
        first.push_back(sample.first * 1000);
        total.push_back(sample.total * 1000);
    }
    fmt::print("{:<8} {:>7.0f} requests/s, {} of {} good, first byte 50/95/99% "
               "{:.2f}/{:.2f}/{:.2f} ms, whole {:.2f}/{:.2f}/{:.2f} ms\n",
               name, static_cast<double>(good) / seconds, good, samples.size(),
               quantile(first, 0.5), quantile(first, 0.95), quantile(first, 0.99),
               quantile(total, 0.5), quantile(total, 0.95), quantile(total, 0.99));
}

int runLoad(const Options &options)
{
    const auto bodyOf = [&](int i) {
        return chatBody("note-1b", fmt::format("Prompt family {}.", i % 8),
                        options.kind == "stream", options.tokens);
    };
    const auto through = [&](int i) {
        if (options.kind == "lookup")
            return call(options.entry, "arena-token", "GET", "status-read", "", "");
        return chat(options.entry, "arena-token", "dressing-note", bodyOf(i));
    };
    const auto direct = [&](int i) {
        if (options.kind != "lookup")
            return chat(options.engine, "arena-token", "dressing-note", bodyOf(i));
        OutgoingRequest request;
        request.url = "http://" + options.engine + "/status";
        return request;
    };
    // Both in one run, so that the machine's state is the same for both.
    const auto directSamples = ClosedLoop(direct, options.concurrency, options.seconds).run();
    const auto throughSamples = ClosedLoop(through, options.concurrency, options.seconds).run();
    report("direct", directSamples, options.seconds);
    report("through", throughSamples, options.seconds);
    const auto goodTotals = [](const std::vector<Sample> &samples) {
        std::vector<double> totals;
        for (const Sample &sample : samples) {
            if (sample.good)
                totals.push_back(sample.total);
        }
        return totals;
    };
    for (const double part : {0.5, 0.95, 0.99})
        fmt::print("whole answer, {:.0f}%: through / direct = {:.2f}\n", part * 100,
                   quantile(goodTotals(throughSamples), part)
                       / quantile(goodTotals(directSamples), part));
    return 0;
}

long residentKb(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stol(line.substr(6));
    }
    return 0;
}

// Opens connections that send nothing, or streams that are read slowly, and reports the memory of
// the entry instance's process before and after.
int holdOpen(const Options &options, bool streams)
{
    const auto address = parseAddress(options.entry);
    if (!address.ok())
        return exitUsage;
    asio::io_context io;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->host), address->port);
    const std::string body = chatBody("note-1b", "Hold this stream open.", true, 100000);
    const std::string head
        = fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                      "arena-token\r\nX-Request-Timeout-Ms: 20000\r\nContent-Length: {}\r\n\r\n{}",
                      body.size(), body);
    const long before = residentKb(options.pid);
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < options.connections; ++i) {
        sockets.emplace_back(io);
        sockets.back().connect(endpoint);
        if (streams)
            asio::write(sockets.back(), asio::buffer(head));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const long after = residentKb(options.pid);
    fmt::print("{} {}: {} KB before, {} KB after, {:.2f} KB each\n", options.connections,
               streams ? "open streams" : "idle connections", before, after,
               static_cast<double>(after - before) / options.connections);
    return 0;
}

using Milliseconds = std::vector<double>;

void reportTimes(const std::string &name, const Milliseconds &times)
{
    fmt::print("{}: {} times, 50/95/99/100% {:.1f}/{:.1f}/{:.1f}/{:.1f} ms\n", name, times.size(),
               quantile(times, 0.5), quantile(times, 0.95), quantile(times, 0.99),
               quantile(times, 1));
}

double millisecondsSince(std::chrono::steady_clock::time_point start)
{
    return secondsSince(start) * 1000;
}

long storeCalls(HttpClient &client, const std::string &store)
{
    OutgoingRequest request;
    request.url = "http://" + store + "/standin/calls";
    return std::stol(sendAndWait(client, request).response.body);
}

std::string issueKey(HttpClient &client, const std::string &entry)
{
    OutgoingRequest request;
    request.url = "http://" + entry + "/v1/entries?keys=1";
    request.headers = {{"Authorization", "Bearer arena-token"}};
    const auto body
        = nlohmann::json::parse(sendAndWait(client, request).response.body, nullptr, false);
    return body.value("booking_keys", nlohmann::json::array({""}))[0];
}

// Bookings one after the other, straight to the engine, with callers' keys and with issued keys.
int runBookings(const Options &options)
{
    HttpClient client;
    SystemClock clock;
    Random random(randomSeed());
    for (const std::string way : {"direct", "own key", "issued key"}) {
        Milliseconds times;
        int unknown = 0;
        const long before = storeCalls(client, options.store);
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < options.count; ++i) {
            const std::string key = way == "issued key" ? issueKey(client, options.entry)
                                                        : makeCallerKey(clock.wallNow(), random);
            OutgoingRequest request
                = call(options.entry, "arena-token", "POST", "order-commit", key, "{\"n\":1}");
            if (way == "direct")
                request.url = "http://" + options.engine + "/orders";
            const auto start = std::chrono::steady_clock::now();
            const WholeAnswer answer = sendAndWait(client, std::move(request));
            times.push_back(millisecondsSince(start));
            unknown += field(answer, "X-Run-State") == "unknown" ? 1 : 0;
        }
        // The outcomes are written after the answers.
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const double calls = static_cast<double>(storeCalls(client, options.store) - before);
        reportTimes(way, times);
        fmt::print("  unknown {} of {}, {:.2f} store calls a booking (all callers of the store, "
                   "over {:.1f} s)\n",
                   unknown, options.count, calls / options.count, secondsSince(begin));
    }
    return 0;
}

nlohmann::json statusOf(HttpClient &client, const std::string &peers)
{
    OutgoingRequest request;
    request.url = "http://" + peers + "/admin/status";
    request.limits.total = std::chrono::seconds(2);
    return nlohmann::json::parse(sendAndWait(client, request).response.body, nullptr, false);
}

// Time from a change's acceptance to its being in force on every instance.
int runInForce(const Options &options)
{
    HttpClient client;
    const auto store = makeConsulStore(client, options.store);
    ConfigAdmin admin(*store);
    Milliseconds times;
    for (int i = 0; i < options.count; ++i) {
        auto draft = admin.current()->document.value();
        draft.note = fmt::format("measured change {}", i);
        draft.overlays.begin()->second.text += fmt::format("# {}\n", i);
        const auto accepted = admin.apply(draft, std::nullopt);
        if (!accepted.ok())
            return exitFailed;
        const auto start = std::chrono::steady_clock::now();
        for (const std::string &entry : options.entries) {
            while (statusOf(client, entry).value("configVersion", std::uint64_t(0))
                   < accepted->version)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        times.push_back(millisecondsSince(start));
    }
    reportTimes("accepted to in force everywhere", times);
    return 0;
}

// Time from an engine's word that it is leaving to the moment when every instance of its region
// sends it nothing more.
int runLeaving(const Options &options)
{
    HttpClient client;
    const auto setMode = [&](const std::string &mode) {
        OutgoingRequest request;
        request.method = "PUT";
        request.url = "http://" + options.engine + "/standin/fault?mode=" + mode;
        sendAndWait(client, std::move(request));
    };
    const auto leavingKnown = [&](const std::string &entry) {
        const auto status = statusOf(client, entry);
        for (const auto &server : status.value("servers", nlohmann::json::array())) {
            if (server["address"] == options.engine)
                return server["status"] == "leaving";
        }
        return false;
    };
    const auto start = std::chrono::steady_clock::now();
    setMode("leaving");
    for (const std::string &entry : options.entries) {
        while (!leavingKnown(entry))
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        fmt::print("{} knows after {:.0f} ms\n", entry, millisecondsSince(start));
    }
    return 0;
}

Options parseOptions(int argc, const char **argv)
{
    Options options;
    char *entry = nullptr;
    char *engine = nullptr;
    char *kind = nullptr;
    char *store = nullptr;
    char *entries = nullptr;
    const poptOption table[] = {
        {"entry", 0, POPT_ARG_STRING, &entry, 0, "an entry instance", "IP:PORT"},
        {"engine", 0, POPT_ARG_STRING, &engine, 0, "a backend server to call directly", "IP:PORT"},
        {"store", 0, POPT_ARG_STRING, &store, 0, "the platform's store", "IP:PORT"},
        {"entries", 0, POPT_ARG_STRING, &entries, 0, "peers' ports", "IP:PORT,..."},
        {"count", 0, POPT_ARG_INT, &options.count, 0, "bookings or changes", "N"},
        {"kind", 0, POPT_ARG_STRING, &kind, 0, "stream, whole or lookup", "KIND"},
        {"concurrency", 0, POPT_ARG_INT, &options.concurrency, 0, "requests under way", "N"},
        {"seconds", 0, POPT_ARG_INT, &options.seconds, 0, "length of the run", "N"},
        {"connections", 0, POPT_ARG_INT, &options.connections, 0, "connections held", "N"},
        {"tokens", 0, POPT_ARG_INT, &options.tokens, 0, "tokens of an answer", "N"},
        {"pid", 0, POPT_ARG_INT, &options.pid, 0, "process of the entry instance", "PID"},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "demo|run|idle|streams|bookings|inforce|leaving");
    while (poptGetNextOpt(context) > 0) { }
    if (const char *word = poptGetArg(context))
        options.command = word;
    options.entry = entry == nullptr ? "" : entry;
    options.engine = engine == nullptr ? "" : engine;
    options.kind = kind == nullptr ? options.kind : kind;
    options.store = store == nullptr ? "" : store;
    if (entries != nullptr)
        options.entries = absl::StrSplit(entries, ',');
    free(store);
    free(entries);
    free(entry);
    free(engine);
    free(kind);
    poptFreeContext(context);
    return options;
}

} // namespace

int main(int argc, const char **argv)
{
    const Options options = parseOptions(argc, argv);
    if (options.command == "demo")
        return Demo(options.entry).run();
    if (options.command == "run")
        return runLoad(options);
    if (options.command == "idle" || options.command == "streams")
        return holdOpen(options, options.command == "streams");
    if (options.command == "bookings")
        return runBookings(options);
    if (options.command == "inforce")
        return runInForce(options);
    if (options.command == "leaving")
        return runLeaving(options);
    fmt::print(stderr, "unknown command; see --help\n");
    return exitUsage;
}
