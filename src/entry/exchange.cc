#include "exchange.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/response-check.h"

namespace ibisnotch {

namespace {

// A stream that waits for a server may try several times a second until its deadline.
constexpr std::size_t maxTraceSteps = 100;

} // namespace

void addTraceStep(Exchange &exchange, const Clock &clock, std::string description)
{
    if (exchange.trace.steps.size() >= maxTraceSteps)
        return;
    const auto at
        = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - exchange.arrived);
    exchange.trace.steps.push_back({at.count(), std::move(description)});
}

std::uint64_t readConfigVersion(const Headers &headers)
{
    std::uint64_t version = 0;
    return absl::SimpleAtoi(headers.get(configVersionHeader).value_or(""), &version) ? version : 0;
}

Headers resultHeaders(const std::string &requestId, ResultCode code, const std::string &servedBy)
{
    Headers headers;
    headers.add(std::string(requestIdHeader), requestId);
    headers.add("X-Result-Code", std::to_string(static_cast<int>(code)));
    headers.add("X-Run-State", std::string(runStateName(resultInfo(code).runState)));
    headers.add("X-Served-By", servedBy);
    return headers;
}

HttpResponse refusalResponse(const std::string &requestId, const Refusal &refusal,
                             const std::string &servedBy)
{
    const ResultInfo &info = resultInfo(refusal.code);
    const auto retryMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retryAfter).count();
    nlohmann::json error{{"code", static_cast<int>(refusal.code)},
                         {"type", info.name},
                         {"run", runStateName(info.runState)},
                         {"message", info.advice},
                         {"request_id", requestId}};
    if (!refusal.detail.empty())
        error["detail"] = refusal.detail;
    if (retryMs > 0)
        error["retry_after_ms"] = retryMs;
    HttpResponse response;
    response.status = info.httpStatus;
    response.headers = resultHeaders(requestId, refusal.code, servedBy);
    response.headers.add("Content-Type", "application/json");
    if (retryMs > 0)
        response.headers.add("Retry-After", std::to_string((retryMs + 999) / 1000));
    response.body = nlohmann::json{{"error", error}}.dump(-1, ' ', false,
                                                          nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace ibisnotch
