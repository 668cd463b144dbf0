#include "chat-pages.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/entry-list.h"
#include "operators.h"

namespace ibisnotch {

namespace {

constexpr int maxKeysPerRequest = 32;

HttpResponse json(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

const Customer *findCustomer(const FleetConfig &config, const HttpRequest &request)
{
    const std::string field = request.headers.get("Authorization").value_or("");
    absl::string_view token = field;
    if (!absl::ConsumePrefix(&token, "Bearer "))
        return nullptr;
    return findCustomerByKey(config, std::string_view(token.data(), token.size()));
}

} // namespace

HttpResponse ChatPages::respond(const HttpRequest &request)
{
    if (request.path == "/healthz")
        return {200, {}, "ok\n"};
    if (request.path == "/readyz")
        return readinessPage();
    if (request.path == "/v1/entries")
        return entryListPage(request);
    if (m_forPeers) {
        if (auto response = handleOperatorRequest(m_services, request))
            return *std::move(response);
    }
    return refusalResponse(newRequestId(m_state), {ResultCode::noSuchPath, "", {}},
                           m_state.settings.name);
}

HttpResponse ChatPages::readinessPage()
{
    if (isReady(m_state))
        return {200, {}, "ready\n"};
    const auto code = m_state.stopping ? ResultCode::stopping : ResultCode::notReady;
    return refusalResponse(newRequestId(m_state), {code, "", jitteredRetryAfter(1, m_state.random)},
                           m_state.settings.name);
}

HttpResponse ChatPages::entryListPage(const HttpRequest &request)
{
    const auto config = m_state.activeConfig.config();
    const std::string id = newRequestId(m_state);
    if (!config)
        return refusalResponse(id,
                               {ResultCode::notReady, "", jitteredRetryAfter(1, m_state.random)},
                               m_state.settings.name);
    const Customer *customer = findCustomer(*config, request);
    if (customer == nullptr)
        return refusalResponse(id, {ResultCode::unknownCustomer, "", {}}, m_state.settings.name);
    std::vector<std::string> allowed = customer->regions;
    if (allowed.empty()) {
        for (const Region &region : config->regions)
            allowed.push_back(region.name);
    }
    const std::string callerRegion
        = queryValue(request.query, "region").value_or(m_state.settings.region);
    const auto members = m_state.members.read();
    const EntryList list = makeEntryList(*members, callerRegion, allowed, m_state.random);
    nlohmann::json instances = nlohmann::json::array();
    for (const Member &member : list.instances)
        instances.push_back(
            {{"name", member.name}, {"region", member.region}, {"address", member.callerAddress}});
    int requestedKeys = 0;
    (void)absl::SimpleAtoi(queryValue(request.query, "keys").value_or("0"), &requestedKeys);
    nlohmann::json keys = nlohmann::json::array();
    // Bookings with a key that this instance issued pass through it, so keys are issued only in
    // regions that may hold the customer's data.
    const bool mayIssueKeys
        = std::find(allowed.begin(), allowed.end(), m_state.settings.region) != allowed.end();
    const std::lock_guard lock(m_state.keysMutex);
    for (int i = 0;
         mayIssueKeys && !m_state.stopping && i < std::min(requestedKeys, maxKeysPerRequest); ++i) {
        if (auto key
            = m_state.issuedKeys.issue(customer->name, m_state.clock.now(), m_state.random))
            keys.push_back(*std::move(key));
    }
    const auto lifetime
        = std::chrono::duration_cast<std::chrono::milliseconds>(list.lifetime).count();
    HttpResponse response
        = json(200, {{"instances", instances}, {"lifetime_ms", lifetime}, {"booking_keys", keys}});
    const Headers common = resultHeaders(id, ResultCode::served, m_state.settings.name);
    for (const auto &[name, value] : common.fields())
        response.headers.add(name, value);
    return response;
}

} // namespace ibisnotch
