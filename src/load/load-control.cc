// Times and costs of bookings, configuration changes and leaving backend servers.
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
            const BufferedResponse answer = sendAndWait(client, std::move(request));
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

} // namespace ibisnotch
