// Error budget burn rate of each service and customer.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "ibisnotch/clock.h"

namespace ibisnotch {

struct BurnCount
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0; // late, failed or rejected by the system
    bool operator==(const BurnCount &) const = default;
};

struct BurnSeries
{
    std::string service;
    std::string customer;
    std::map<std::int64_t, BurnCount> minutes; // by minute since the epoch
    bool operator==(const BurnSeries &) const = default;
};

// Counts requests per minute, and keeps the counts in memory for six hours. Thread safe.
class BurnCounter
{
public:
    void count(const std::string &service, const std::string &customer, bool bad, WallTime now);
    std::vector<BurnSeries> series() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, std::map<std::int64_t, BurnCount>> m_series;
};

struct BurnWindow
{
    std::string_view name;
    int minutes = 0;
};

inline constexpr std::array burnWindows{BurnWindow{"5m", 5}, BurnWindow{"1h", 60},
                                        BurnWindow{"6h", 360}};

// Returns the burn rate over the given minutes. At rate 1 the error budget is spent exactly at the
// end of its period. Returns 0 without traffic.
double burnRate(const BurnSeries &series, std::int64_t untilMinute, int minutes, double objective);

// Returns the sums of the counts of several instances.
std::vector<BurnSeries> mergeBurn(const std::vector<std::vector<BurnSeries>> &parts);

std::string serializeBurn(const std::vector<BurnSeries> &series);
std::vector<BurnSeries> parseBurn(std::string_view text);

} // namespace ibisnotch
