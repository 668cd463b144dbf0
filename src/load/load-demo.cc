// Sends one request of each kind and prints what each did and where it ran.
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
        if (!askForEntries())
            return exitFailed;
        SystemClock clock;
        Random random(randomSeed());
        const std::string ownKey = makeCallerKey(clock.wallNow(), random);
        const std::string rider = "{\"item\":\"hot meals\",\"count\":12}";
        show("digest, streamed",
             chat(m_entry, "arena-token", "rider-digest",
                  chatBody("digest-7b", "Full rider and venue notes.", true, 12)));
        show("dressing-room note",
             chat(m_entry, "arena-token", "dressing-note",
                  chatBody("note-1b", "Towels for room 3?", false, 8)));
        show("booking, caller's key",
             call(m_entry, "arena-token", "POST", "order-commit", ownKey, rider));
        show("the same, sent again",
             call(m_entry, "arena-token", "POST", "order-commit", ownKey, rider));
        show("booking, issued key",
             call(m_entry, "arena-token", "POST", "order-commit", m_key, rider));
        show("the same, elsewhere",
             call(m_other, "arena-token", "POST", "order-commit", m_key, rider));
        show("status read", call(m_entry, "castle-token", "GET", "status-read", "", ""));
        show("delivery schedule",
             chat(m_entry, "clinic-token", "delivery-schedule",
                  chatBody("digest-7b", "Standing schedule.", true, 12)));
        show("refill order",
             call(m_entry, "clinic-token", "POST", "refill-order",
                  makeCallerKey(clock.wallNow(), random), "{\"dewar\":7}"));
        show("stock lookup", call(m_entry, "clinic-token", "GET", "stock-lookup", "", ""));
        return m_failed ? exitFailed : 0;
    }

private:
    bool askForEntries()
    {
        OutgoingRequest request;
        request.url = "http://" + m_entry + "/v1/entries?keys=1";
        request.headers = {{"Authorization", "Bearer arena-token"}};
        const BufferedResponse answer = sendAndWait(m_client, request);
        const auto body = nlohmann::json::parse(answer.response.body, nullptr, false);
        if (!body.is_object() || !body.contains("instances") || body["instances"].empty()
            || body["booking_keys"].empty()) {
            fmt::print("no list of entry instances: {}\n", answer.response.body);
            return false;
        }
        fmt::print("entry instances to use, for {} ms:\n", body["lifetime_ms"].dump());
        for (const auto &instance : body["instances"])
            fmt::print("  {} in {} at {}\n", instance["name"].get<std::string>(),
                       instance["region"].get<std::string>(),
                       instance["address"].get<std::string>());
        m_key = body["booking_keys"][0];
        m_other = body["instances"].back()["address"];
        for (const auto &instance : body["instances"]) {
            if (instance["address"] != m_entry)
                m_other = instance["address"];
        }
        return true;
    }

    void show(const std::string &what, const OutgoingRequest &request)
    {
        const BufferedResponse answer = sendAndWait(m_client, request);
        const std::string &body = answer.response.body;
        std::size_t events = 0;
        for (std::size_t at = body.find("data: "); at != std::string::npos;
             at = body.find("data: ", at + 1))
            ++events;
        const bool whole = answer.result.outcome == TransferOutcome::complete;
        fmt::print("{:<22} status {} result {} ({}) by {}{} request {}\n", what,
                   answer.response.status, field(answer, "X-Result-Code"),
                   field(answer, "X-Run-State"), field(answer, "X-Served-By"),
                   events > 0 ? fmt::format(", {} events", events) : "",
                   field(answer, "X-Request-Id"));
        if (!whole || answer.response.status != 200) {
            fmt::print("  {}\n", body);
            m_failed = true;
        }
    }

    std::string m_entry;
    std::string m_other;
    std::string m_key;
    HttpClient m_client;
    bool m_failed = false;
};

} // namespace

int runDemo(const Options &options)
{
    return Demo(options.entry).run();
}

} // namespace ibisnotch
