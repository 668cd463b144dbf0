#include "ibisnotch/metrics.h"

#include <array>
#include <map>
#include <mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace ibisnotch {

namespace {

namespace acc = boost::accumulators;

namespace hist = boost::histogram;

// Upper bounds in seconds: twice as dense around the usual targets of 0.4 to 1.5 s, and up to the
// longest deadline that goes with them.
constexpr std::array<double, 14> bucketBounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                              0.4,   0.5,  0.8,   1,    1.5, 5,   15};

// A histogram of latencies. Unlike estimated quantiles, the counts of instances can be added up.
class LatencyHistogram
{
public:
    LatencyHistogram()
        : m_buckets(
            hist::make_histogram(hist::axis::variable<>(bucketBounds.begin(), bucketBounds.end())))
    {
    }

    void add(double seconds)
    {
        m_all(seconds);
        m_buckets(seconds);
    }

    std::string text(const std::string &name, const std::string &labels) const
    {
        std::string out;
        // The axis has one bin below its first edge and one above its last.
        double below = 0;
        for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
            below += m_buckets.at(static_cast<int>(i) - 1);
            out += fmt::format("{}_bucket{{{},le=\"{}\"}} {:.0f}\n", name, labels, bucketBounds[i],
                               below);
        }
        out += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, acc::count(m_all));
        out += fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels, acc::sum(m_all));
        out += fmt::format("{}_count{{{}}} {}\n", name, labels, acc::count(m_all));
        return out;
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> m_all;
    decltype(hist::make_histogram(hist::axis::variable<>{0., 1.})) m_buckets;
};

struct Series
{
    LatencyHistogram total;
    LatencyHistogram firstByte;
    std::map<ResultCode, std::uint64_t> codes;
    std::uint64_t forwardedToRegion = 0;
    double cost = 0;
    double worthDelivered = 0;
};

} // namespace

class Metrics::Private
{
public:
    // Returns the series of the request's service and customer. Bounds memory and output for any
    // number of customers: requests beyond the limit are counted for the customer "others".
    Series &series(const RequestRecord &record)
    {
        constexpr std::size_t maxSeries = 2048;
        const std::pair key{record.service, record.customer};
        const bool fits = m_series.size() < maxSeries || m_series.count(key) > 0;
        return fits ? m_series[key] : m_series[{record.service, "others"}];
    }

    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Series> m_series;
    std::map<std::string, std::uint64_t> m_attempts; // counts by outcome
    std::map<std::string, std::uint64_t> m_continued; // counts by how the origin is known
    // Counts of requests refused for lack of room, by cause and priority.
    std::map<std::pair<std::string, int>, std::uint64_t> m_roomRefusals;
    std::map<std::string, double> m_gauges;
    std::atomic<std::uint64_t> m_retries = 0;
    std::atomic<std::uint64_t> m_serversSilent = 0;
    std::atomic<std::uint64_t> m_serverRests = 0;
    std::atomic<std::uint64_t> m_invalidSlowdowns = 0;
    std::atomic<std::uint64_t> m_sharedTokens = 0;
    std::atomic<std::uint64_t> m_sharedTokensKept = 0;
    std::map<std::string, std::uint64_t> m_slowReaders; // counts by reader
    std::map<std::string, std::uint64_t> m_mismatches; // counts by cause
    std::map<std::pair<std::string, std::string>, std::uint64_t>
        m_closedConnections; // counts by port and fault
    std::atomic<std::uint64_t> m_responsesPaused = 0;
};

Metrics::Metrics() : m_d(std::make_unique<Private>()) { }

Metrics::~Metrics() = default;

void Metrics::onRequest(const RequestRecord &record)
{
    const std::lock_guard lock(m_d->m_mutex);
    Series &series = m_d->series(record);
    series.cost += record.cost;
    if (record.receivedFromPeer)
        return;
    ++series.codes[record.code];
    series.forwardedToRegion += record.forwardedToRegion ? 1 : 0;
    series.worthDelivered += record.worthDelivered;
    if (record.code != ResultCode::served)
        return;
    series.total.add(seconds(record.total));
    series.firstByte.add(seconds(record.firstByte));
}

void Metrics::onAttempt(std::string_view end)
{
    const std::lock_guard lock(m_d->m_mutex);
    ++m_d->m_attempts[std::string(end)];
}

void Metrics::onStreamContinued(std::string_view knownBy)
{
    const std::lock_guard lock(m_d->m_mutex);
    ++m_d->m_continued[std::string(knownBy)];
}

void Metrics::onServerRest()
{
    ++m_d->m_serverRests;
}

void Metrics::onInvalidSlowdown()
{
    ++m_d->m_invalidSlowdowns;
}

void Metrics::onSharedTokens(double sent, double expectedKept)
{
    m_d->m_sharedTokens += static_cast<std::uint64_t>(sent);
    m_d->m_sharedTokensKept += static_cast<std::uint64_t>(expectedKept);
}

void Metrics::onServerSilent()
{
    ++m_d->m_serversSilent;
}

void Metrics::onMismatch(std::string_view cause)
{
    const std::lock_guard lock(m_d->m_mutex);
    ++m_d->m_mismatches[std::string(cause)];
}

void Metrics::onSlowReaderEnded(std::string_view reader)
{
    const std::lock_guard lock(m_d->m_mutex);
    ++m_d->m_slowReaders[std::string(reader)];
}

void Metrics::onConnectionClosed(std::string_view port, std::string_view fault)
{
    const std::lock_guard lock(m_d->m_mutex);
    ++m_d->m_closedConnections[{std::string(port), std::string(fault)}];
}

void Metrics::onResponsePaused()
{
    ++m_d->m_responsesPaused;
}

void Metrics::onRetry()
{
    ++m_d->m_retries;
}

void Metrics::onRoomRefusal(std::string_view cause, int priority)
{
    const std::lock_guard lock(m_d->m_mutex);
    ++m_d->m_roomRefusals[{std::string(cause), priority}];
}

void Metrics::setGauge(const std::string &name, double value)
{
    const std::lock_guard lock(m_d->m_mutex);
    m_d->m_gauges[name] = value;
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::string out;
    for (const auto &[key, series] : m_d->m_series) {
        const std::string labels
            = fmt::format("service=\"{}\",customer=\"{}\"", key.first, key.second);
        for (const auto &[code, count] : series.codes)
            out += fmt::format("ibisnotch_requests_total{{{},code=\"{}\"}} {}\n", labels,
                               static_cast<int>(code), count);
        out += fmt::format("ibisnotch_sent_away_total{{{}}} {}\n", labels,
                           series.forwardedToRegion);
        out += fmt::format("ibisnotch_cost_total{{{}}} {:.6f}\n", labels, series.cost);
        out += fmt::format("ibisnotch_worth_delivered_total{{{}}} {:.6f}\n", labels,
                           series.worthDelivered);
        out += series.total.text("ibisnotch_request_seconds", labels);
        out += series.firstByte.text("ibisnotch_first_byte_seconds", labels);
    }
    out += fmt::format("ibisnotch_retries_total {}\n", m_d->m_retries.load());
    out += fmt::format("ibisnotch_servers_silent_total {}\n", m_d->m_serversSilent.load());
    out += fmt::format("ibisnotch_server_rests_total {}\n", m_d->m_serverRests.load());
    out += fmt::format("ibisnotch_invalid_slowdowns_total {}\n", m_d->m_invalidSlowdowns.load());
    out += fmt::format("ibisnotch_shared_tokens_sent_total {}\n", m_d->m_sharedTokens.load());
    out += fmt::format("ibisnotch_shared_tokens_expected_kept_total {}\n",
                       m_d->m_sharedTokensKept.load());
    out += fmt::format("ibisnotch_responses_paused_total {}\n", m_d->m_responsesPaused.load());
    for (const auto &[cause, count] : m_d->m_mismatches)
        out += fmt::format("ibisnotch_mismatched_responses_total{{cause=\"{}\"}} {}\n", cause,
                           count);
    for (const auto &[reader, count] : m_d->m_slowReaders)
        out += fmt::format("ibisnotch_slow_readers_ended_total{{reader=\"{}\"}} {}\n", reader,
                           count);
    for (const auto &[key, count] : m_d->m_closedConnections)
        out += fmt::format("ibisnotch_connections_closed_total{{port=\"{}\",fault=\"{}\"}} {}\n",
                           key.first, key.second, count);
    for (const auto &[end, count] : m_d->m_attempts)
        out += fmt::format("ibisnotch_attempts_total{{end=\"{}\"}} {}\n", end, count);
    for (const auto &[knownBy, count] : m_d->m_continued)
        out += fmt::format("ibisnotch_streams_continued_total{{knownBy=\"{}\"}} {}\n", knownBy,
                           count);
    for (const auto &[key, count] : m_d->m_roomRefusals)
        out += fmt::format("ibisnotch_room_refusals_total{{cause=\"{}\",priority=\"{}\"}} {}\n",
                           key.first, key.second, count);
    for (const auto &[name, value] : m_d->m_gauges)
        out += fmt::format("{} {}\n", name, value);
    return out;
}

} // namespace ibisnotch
