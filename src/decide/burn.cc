#include "ibisnotch/burn.h"

#include <nlohmann/json.hpp>

namespace ibisnotch {

namespace {

constexpr std::int64_t maxMinutes = 360;

std::int64_t minuteOf(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::minutes>(time.time_since_epoch()).count();
}

} // namespace

void BurnCounter::count(const std::string &service, const std::string &customer, bool bad,
                        WallTime now)
{
    const std::int64_t minute = minuteOf(now);
    const std::lock_guard lock(m_mutex);
    auto &minutes = m_series[{service, customer}];
    BurnCount &count = minutes[minute];
    ++count.total;
    count.bad += bad ? 1 : 0;
    while (minutes.begin()->first <= minute - maxMinutes)
        minutes.erase(minutes.begin());
}

std::vector<BurnSeries> BurnCounter::series() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<BurnSeries> result;
    for (const auto &[key, minutes] : m_series)
        result.push_back({key.first, key.second, minutes});
    return result;
}

double burnRate(const BurnSeries &series, std::int64_t untilMinute, int minutes, double objective)
{
    BurnCount sum;
    for (const auto &[minute, count] : series.minutes) {
        if (minute > untilMinute - minutes && minute <= untilMinute) {
            sum.total += count.total;
            sum.bad += count.bad;
        }
    }
    if (sum.total == 0)
        return 0;
    return static_cast<double>(sum.bad) / static_cast<double>(sum.total) / (1 - objective);
}

std::vector<BurnSeries> mergeBurn(const std::vector<std::vector<BurnSeries>> &parts)
{
    std::map<std::pair<std::string, std::string>, BurnSeries> merged;
    for (const auto &part : parts) {
        for (const BurnSeries &series : part) {
            BurnSeries &to = merged[{series.service, series.customer}];
            to.service = series.service;
            to.customer = series.customer;
            for (const auto &[minute, count] : series.minutes) {
                to.minutes[minute].total += count.total;
                to.minutes[minute].bad += count.bad;
            }
        }
    }
    std::vector<BurnSeries> result;
    for (auto &[key, series] : merged)
        result.push_back(std::move(series));
    return result;
}

std::string serializeBurn(const std::vector<BurnSeries> &series)
{
    nlohmann::json list = nlohmann::json::array();
    for (const BurnSeries &item : series) {
        nlohmann::json minutes = nlohmann::json::array();
        for (const auto &[minute, count] : item.minutes)
            minutes.push_back({minute, count.total, count.bad});
        list.push_back(
            {{"service", item.service}, {"customer", item.customer}, {"minutes", minutes}});
    }
    return list.dump();
}

std::vector<BurnSeries> parseBurn(std::string_view text)
{
    std::vector<BurnSeries> result;
    const auto list = nlohmann::json::parse(text, nullptr, false);
    if (!list.is_array())
        return result;
    for (const auto &item : list) {
        BurnSeries series{item.value("service", ""), item.value("customer", ""), {}};
        for (const auto &minute : item.value("minutes", nlohmann::json::array()))
            series.minutes[minute.at(0)] = {minute.at(1), minute.at(2)};
        result.push_back(std::move(series));
    }
    return result;
}

} // namespace ibisnotch
