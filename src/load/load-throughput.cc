// Measured load through an entry instance against direct calls, and memory of open connections.
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <mutex>
#include <thread>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include "ibisnotch/process-settings.h"
#include "load.h"

namespace ibisnotch {

namespace {

struct Sample
{
    double first = 0;
    double total = 0;
    bool good = false;
};

class TimingSink final : public ResponseSink
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
        m_sample.good = result.outcome == TransferOutcome::complete && m_status == 200;
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

} // namespace

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

} // namespace ibisnotch
