#include <algorithm>

#include <nlohmann/json.hpp>

#include "load.h"

namespace ibisnotch {

std::string chatBody(const std::string &model, const std::string &text, bool stream, int tokens)
{
    return nlohmann::json{{"model", model},
                          {"stream", stream},
                          {"max_tokens", tokens},
                          {"messages", {{{"role", "user"}, {"content", text}}}}}
        .dump();
}

OutgoingRequest chatRequest(const std::string &address, const std::string &token,
                            const std::string &service, const std::string &body)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + address + "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + token},
                       {"Content-Type", "application/json"},
                       {"X-Service", service},
                       {"X-Request-Id", "direct"}};
    request.body = body;
    return request;
}

OutgoingRequest serviceRequest(const std::string &address, const std::string &token,
                               const std::string &method, const std::string &service,
                               const std::string &key, const std::string &body)
{
    OutgoingRequest request;
    request.method = method;
    request.url = "http://" + address + "/v1/services/" + service;
    request.headers = {{"Authorization", "Bearer " + token}, {"Content-Type", "application/json"}};
    if (!key.empty())
        request.headers.add("Idempotency-Key", key);
    request.body = body;
    return request;
}

std::string headerValue(const BufferedResponse &reply, const char *name)
{
    return reply.response.headers.get(name).value_or("-");
}

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[at];
}

} // namespace ibisnotch
