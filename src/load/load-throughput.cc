// Measures the load through an entry instance against direct requests to a backend server, and the
// memory that open connections take.
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
    double firstByte = 0; // seconds until the first byte of the body
    double total = 0; // seconds until the end of the response
    bool isServed = false; // complete, with status 200
};

class TimingSink final : public ResponseSink
{
public:
    explicit TimingSink(std::function<void(const Sample &)> onDone)
        : m_onDone(std::move(onDone)) { }
    bool onHead(int status, const Headers &) override
    {
        m_status = status;
        return true;
    }
    bool onData(std::string_view) override
    {
        if (m_sample.firstByte == 0)
            m_sample.firstByte = secondsSince(m_start);
        return true;
    }
    void onEnd(const TransferResult &result) override
    {
        m_sample.total = secondsSince(m_start);
        m_sample.isServed = result.outcome == TransferOutcome::complete && m_status == 200;
        m_onDone(m_sample);
    }

private:
    std::function<void(const Sample &)> m_onDone;
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    Sample m_sample;
    int m_status = 0;
};

// Keeps a constant number of requests in flight for a time.
class ClosedLoop
{
public:
    ClosedLoop(std::function<OutgoingRequest(int)> makeRequest, int concurrency, int seconds)
        : m_makeRequest(std::move(makeRequest)), m_concurrency(concurrency), m_seconds(seconds)
    {
    }

    std::vector<Sample> run()
    {
        m_start = std::chrono::steady_clock::now();
        for (int i = 0; i < m_concurrency; ++i)
            sendNext(i);
        std::unique_lock lock(m_mutex);
        m_finished.wait(lock, [this] { return m_running == 0; });
        return m_samples;
    }

private:
    void sendNext(int slot)
    {
        ++m_running;
        m_clients[slot % 2].send(m_makeRequest(m_count++),
                                 std::make_shared<TimingSink>([this, slot](const Sample &sample) {
                                     onSample(slot, sample);
                                 }));
    }

    void onSample(int slot, const Sample &sample)
    {
        const bool isTimeLeft = secondsSince(m_start) < m_seconds;
        if (isTimeLeft)
            sendNext(slot);
        const std::lock_guard lock(m_mutex);
        m_samples.push_back(sample);
        if (--m_running == 0)
            m_finished.notify_all();
    }

    std::function<OutgoingRequest(int)> m_makeRequest;
    int m_concurrency;
    int m_seconds;
    std::chrono::steady_clock::time_point m_start;
    std::atomic<int> m_count = 0;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::condition_variable m_finished;
    std::vector<Sample> m_samples;
    HttpClient m_clients[2];
};

void printSamples(const std::string &name, const std::vector<Sample> &samples, double seconds)
{
    std::vector<double> firstBytes;
    std::vector<double> totals;
    std::size_t served = 0;
    for (const Sample &sample : samples) {
        if (!sample.isServed)
            continue;
        ++served;
        firstBytes.push_back(sample.firstByte * 1000);
        totals.push_back(sample.total * 1000);
    }
    fmt::print("{:<8} {:>7.0f} requests/s, {} of {} served, first byte 50/95/99% "
               "{:.2f}/{:.2f}/{:.2f} ms, whole {:.2f}/{:.2f}/{:.2f} ms\n",
               name, static_cast<double>(served) / seconds, served, samples.size(),
               quantile(firstBytes, 0.5), quantile(firstBytes, 0.95), quantile(firstBytes, 0.99),
               quantile(totals, 0.5), quantile(totals, 0.95), quantile(totals, 0.99));
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

int measureThroughput(const Options &options)
{
    const auto bodyOf = [&](int i) {
        return chatBody("note-1b", fmt::format("Prompt family {}.", i % 8),
                        options.kind == "stream", options.tokens);
    };
    const auto through = [&](int i) {
        if (options.kind == "lookup")
            return serviceRequest(options.entry, "arena-token", "GET", "status-read", "", "");
        return chatRequest(options.entry, "arena-token", "dressing-note", bodyOf(i));
    };
    const auto direct = [&](int i) {
        if (options.kind != "lookup")
            return chatRequest(options.engine, "arena-token", "dressing-note", bodyOf(i));
        OutgoingRequest request;
        request.url = "http://" + options.engine + "/status";
        return request;
    };
    // Both are measured in one run, so that the state of the machine is the same.
    const auto directSamples = ClosedLoop(direct, options.concurrency, options.seconds).run();
    const auto throughSamples = ClosedLoop(through, options.concurrency, options.seconds).run();
    printSamples("direct", directSamples, options.seconds);
    printSamples("through", throughSamples, options.seconds);
    const auto servedTotals = [](const std::vector<Sample> &samples) {
        std::vector<double> totals;
        for (const Sample &sample : samples) {
            if (sample.isServed)
                totals.push_back(sample.total);
        }
        return totals;
    };
    for (const double fraction : {0.5, 0.95, 0.99})
        fmt::print("whole response, {:.0f}%: through / direct = {:.2f}\n", fraction * 100,
                   quantile(servedTotals(throughSamples), fraction)
                       / quantile(servedTotals(directSamples), fraction));
    return 0;
}

// Opens idle connections, or streams that are not read, and prints the memory of the entry
// instance's process before and after.
int measureConnectionMemory(const Options &options, bool streams)
{
    const auto address = parseAddress(options.entry);
    if (!address.ok())
        return exitUsage;
    asio::io_context io;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->host), address->port);
    const std::string body = chatBody("note-1b", "Hold this stream open.", true, 100000);
    const std::string streamRequest
        = fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                      "arena-token\r\nX-Request-Timeout-Ms: 20000\r\nContent-Length: {}\r\n\r\n{}",
                      body.size(), body);
    const long kbBefore = residentKb(options.pid);
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < options.connections; ++i) {
        sockets.emplace_back(io);
        sockets.back().connect(endpoint);
        if (streams)
            asio::write(sockets.back(), asio::buffer(streamRequest));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const long kbAfter = residentKb(options.pid);
    fmt::print("{} {}: {} KB before, {} KB after, {:.2f} KB each\n", options.connections,
               streams ? "open streams" : "idle connections", kbBefore, kbAfter,
               static_cast<double>(kbAfter - kbBefore) / options.connections);
    return 0;
}

} // namespace ibisnotch
