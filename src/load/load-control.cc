// Measures bookings, configuration changes and draining backend servers.
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/booking.h"
#include "ibisnotch/config-admin.h"
#include "ibisnotch/store.h"
#include "load.h"

namespace ibisnotch {

namespace {

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

// Returns the number of calls that the simulated store has received.
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

nlohmann::json statusOf(HttpClient &client, const std::string &peers)
{
    OutgoingRequest request;
    request.url = "http://" + peers + "/admin/status";
    request.limits.total = std::chrono::seconds(2);
    return nlohmann::json::parse(sendAndWait(client, request).response.body, nullptr, false);
}

} // namespace

// Sends bookings one after the other: directly to the engine, with keys made by the caller and with
// keys issued by the entry instance.
int measureBookings(const Options &options)
{
    HttpClient client;
    SystemClock clock;
    Random random(randomSeed());
    for (const std::string route : {"direct", "own key", "issued key"}) {
        Milliseconds times;
        int unknown = 0;
        const long callsBefore = storeCalls(client, options.store);
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < options.count; ++i) {
            const std::string key = route == "issued key" ? issueKey(client, options.entry)
                                                          : makeCallerKey(clock.wallNow(), random);
            OutgoingRequest request = serviceRequest(options.entry, "arena-token", "POST",
                                                     "order-commit", key, "{\"n\":1}");
            if (route == "direct")
                request.url = "http://" + options.engine + "/orders";
            const auto start = std::chrono::steady_clock::now();
            const BufferedResponse reply = sendAndWait(client, std::move(request));
            times.push_back(millisecondsSince(start));
            unknown += headerValue(reply, "X-Run-State") == "unknown" ? 1 : 0;
        }
        // Instances write the outcomes to the store after they have responded.
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const double calls = static_cast<double>(storeCalls(client, options.store) - callsBefore);
        reportTimes(route, times);
        fmt::print("  unknown {} of {}, {:.2f} store calls a booking (all callers of the store, "
                   "over {:.1f} s)\n",
                   unknown, options.count, calls / options.count, secondsSince(begin));
    }
    return 0;
}

// Measures the time from the acceptance of a configuration change until it is in force on every
// instance.
int measureConfigChanges(const Options &options)
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

// Measures the time from an engine's report that it is draining until every instance of its region
// shows it as leaving and sends it no more requests.
int measureDraining(const Options &options)
{
    HttpClient client;
    const auto setMode = [&](const std::string &mode) {
        OutgoingRequest request;
        request.method = "PUT";
        request.url = "http://" + options.engine + "/standin/fault?mode=" + mode;
        sendAndWait(client, std::move(request));
    };
    const auto isShownAsLeaving = [&](const std::string &entry) {
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
        while (!isShownAsLeaving(entry))
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        fmt::print("{} shows it as leaving after {:.0f} ms\n", entry, millisecondsSince(start));
    }
    return 0;
}

} // namespace ibisnotch
