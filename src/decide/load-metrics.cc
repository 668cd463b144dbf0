#include "ibisnotch/load-metrics.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace ibisnotch {

double metricValue(std::string_view text, std::string_view name)
{
    const absl::string_view allLines(text.data(), text.size());
    const absl::string_view wanted(name.data(), name.size());
    double sum = 0;
    for (const absl::string_view line : absl::StrSplit(allLines, '\n')) {
        const bool named = line.substr(0, wanted.size()) == wanted && line.size() > wanted.size()
            && (line[wanted.size()] == ' ' || line[wanted.size()] == '{');
        double value = 0;
        if (named && absl::SimpleAtod(line.substr(line.rfind(' ') + 1), &value))
            sum += value;
    }
    return sum;
}

LoadReport parseLoadMetrics(const std::string &server, std::string_view text)
{
    constexpr double milliseconds = 1000;
    LoadReport report;
    report.server = server;
    report.running = static_cast<std::uint32_t>(metricValue(text, "vllm:num_requests_running"));
    report.waiting = static_cast<std::uint32_t>(metricValue(text, "vllm:num_requests_waiting"));
    report.leaving = metricValue(text, "engine_draining") > 0;
    report.incarnation = static_cast<std::uint64_t>(metricValue(text, "process_start_time_seconds")
                                                    * milliseconds);
    return report;
}

} // namespace ibisnotch
