#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/http-client.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;

TransferLimits callLimits()
{
    TransferLimits limits;
    limits.connect = std::chrono::milliseconds(500);
    limits.firstByte = std::chrono::seconds(2);
    limits.idle = std::chrono::seconds(2);
    limits.total = std::chrono::seconds(4);
    return limits;
}

std::string base64Encode(const std::string &value)
{
    return absl::Base64Escape(value);
}

// Returns the status of a call without a usable response.
StoreStatus failureStatus(const BufferedResponse &reply)
{
    const bool rateLimited = reply.result.outcome == TransferOutcome::complete
        && reply.response.status == statusTooManyRequests;
    return rateLimited || !reply.result.sent ? StoreStatus::notApplied : StoreStatus::unknown;
}

StoreRead parseRead(const BufferedResponse &reply)
{
    const bool complete = reply.result.outcome == TransferOutcome::complete;
    if (complete && reply.response.status == statusNotFound)
        return {StoreStatus::notFound, "", 0};
    if (!complete || reply.response.status != statusOk)
        return {failureStatus(reply), "", 0};
    const auto body = json::parse(reply.response.body, nullptr, false);
    if (!body.is_array() || body.empty())
        return {StoreStatus::unknown, "", 0};
    StoreRead read;
    read.status = StoreStatus::ok;
    read.index = body[0].value("ModifyIndex", std::uint64_t(0));
    if (body[0].contains("Value") && body[0]["Value"].is_string())
        absl::Base64Unescape(body[0]["Value"].get<std::string>(), &read.value);
    return read;
}

StoreWrite parseTransaction(const BufferedResponse &reply)
{
    const bool complete = reply.result.outcome == TransferOutcome::complete;
    if (complete && reply.response.status == statusConflict)
        return {StoreStatus::conflict, 0};
    if (!complete || reply.response.status != statusOk)
        return {failureStatus(reply), 0};
    const auto body = json::parse(reply.response.body, nullptr, false);
    const json::json_pointer index("/Results/0/KV/ModifyIndex");
    if (!body.is_object() || !body.contains(index))
        return {StoreStatus::unknown, 0};
    return {StoreStatus::ok, body[index].get<std::uint64_t>()};
}

StoreWrite parseBoolean(const BufferedResponse &reply)
{
    const bool complete = reply.result.outcome == TransferOutcome::complete;
    if (!complete || reply.response.status != statusOk)
        return {failureStatus(reply), 0};
    return {reply.response.body.rfind("true", 0) == 0 ? StoreStatus::ok : StoreStatus::conflict, 0};
}

StoreLease parseLease(const BufferedResponse &reply, const std::string &id)
{
    const bool complete = reply.result.outcome == TransferOutcome::complete;
    if (complete && reply.response.status == statusNotFound)
        return {StoreStatus::notFound, ""};
    if (!complete || reply.response.status != statusOk)
        return {failureStatus(reply), ""};
    const auto body = json::parse(reply.response.body, nullptr, false);
    if (body.is_object() && body.contains("ID"))
        return {StoreStatus::ok, body["ID"].get<std::string>()};
    return {StoreStatus::ok, id};
}

class ConsulStore final : public Store
{
public:
    ConsulStore(HttpClient &client, std::string address)
        : m_client(client), m_base("http://" + std::move(address) + "/v1/")
    {
    }

    void read(const std::string &key, std::function<void(const StoreRead &)> done) override
    {
        call("GET", "kv/" + key, "", callLimits(),
             [done](const BufferedResponse &reply) { done(parseRead(reply)); });
    }

    void watch(const std::string &key, std::uint64_t afterIndex, Duration maxWait,
               std::function<void(const StoreRead &)> done) override
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(maxWait);
        TransferLimits limits = callLimits();
        limits.firstByte += maxWait;
        limits.total += maxWait;
        call("GET", fmt::format("kv/{}?index={}&wait={}s", key, afterIndex, seconds.count()), "",
             limits, [done](const BufferedResponse &reply) { done(parseRead(reply)); });
    }

    void compareAndSet(const std::string &key, std::uint64_t expectedIndex,
                       const std::string &value,
                       std::function<void(const StoreWrite &)> done) override
    {
        const json body = json::array({{{"KV",
                                         {{"Verb", "cas"},
                                          {"Key", key},
                                          {"Value", base64Encode(value)},
                                          {"Index", expectedIndex}}}}});
        call("PUT", "txn", body.dump(), callLimits(),
             [done](const BufferedResponse &reply) { done(parseTransaction(reply)); });
    }

    void remove(const std::string &key, std::function<void(const StoreWrite &)> done) override
    {
        call("DELETE", "kv/" + key, "", callLimits(),
             [done](const BufferedResponse &reply) { done(parseBoolean(reply)); });
    }

    void grantLease(Duration ttl, std::function<void(const StoreLease &)> done) override
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(ttl);
        const json body{{"TTL", fmt::format("{}s", seconds.count())},
                        {"Behavior", "delete"},
                        {"LockDelay", "0s"}};
        call("PUT", "session/create", body.dump(), callLimits(),
             [done](const BufferedResponse &reply) { done(parseLease(reply, "")); });
    }

    void renewLease(const std::string &id, std::function<void(const StoreLease &)> done) override
    {
        call("PUT", "session/renew/" + id, "", callLimits(),
             [done, id](const BufferedResponse &reply) { done(parseLease(reply, id)); });
    }

    void acquire(const std::string &key, const std::string &leaseId, const std::string &value,
                 std::function<void(const StoreWrite &)> done) override
    {
        call("PUT", fmt::format("kv/{}?acquire={}", key, leaseId), value, callLimits(),
             [done](const BufferedResponse &reply) { done(parseBoolean(reply)); });
    }

private:
    void call(const std::string &method, const std::string &path, std::string body,
              const TransferLimits &limits, std::function<void(const BufferedResponse &)> done)
    {
        OutgoingRequest request;
        request.method = method;
        request.url = m_base + path;
        request.body = std::move(body);
        request.limits = limits;
        // libcurl repeats a request when a pooled connection turns out to be closed. If the first
        // compare-and-swap had taken effect, the repeated one would be reported as a conflict.
        request.useNewConnection = method != "GET";
        sendBuffered(m_client, std::move(request), std::move(done));
    }

    HttpClient &m_client;
    std::string m_base;
};

} // namespace

std::unique_ptr<Store> makeConsulStore(HttpClient &client, const std::string &address)
{
    return std::make_unique<ConsulStore>(client, address);
}

} // namespace ibisnotch
