#include "operators.h"

#include <nlohmann/json.hpp>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

using nlohmann::json;

HttpResponse reply(int status, const json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

std::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::alive:
        return "alive";
    case MemberState::suspect:
        return "suspect";
    case MemberState::leaving:
        return "leaving";
    case MemberState::dead:
        return "dead";
    case MemberState::left:
        return "left";
    }
    return "";
}

json membersOf(const EntryState &state)
{
    json list = json::array();
    const auto members = state.members.read();
    if (!members)
        return list;
    for (const Member &member : *members)
        list.push_back({{"name", member.name},
                        {"region", member.region},
                        {"dataCentre", member.dataCentre},
                        {"callers", member.callerAddress},
                        {"peers", member.peerAddress},
                        {"state", memberStateName(member.state)},
                        {"loadPercent", member.loadPercent}});
    return list;
}

json serversOf(const EntryState &state)
{
    json list = json::array();
    const auto table = state.routing.read();
    if (!table)
        return list;
    for (const ServerView &view : table->servers)
        list.push_back({{"name", view.server.name},
                        {"address", view.server.address},
                        {"status", serverStatusName(view.status)},
                        {"load", correctedLoad(view, table->trafficFactor)},
                        {"slots", view.server.slots},
                        {"inFlightHere", view.counters->inFlight.load()}});
    return list;
}

json regionsOf(const EntryState &state)
{
    json list = json::array();
    for (const RegionLoad &load : state.regionLoads.all(state.clock.now()))
        list.push_back({{"region", load.region},
                        {"load", load.service},
                        {"slots", load.slots},
                        {"outstanding", load.outstanding},
                        {"ageMs", load.ageMs}});
    return list;
}

HttpResponse status(DispatchServices &services)
{
    const EntryState &state = services.state;
    const TrafficCount traffic = services.control.traffic();
    const auto controlMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(services.control.processorTime());
    return reply(200,
                 {{"name", state.settings.name},
                  {"region", state.settings.region},
                  {"configVersion", state.activeConfig.version()},
                  {"configError", state.activeConfig.lastError()},
                  {"stopping", state.stopping.load()},
                  {"inFlight", state.inFlight.load()},
                  {"control",
                   {{"processorMs", controlMs.count()},
                    {"bytesSent", traffic.bytesSent},
                    {"bytesReceived", traffic.bytesReceived}}},
                  {"members", membersOf(state)},
                  {"servers", serversOf(state)},
                  {"regions", regionsOf(state)}});
}

HttpResponse explain(const EntryState &state, const HttpRequest &request)
{
    const auto trace = state.traces.find(queryValue(request.query, "id").value_or(""));
    if (!trace)
        return reply(404, {{"error", "no such request here, or too long ago"}});
    json steps = json::array();
    for (const TraceStep &step : trace->steps)
        steps.push_back({{"atMs", step.atMs}, {"what", step.description}});
    return reply(200,
                 {{"instance", state.settings.name},
                  {"request", trace->requestId},
                  {"customer", trace->customer},
                  {"service", trace->service},
                  {"code", trace->resultCode},
                  {"startedMs", trace->startedMs},
                  {"steps", steps}});
}

json keyFingerprints(const Customer &customer)
{
    // Enough hex digits to tell keys apart, too few to test a guessed key against them.
    constexpr std::size_t shownDigits = 12;
    json list = json::array();
    for (const std::string &hash : customer.keyHashes)
        list.push_back(hash.substr(0, shownDigits));
    return list;
}

json usageOf(const Customer &customer, const std::vector<UsageCaps::CustomerState> &states)
{
    if (!customer.usageCap)
        return nullptr;
    json usage{{"unit", customer.usageCap->countsTokens ? "tokens" : "requests"},
               {"capPerSecond", customer.usageCap->perSecond},
               {"burst", customer.usageCap->burst}};
    for (const UsageCaps::CustomerState &state : states) {
        if (state.name != customer.name)
            continue;
        usage["askedPerSecond"] = state.requested;
        usage["takenPerSecond"] = state.consumed;
        usage["level"] = state.level;
    }
    return usage;
}

HttpResponse customers(EntryState &state)
{
    json list = json::array();
    const auto config = state.activeConfig.config();
    const auto states = state.usageCaps.states(state.clock.now());
    if (!config)
        return reply(503, {{"error", "no configuration yet"}});
    for (const auto &[name, customer] : config->customers)
        list.push_back({{"name", customer.name},
                        {"keys", keyFingerprints(customer)},
                        {"regions", customer.regions},
                        {"priority", customer.priority ? json(*customer.priority) : json(nullptr)},
                        {"usage", usageOf(customer, states)}});
    return reply(200,
                 {{"instance", state.settings.name},
                  {"configVersion", config->version},
                  {"customers", list}});
}

HttpResponse drain(DispatchServices &services, const HttpRequest &request, bool drained)
{
    const std::string server = queryValue(request.query, "server").value_or("");
    const auto config = services.state.activeConfig.config();
    if (request.method != "POST" || !config || config->servers.count(server) == 0)
        return reply(404, {{"error", "POST with server=NAME of this region expected"}});
    services.state.servers.setDrained(server, drained);
    services.control.scheduleRoutingUpdate();
    logLine(LogPart::load, LogLevel::info, drained ? "Drained." : "Undrained.",
            {{"server", server}});
    return reply(200, {{"server", server}, {"drained", drained}});
}

json suspectFields(const SuspectPart &suspect)
{
    return {{"part", suspect.name},        {"id", suspect.id},         {"pool", suspect.pool},
            {"crashes", suspect.crashes},  {"server", suspect.server}, {"request", suspect.request},
            {"observer", suspect.observer}};
}

HttpResponse suspectParts(const EntryState &state)
{
    json suspects = json::array();
    for (const SuspectPart &suspect : state.suspects.suspects())
        suspects.push_back(suspectFields(suspect));
    json blocked = json::array();
    for (const BlockedPart &part : state.suspects.blocked(state.clock.now())) {
        blocked.push_back(suspectFields(part.suspect));
        blocked.back()["ageMs"] = millisecondsText(part.age);
        blocked.back()["remainingMs"] = millisecondsText(part.remaining);
    }
    return reply(200,
                 {{"instance", state.settings.name}, {"suspects", suspects}, {"blocked", blocked}});
}

HttpResponse releasePart(DispatchServices &services, const HttpRequest &request)
{
    const std::string id = queryValue(request.query, "id").value_or("");
    std::optional<SuspectPart> released;
    if (request.method == "POST")
        released = services.state.suspects.release(id);
    if (!released)
        return reply(404, {{"error", "POST with id=ID of a suspect part expected"}});
    services.control.removeSuspects({*released});
    logSuspect("Prompt part released.", *released, "operator");
    return reply(200, suspectFields(*released));
}

} // namespace

std::optional<HttpResponse> handleOperatorRequest(DispatchServices &services,
                                                  const HttpRequest &request)
{
    EntryState &state = services.state;
    if (request.path == "/metrics")
        return HttpResponse{
            200, {{"Content-Type", "text/plain; version=0.0.4"}}, state.metrics.prometheusText()};
    if (request.path == "/admin/status")
        return status(services);
    if (request.path == "/admin/explain")
        return explain(state, request);
    if (request.path == "/admin/customers")
        return customers(state);
    if (request.path == "/admin/burn")
        return HttpResponse{
            200, {{"Content-Type", "application/json"}}, serializeBurn(state.burn.series())};
    if (request.path == "/admin/parts")
        return suspectParts(state);
    if (request.path == "/admin/release-part")
        return releasePart(services, request);
    if (request.path == "/admin/drain")
        return drain(services, request, true);
    if (request.path == "/admin/undrain")
        return drain(services, request, false);
    return std::nullopt;
}

} // namespace ibisnotch
