// Reports error budget burn rates: merges the request counts of the entry instances and prints how
// fast each service spends its error budget, for each customer, over short and long windows.
#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <popt.h>

#include "ibisnotch/burn.h"
#include "ibisnotch/config-admin.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/store.h"

using namespace ibisnotch;

namespace {

constexpr double defaultObjective = 0.99; // share of good requests
constexpr int exitUsage = 1;
constexpr int exitNoData = 6;

struct Report
{
    std::vector<BurnSeries> series;
    std::map<std::string, double> objectives; // by service
    std::vector<std::string> missing; // one line for each part of the data that is missing
    std::int64_t untilMinute = 0; // last minute of the report, since the epoch
};

double objectiveOf(const Report &report, const std::string &service)
{
    const auto found = report.objectives.find(service);
    return found == report.objectives.end() ? defaultObjective : found->second;
}

void readObjectives(HttpClient &client, const std::string &address, Report &report)
{
    const auto store = makeConsulStore(client, address);
    const auto stored = ConfigAdmin(*store).current();
    if (!stored.ok() || !stored->document || stored->document->overlays.empty()) {
        report.missing.push_back(fmt::format(
            "objectives: the store did not respond, using {} for all services", defaultObjective));
        return;
    }
    const auto config
        = parseFleetConfig(*stored->document, stored->document->overlays.begin()->first);
    if (!config.ok())
        return;
    for (const auto &[name, service] : config->services)
        report.objectives[name] = service.objective;
}

void readSeries(HttpClient &client, const std::vector<std::string> &entries, Report &report)
{
    std::vector<std::vector<BurnSeries>> parts;
    for (const std::string &entry : entries) {
        OutgoingRequest request;
        request.url = "http://" + entry + "/admin/burn";
        request.limits.total = std::chrono::seconds(3);
        const BufferedResponse reply = sendAndWait(client, request);
        if (reply.result.outcome != TransferOutcome::complete || reply.response.status != 200)
            report.missing.push_back("instance " + entry
                                     + ": no response, its requests are missing");
        else
            parts.push_back(parseBurn(reply.response.body));
    }
    report.series = mergeBurn(parts);
    // Instances keep their counts in memory, so a restarted instance has counts since its start
    // only.
    std::int64_t firstMinute = report.untilMinute;
    for (const BurnSeries &series : report.series) {
        if (!series.minutes.empty())
            firstMinute = std::min(firstMinute, series.minutes.begin()->first);
    }
    const auto coveredMinutes = report.untilMinute - firstMinute + 1;
    for (const BurnWindow &window : burnWindows) {
        if (coveredMinutes < window.minutes)
            report.missing.push_back(fmt::format("window {}: counts of {} of {} minutes only",
                                                 window.name, coveredMinutes, window.minutes));
    }
}

std::string formatText(const Report &report)
{
    std::string out = fmt::format("{:<20} {:<12} {:>9}", "service", "customer", "objective");
    for (const BurnWindow &window : burnWindows)
        out += fmt::format(" {:>8}", window.name);
    out += "\n";
    for (const BurnSeries &series : report.series) {
        const double objective = objectiveOf(report, series.service);
        out += fmt::format("{:<20} {:<12} {:>9.4f}", series.service, series.customer, objective);
        for (const BurnWindow &window : burnWindows)
            out += fmt::format(" {:>8.2f}",
                               burnRate(series, report.untilMinute, window.minutes, objective));
        out += "\n";
    }
    for (const std::string &line : report.missing)
        out += "missing: " + line + "\n";
    return out;
}

nlohmann::json toJson(const Report &report)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const BurnSeries &series : report.series) {
        const double objective = objectiveOf(report, series.service);
        nlohmann::json row{
            {"service", series.service}, {"customer", series.customer}, {"objective", objective}};
        for (const BurnWindow &window : burnWindows)
            row["burn"][std::string(window.name)]
                = burnRate(series, report.untilMinute, window.minutes, objective);
        rows.push_back(row);
    }
    return {{"rows", rows}, {"missing", report.missing}};
}

std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        if (c == '<')
            out += "&lt;";
        else if (c == '&')
            out += "&amp;";
        else
            out += c;
    }
    return out;
}

// Plots the share of bad requests per minute over the last hour. A dashed line marks the share that
// spends the budget exactly. Minutes without requests have no bar.
std::string plotSvg(const Report &report, const BurnSeries &series)
{
    constexpr int minutes = 60;
    constexpr int width = 480;
    constexpr int height = 90;
    constexpr int left = 40; // margin for the labels
    constexpr double minuteWidth = static_cast<double>(width) / minutes;
    const double budget = 1 - objectiveOf(report, series.service);
    double maxShare = budget * 2;
    for (const auto &[minute, count] : series.minutes)
        maxShare
            = std::max(maxShare, static_cast<double>(count.bad) / static_cast<double>(count.total));
    const auto y = [&](double share) { return height - share / maxShare * (height - 10); };
    std::string out = fmt::format("<svg width=\"{}\" height=\"{}\" role=\"img\">",
                                  width + left + 10, height + 24);
    out += fmt::format("<rect x=\"{}\" y=\"0\" width=\"{}\" height=\"{}\" fill=\"#f4f4f2\"/>", left,
                       width, height);
    for (const auto &[minute, count] : series.minutes) {
        const auto ago = report.untilMinute - minute;
        if (ago < 0 || ago >= minutes)
            continue;
        const double share = static_cast<double>(count.bad) / static_cast<double>(count.total);
        const double x = left + width - static_cast<double>(ago + 1) * minuteWidth;
        const double barTop = std::min(y(share), height - 2.0);
        out += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\" "
                           "fill=\"{}\"/>",
                           x, barTop, minuteWidth - 1, height - barTop,
                           share > budget ? "#b3261e" : "#3b6ea5");
    }
    out += fmt::format("<line x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" stroke=\"#444\" "
                       "stroke-dasharray=\"4 3\"/>",
                       left, left + width, y(budget));
    out += fmt::format("<text x=\"2\" y=\"{:.1f}\">{:.1f}%</text>", y(budget) + 4, budget * 100);
    out += fmt::format("<text x=\"2\" y=\"10\">{:.1f}%</text>", maxShare * 100);
    out += fmt::format("<text x=\"{}\" y=\"{}\">60 min ago</text>", left, height + 16);
    out += fmt::format("<text x=\"{}\" y=\"{}\">now</text></svg>", left + width - 24, height + 16);
    return out;
}

std::string formatHtml(const Report &report)
{
    std::string out
        = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level "
          "burn</title>"
          "<style>body{font:14px sans-serif;margin:24px;color:#222}table{border-collapse:collapse}"
          "td,th{padding:4px 12px;border-bottom:1px solid #ddd;text-align:right}"
          "td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}.hot{color:#b3261e;font-weight:"
          "bold}svg text{font:10px sans-serif;fill:#444}h2{font-size:14px;margin:20px 0 4px}"
          ".missing{color:#8a5a00}</style><h1>Service-level burn</h1>"
          "<p>A burn rate of 1.00 spends the error budget exactly over its period; a higher rate "
          "spends it sooner.</p>"
          "<table><tr><th>service<th>customer<th>objective";
    for (const BurnWindow &window : burnWindows)
        out += fmt::format("<th>{}", window.name);
    for (const BurnSeries &series : report.series) {
        const double objective = objectiveOf(report, series.service);
        out += fmt::format("<tr><td>{}<td>{}<td>{:.4f}", escapeHtml(series.service),
                           escapeHtml(series.customer), objective);
        for (const BurnWindow &window : burnWindows) {
            const double rate = burnRate(series, report.untilMinute, window.minutes, objective);
            out += fmt::format("<td{}>{:.2f}", rate > 1 ? " class=\"hot\"" : "", rate);
        }
    }
    out += "</table>";
    for (const std::string &line : report.missing)
        out += "<p class=\"missing\">Missing: " + escapeHtml(line) + "</p>";
    out += "<p>Share of bad requests per minute; the dashed line is the error budget.</p>";
    for (const BurnSeries &series : report.series)
        out += fmt::format("<h2>{}, {}</h2>{}", escapeHtml(series.service),
                           escapeHtml(series.customer), plotSvg(report, series));
    return out + "</html>\n";
}

} // namespace

int main(int argc, const char **argv)
{
    char *entries = nullptr;
    char *store = nullptr;
    char *format = nullptr;
    const poptOption options[]
        = {{"entries", 0, POPT_ARG_STRING, &entries, 0, "peers' ports of all entry instances",
            "IP:PORT,..."},
           {"store", 0, POPT_ARG_STRING, &store, 0, "the platform's store, for the objectives",
            "IP:PORT"},
           {"format", 0, POPT_ARG_STRING, &format, 0, "text, json or html", "FORMAT"},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int end = poptGetNextOpt(context);
    const std::string entryList = entries == nullptr ? "" : entries;
    const std::string storeAddress = store == nullptr ? "" : store;
    const std::string outputFormat = format == nullptr ? "text" : format;
    free(entries);
    free(store);
    free(format);
    poptFreeContext(context);
    const bool isKnownFormat
        = outputFormat == "text" || outputFormat == "json" || outputFormat == "html";
    if (end < -1 || entryList.empty() || !isKnownFormat) {
        fmt::print(stderr, "--entries is required; --format is text, json or html; see --help\n");
        return exitUsage;
    }
    HttpClient client;
    Report report;
    report.untilMinute = std::chrono::duration_cast<std::chrono::minutes>(
                             SystemClock().wallNow().time_since_epoch())
                             .count();
    readObjectives(client, storeAddress, report);
    readSeries(client, absl::StrSplit(entryList, ','), report);
    if (outputFormat == "json")
        fmt::print("{}\n", toJson(report).dump());
    else
        fmt::print("{}", outputFormat == "html" ? formatHtml(report) : formatText(report));
    return report.series.empty() ? exitNoData : 0;
}
