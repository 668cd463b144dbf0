#include "ibisnotch/metrics.h"

#include <array>
#include <map>
#include <mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace ibisnotch {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

using Latency
    = acc::accumulator_set<double,
                           acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

struct Series
{
    Latency total{acc::tag::extended_p_square::probabilities = quantiles};
    Latency firstByte{acc::tag::extended_p_square::probabilities = quantiles};
    std::map<ResultCode, std::uint64_t> codes;
    std::uint64_t sentAway = 0;
    double cost = 0;
    double worthDelivered = 0;
};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void appendLatency(std::string &out, const std::string &name, const std::string &labels,
                   const Latency &latency)
{
    for (std::size_t i = 0; i < quantiles.size(); ++i)
        out += fmt::format("{}{{{},quantile=\"{}\"}} {:.6f}\n", name, labels, quantiles[i],
                           acc::extended_p_square(latency)[i]);
    out += fmt::format("{}_sum{{{}}} {:.6f}\n", name, labels, acc::sum(latency));
    out += fmt::format("{}_count{{{}}} {}\n", name, labels, acc::count(latency));
}

} // namespace

class Metrics::Private
{
public:
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, Series> m_series;
    std::map<std::string, double> m_gauges;
    std::atomic<std::uint64_t> m_retries = 0;
};

Metrics::Metrics() : m_d(std::make_unique<Private>()) { }

Metrics::~Metrics() = default;

void Metrics::onRequest(const RequestRecord &record)
{
    const std::lock_guard lock(m_d->m_mutex);
    Series &series = m_d->m_series[{record.service, record.customer}];
    series.cost += record.cost;
    if (record.forwarded)
        return;
    ++series.codes[record.code];
    series.sentAway += record.sentAway ? 1 : 0;
    series.worthDelivered += record.worthDelivered;
    if (record.code != ResultCode::served)
        return;
    series.total(seconds(record.total));
    series.firstByte(seconds(record.firstByte));
}

void Metrics::onRetry()
{
    ++m_d->m_retries;
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
        out += fmt::format("ibisnotch_sent_away_total{{{}}} {}\n", labels, series.sentAway);
        out += fmt::format("ibisnotch_cost_total{{{}}} {:.6f}\n", labels, series.cost);
        out += fmt::format("ibisnotch_worth_delivered_total{{{}}} {:.6f}\n", labels,
                           series.worthDelivered);
        appendLatency(out, "ibisnotch_request_seconds", labels, series.total);
        appendLatency(out, "ibisnotch_first_byte_seconds", labels, series.firstByte);
    }
    out += fmt::format("ibisnotch_retries_total {}\n", m_d->m_retries.load());
    for (const auto &[name, value] : m_d->m_gauges)
        out += fmt::format("{} {}\n", name, value);
    return out;
}

} // namespace ibisnotch
