// Sends one request of each kind and prints its result and the server that ran it.
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/booking.h"
#include "load.h"

namespace ibisnotch {

namespace {

class Demo
{
public:
    explicit Demo(std::string entry) : m_entry(std::move(entry)) { }

    int run()
    {
        if (!requestEntries())
            return exitFailed;
        SystemClock clock;
        Random random(randomSeed());
        const std::string callerKey = makeCallerKey(clock.wallNow(), random);
        const std::string order = "{\"item\":\"hot meals\",\"count\":12}";
        sendAndPrint("digest, streamed",
                     chatRequest(m_entry, "arena-token", "rider-digest",
                                 chatBody("digest-7b", "Full rider and venue notes.", true, 12)));
        sendAndPrint("dressing-room note",
                     chatRequest(m_entry, "arena-token", "dressing-note",
                                 chatBody("note-1b", "Towels for room 3?", false, 8)));
        sendAndPrint(
            "booking, caller's key",
            serviceRequest(m_entry, "arena-token", "POST", "order-commit", callerKey, order));
        sendAndPrint(
            "the same, sent again",
            serviceRequest(m_entry, "arena-token", "POST", "order-commit", callerKey, order));
        sendAndPrint(
            "booking, issued key",
            serviceRequest(m_entry, "arena-token", "POST", "order-commit", m_issuedKey, order));
        sendAndPrint("the same, elsewhere",
                     serviceRequest(m_otherEntry, "arena-token", "POST", "order-commit",
                                    m_issuedKey, order));
        sendAndPrint("status read",
                     serviceRequest(m_entry, "castle-token", "GET", "status-read", "", ""));
        sendAndPrint("delivery schedule",
                     chatRequest(m_entry, "clinic-token", "delivery-schedule",
                                 chatBody("digest-7b", "Standing schedule.", true, 12)));
        sendAndPrint("refill order",
                     serviceRequest(m_entry, "clinic-token", "POST", "refill-order",
                                    makeCallerKey(clock.wallNow(), random), "{\"dewar\":7}"));
        sendAndPrint("stock lookup",
                     serviceRequest(m_entry, "clinic-token", "GET", "stock-lookup", "", ""));
        return m_failed ? exitFailed : 0;
    }

private:
    bool requestEntries()
    {
        OutgoingRequest request;
        request.url = "http://" + m_entry + "/v1/entries?keys=1";
        request.headers = {{"Authorization", "Bearer arena-token"}};
        const BufferedResponse reply = sendAndWait(m_client, request);
        const auto body = nlohmann::json::parse(reply.response.body, nullptr, false);
        if (!body.is_object() || !body.contains("instances") || body["instances"].empty()
            || body["booking_keys"].empty()) {
            fmt::print("no list of entry instances: {}\n", reply.response.body);
            return false;
        }
        fmt::print("entry instances to use, for {} ms:\n", body["lifetime_ms"].dump());
        for (const auto &instance : body["instances"])
            fmt::print("  {} in {} at {}\n", instance["name"].get<std::string>(),
                       instance["region"].get<std::string>(),
                       instance["address"].get<std::string>());
        m_issuedKey = body["booking_keys"][0];
        m_otherEntry = body["instances"].back()["address"];
        for (const auto &instance : body["instances"]) {
            if (instance["address"] != m_entry)
                m_otherEntry = instance["address"];
        }
        return true;
    }

    void sendAndPrint(const std::string &what, const OutgoingRequest &request)
    {
        const BufferedResponse reply = sendAndWait(m_client, request);
        const std::string &body = reply.response.body;
        std::size_t events = 0;
        for (std::size_t at = body.find("data: "); at != std::string::npos;
             at = body.find("data: ", at + 1))
            ++events;
        const bool isComplete = reply.result.outcome == TransferOutcome::complete;
        fmt::print("{:<22} status {} result {} ({}) by {}{} request {}\n", what,
                   reply.response.status, headerValue(reply, "X-Result-Code"),
                   headerValue(reply, "X-Run-State"), headerValue(reply, "X-Served-By"),
                   events > 0 ? fmt::format(", {} events", events) : "",
                   headerValue(reply, "X-Request-Id"));
        if (!isComplete || reply.response.status != 200) {
            fmt::print("  {}\n", body);
            m_failed = true;
        }
    }

    std::string m_entry;
    std::string m_otherEntry;
    std::string m_issuedKey;
    HttpClient m_client;
    bool m_failed = false;
};

} // namespace

int runDemo(const Options &options)
{
    return Demo(options.entry).run();
}

} // namespace ibisnotch
