// Dispatch: admission of a request by the load of the region in which it would run.
#include <fmt/format.h>

#include "dispatch.h"
#include "ibisnotch/log.h"
#include "ibisnotch/room-order.h"

namespace ibisnotch {

namespace {

// Returns the amount of work that a request asks for: tokens, or one request if it has none.
double workOf(const Prompt &prompt)
{
    return prompt.tokens > 0 ? static_cast<double>(prompt.tokens + prompt.maxAnswerTokens) : 1;
}

// Returns what the customers of the configuration ask for.
std::vector<CustomerClaim> claimsOf(const std::map<std::string, double> &shares,
                                    const PoolDemand &demand)
{
    std::vector<CustomerClaim> claims;
    for (const auto &[name, share] : shares) {
        const auto found = demand.customers.find(customerId(name));
        if (found != demand.customers.end())
            claims.push_back({found->second, share});
    }
    return claims;
}

std::string detailOf(const RoomDecision &decision, const RoomInput &input, Duration age)
{
    double asked = 0;
    double shares = 0;
    for (const CustomerClaim &one : input.customers) {
        asked += one.workPerSecond;
        shares += one.share;
    }
    const auto part = [](double value, double sum) { return sum > 0 ? value / sum : 0; };
    return fmt::format(
        "cause:{},priority:{},pressure:{:.2f},refused:{:.2f},share:{:.3f},asked:{:.3f},age:{}",
        roomCauseName(decision.cause), input.request.priority, decision.pressure,
        decision.refusedPart, part(input.own.share, shares), part(input.own.workPerSecond, asked),
        millisecondsText(age));
}

} // namespace

// With a single customer there is nobody to share with.
bool Dispatch::sharesRoom() const
{
    return m_state.settings.features.customerShares && m_exchange->config().customers.size() > 1;
}

RoomRequest Dispatch::roomRequest(bool isRemote) const
{
    const FleetConfig &config = m_exchange->config();
    RoomRequest request;
    request.priority = m_exchange->priority;
    request.targetSeconds = seconds(m_exchange->service->targetLatency);
    request.roundTripSeconds = isRemote ? 2 * seconds(config.regionOneWay) : 0;
    request.expectedSeconds = seconds(m_exchange->service->expectedDuration);
    request.lateIsUndelivered = config.weights.lateIsUndelivered;
    request.remainingSeconds = seconds(remaining());
    request.deadlineSeconds = seconds(m_exchange->service->deadline);
    request.admittedElsewhere = m_exchange->fromPeer;
    request.draw = m_admissionDraw;
    return request;
}

// Counts a request once for its customer, where its caller is connected, and once in each region
// where it may run.
void Dispatch::countCustomerDemand(const std::string &region)
{
    if (!sharesRoom() || m_customerDemandCounted)
        return;
    m_customerDemandCounted = true;
    const TimePoint now = m_state.clock.now();
    const std::string &pool = loadKey(*m_exchange);
    const double work = workOf(m_exchange->prompt);
    if (!m_exchange->fromPeer)
        m_state.customerDemand.onRequest(m_exchange->customer->name, pool, work, now);
    m_state.roomHistory.onRequest(region, pool, roomRequest(false), work, now);
}

std::optional<Refusal> Dispatch::admissionRefusal(const RegionLoad &load, bool isRemote,
                                                  bool isFinal)
{
    const TimePoint now = m_state.clock.now();
    const std::string &pool = loadKey(*m_exchange);
    const PoolDemand demand
        = sharesRoom() ? m_state.customerDemand.demandFor(pool, now) : PoolDemand{};
    if (!demand.age) {
        const AdmissionDecision decision
            = m_state.admission.decide(admissionInput(load, isRemote), m_state.random);
        if (decision.code == ResultCode::served)
            return std::nullopt;
        return Refusal{decision.code, "", decision.retryAfter};
    }
    const FleetConfig &config = m_exchange->config();
    const AdmissionInput known = admissionInput(load, isRemote);
    RoomInput input;
    input.request = roomRequest(isRemote);
    input.room = {load.slots,
                  load.outstanding,
                  config.limits.queueFactor,
                  waitSeconds(load.slots, load.outstanding, input.request.expectedSeconds),
                  known.promptReadDelaySeconds,
                  known.eventIntervalSeconds,
                  known.maxEventIntervalSeconds};
    input.classes = m_state.roomHistory.classes(load.region, pool, now);
    const auto shares = roomShares(config.customers);
    input.customers = claimsOf(shares, demand);
    const std::string &customer = m_exchange->customer->name;
    const auto own = demand.customers.find(customerId(customer));
    const auto share = shares.find(customer);
    input.own = {own == demand.customers.end() ? 0 : own->second,
                 share == shares.end() ? m_exchange->customer->share : share->second};
    if (isFinal)
        input.secondsUntilRoom = m_state.roomHistory.secondsUntilRoom(
            load.region, pool, m_exchange->priority, roomShortage(input), now);
    const RoomDecision decision = decideRoom(input, m_state.random);
    if (decision.cause == RoomCause::none)
        return std::nullopt;
    if (isFinal)
        m_state.metrics.onRoomRefusal(roomCauseName(decision.cause), m_exchange->priority);
    if (isFinal)
        m_routeInputs.refusal = detailOf(decision, input, *demand.age);
    // What other customers ask for is not told to callers.
    return Refusal{codeOf(decision.cause), "", decision.retryAfter};
}

} // namespace ibisnotch
