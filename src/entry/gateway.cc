#include "gateway.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ibisnotch/answer-check.h"
#include "ibisnotch/entry-list.h"
#include "ibisnotch/log.h"
#include "operators.h"

namespace ibisnotch {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPath = "/v1/services/";
constexpr int mostKeys = 32;
constexpr std::size_t longestRequestId = 64;

HttpResponse json(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

bool isRequestPath(const std::string &path)
{
    return path == chatPath || path.rfind(servicesPath, 0) == 0;
}

const Customer *findCustomer(const FleetConfig &config, const HttpRequest &request)
{
    const std::string field = request.headers.get("Authorization").value_or("");
    absl::string_view token = field;
    if (!absl::ConsumePrefix(&token, "Bearer "))
        return nullptr;
    const std::string hash = sha256Hex(std::string_view(token.data(), token.size()));
    const auto found
        = std::find_if(config.customers.begin(), config.customers.end(),
                       [&hash](const auto &entry) { return entry.second.tokenSha256 == hash; });
    return found == config.customers.end() ? nullptr : &found->second;
}

} // namespace

Gateway::Gateway(DispatchServices services, std::vector<HttpClient *> clients, bool forPeers)
    : m_state(services.state), m_services(services), m_clients(std::move(clients)),
      m_forPeers(forPeers), m_filters(makeFilters(m_state))
{
}

void Gateway::handle(HttpRequest request, std::shared_ptr<Responder> responder)
{
    // An exception that left a handler would close the connection without a result code.
    try {
        if (!answerDirectly(request, *responder))
            serve(std::move(request), std::move(responder));
    } catch (const std::exception &error) {
        logLine(LogPart::entry, LogLevel::error, "Handler failed.", {{"error", error.what()}});
    }
}

bool Gateway::answerDirectly(const HttpRequest &request, Responder &responder)
{
    if (isRequestPath(request.path))
        return false;
    if (request.path == "/healthz") {
        responder.reply({200, {}, "ok\n"});
        return true;
    }
    if (request.path == "/readyz") {
        responder.reply(ready());
        return true;
    }
    if (request.path == "/v1/entries") {
        responder.reply(entries(request));
        return true;
    }
    if (m_forPeers) {
        if (const auto response = answerOperator(m_services, request)) {
            responder.reply(*response);
            return true;
        }
    }
    responder.reply(
        refusalResponse(newRequestId(), {ResultCode::noSuchPath, "", {}}, m_state.settings.name));
    return true;
}

HttpResponse Gateway::ready()
{
    const bool ready = m_state.gate.version() > 0 && !m_state.stopping;
    const auto code = m_state.stopping ? ResultCode::stopping : ResultCode::notReady;
    if (ready)
        return {200, {}, "ready\n"};
    return refusalResponse(newRequestId(), {code, "", spreadRetryAfter(1, m_state.random)},
                           m_state.settings.name);
}

HttpResponse Gateway::entries(const HttpRequest &request)
{
    const auto config = m_state.gate.config();
    const std::string id = newRequestId();
    if (!config)
        return refusalResponse(id, {ResultCode::notReady, "", spreadRetryAfter(1, m_state.random)},
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
    int wanted = 0;
    (void)absl::SimpleAtoi(queryValue(request.query, "keys").value_or("0"), &wanted);
    nlohmann::json keys = nlohmann::json::array();
    // A booking that uses one of our keys passes through here, so only a region that may hold the
    // customer's data hands them out.
    const bool here
        = std::find(allowed.begin(), allowed.end(), m_state.settings.region) != allowed.end();
    const std::lock_guard lock(m_state.keysMutex);
    for (int i = 0; here && !m_state.stopping && i < std::min(wanted, mostKeys); ++i) {
        if (auto key
            = m_state.issuedKeys.issue(customer->name, m_state.clock.now(), m_state.random))
            keys.push_back(*std::move(key));
    }
    const auto lifetime
        = std::chrono::duration_cast<std::chrono::milliseconds>(list.lifetime).count();
    HttpResponse response
        = json(200, {{"instances", instances}, {"lifetime_ms", lifetime}, {"booking_keys", keys}});
    const Headers common = answerHeaders(id, ResultCode::served, m_state.settings.name);
    for (const auto &[name, value] : common.fields())
        response.headers.add(name, value);
    return response;
}

std::string Gateway::newRequestId()
{
    return fmt::format("{}-{:016x}", m_state.settings.name, m_state.random.next());
}

std::string Gateway::otherInstances()
{
    std::vector<Member> members = *m_state.members.read();
    std::erase_if(members,
                  [this](const Member &member) { return member.name == m_state.settings.name; });
    const EntryList list = makeEntryList(members, m_state.settings.region,
                                         {m_state.settings.region}, m_state.random);
    std::string text;
    for (const Member &member : list.instances)
        text += (text.empty() ? "" : ",") + member.callerAddress;
    return text;
}

void Gateway::refuse(Exchange &exchange, const Refusal &refusal)
{
    traceStep(exchange, m_state.clock, "refused: " + std::string(resultInfo(refusal.code).name));
    exchange.trace.resultCode = static_cast<int>(refusal.code);
    m_state.traces.add(exchange.trace);
    HttpResponse response = refusalResponse(exchange.id, refusal, m_state.settings.name);
    const bool elsewhere
        = refusal.code == ResultCode::stopping || refusal.code == ResultCode::notReady;
    if (elsewhere)
        response.headers.add("X-Entry-Instances", otherInstances());
    exchange.responder->reply(std::move(response));
    logLine(LogPart::request, LogLevel::info, "Request refused.",
            {{"request", exchange.id},
             {"customer", exchange.trace.customer},
             {"service", exchange.trace.service},
             {"code", std::to_string(static_cast<int>(refusal.code))}});
    --m_state.inFlight;
}

void Gateway::serve(HttpRequest request, std::shared_ptr<Responder> responder)
{
    ++m_state.inFlight;
    auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->responder = std::move(responder);
    exchange->fromPeer = m_forPeers;
    exchange->arrived = m_state.clock.now();
    const auto given = exchange->request.headers.get(requestIdHeader);
    // A forwarded request keeps its id, so that its steps can be found on both instances.
    const bool keep = m_forPeers && given && given->size() <= longestRequestId;
    exchange->id = keep ? *given : newRequestId();
    exchange->trace.requestId = exchange->id;
    exchange->trace.startedMs = wallMilliseconds(m_state.clock.wallNow());
    exchange->table = m_state.routing.read();
    if (!exchange->table || !exchange->table->config)
        return refuse(*exchange, {ResultCode::notReady, "", spreadRetryAfter(1, m_state.random)});
    if (m_state.stopping)
        return refuse(*exchange, {ResultCode::stopping, "", spreadRetryAfter(1, m_state.random)});
    for (const auto &filter : m_filters) {
        if (const auto refusal = filter->apply(*exchange))
            return refuse(*exchange, *refusal);
    }
    HttpClient &client = *m_clients[m_nextClient++ % m_clients.size()];
    auto dispatch = std::make_shared<Dispatch>(m_services, exchange, client);
    client.post([dispatch] { dispatch->start(); });
}

} // namespace ibisnotch
