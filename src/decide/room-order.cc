#include "ibisnotch/room-order.h"

#include <algorithm>
#include <cmath>

namespace ibisnotch {

namespace {

// Some requests must be accepted to show when a peak has ended, and no class may get nothing.
constexpr double maxRefusedPart = 0.85;
// Part of what all get on average that each customer gets at least.
constexpr double guaranteedPart = 0.25;
// Part of the slots below which nothing is refused while prompts don't wait either.
constexpr double freeSlotsPart = 0.5;
// Factor by which a customer may exceed its share before it gives way to others.
constexpr double shareTolerance = 1.25;

// Part of the target for first tokens at which refusal starts, and at which nearly all is refused.
constexpr double readingStart = 0.6;
constexpr double readingFull = 1.4;
// The same for customers above their share. They give way before others notice.
constexpr double readingShareStart = 0.3;
constexpr double readingShareFull = 0.8;
// Part of the target of more urgent requests up to which less urgent ones may use it up.
constexpr double usableByLessUrgent = 0.35;
// Part of the highest acceptable event interval. The interval is a mean over servers of which some
// are slower, so refusal starts below it.
constexpr double streamsStart = 0.85;
constexpr double streamsFull = 1.85;

constexpr double rateTimeConstantSeconds = 2;
constexpr double fastTrendSeconds = 0.3;
constexpr double slowTrendSeconds = 1;
constexpr double minFallPerSecond = 0.05; // slower changes of the pressure are noise
// Callers honour a time to come back up to this part of their remaining time.
constexpr double maxRetryPart = 1.0 / 3;
constexpr double minRetrySeconds = 0.2;
// Callers that are refused together come back within this factor of the time told.
constexpr double retrySpread = 1.5;

double between(double value, double start, double full)
{
    return full > start ? std::clamp((value - start) / (full - start), 0.0, 1.0) : 0;
}

// Returns the wait for first tokens as a part of the target of the request, or of those of the more
// urgent requests that wait for the same engines, as far as there are such.
double readingPressure(const RoomInput &input)
{
    const RoomRequest &request = input.request;
    const double wait = input.room.firstTokenSeconds;
    if (wait <= 0 || request.targetSeconds <= 0)
        return 0;
    const double own = (wait + request.roundTripSeconds) / request.targetSeconds;
    double requests = 0;
    double sum = 0;
    for (const CompetingClass &one : input.classes) {
        const bool counts = one.priority < request.priority && one.targetSeconds > 0;
        const double pressure
            = counts ? std::max(own, wait / (usableByLessUrgent * one.targetSeconds)) : own;
        requests += one.requestsPerSecond;
        sum += one.requestsPerSecond * pressure;
    }
    return requests > 0 ? sum / requests : own;
}

double streamsPressure(const RoomInput &input)
{
    const Room &room = input.room;
    return room.maxEventIntervalSeconds > 0
        ? room.eventIntervalSeconds / room.maxEventIntervalSeconds
        : 0;
}

double outstandingPerSlot(const Room &room)
{
    return room.slots > 0 ? room.outstanding / room.slots : 0;
}

// Returns the part of the competing requests that are more urgent.
double moreUrgentPart(const RoomInput &input)
{
    double all = 0;
    double moreUrgent = 0;
    for (const CompetingClass &one : input.classes) {
        all += one.requestsPerSecond;
        moreUrgent += one.priority < input.request.priority ? one.requestsPerSecond : 0;
    }
    return all > 0 ? moreUrgent / all : 0;
}

double queueShortage(const RoomInput &input)
{
    // Half of the queue takes up short bursts. Servers run the most urgent requests first, so that
    // half is for them: the others would wait there until the queue is empty.
    const double half = (input.room.queueFactor - 1) / 2;
    const double reserved = half * moreUrgentPart(input);
    return between(outstandingPerSlot(input.room), 1 + half - reserved,
                   input.room.queueFactor - reserved);
}

bool hasFreeRoom(const RoomInput &input)
{
    return outstandingPerSlot(input.room) < freeSlotsPart && readingPressure(input) < readingStart;
}

// Returns the shortage at which only customers above their share give way.
double shortageForShares(const RoomInput &input)
{
    const double shortage
        = std::max({between(readingPressure(input), readingShareStart, readingShareFull),
                    between(streamsPressure(input), streamsStart, streamsFull),
                    between(outstandingPerSlot(input.room), 1, input.room.queueFactor)});
    return std::min(shortage, maxRefusedPart);
}

// Returns the part of a customer's work beyond its share of the work that is not refused; 0 if it
// asks for no more than its share of what all ask for.
double excessPart(std::span<const CustomerClaim> customers, const CustomerClaim &own,
                  double missing)
{
    double work = 0;
    double shares = 0;
    for (const CustomerClaim &one : customers) {
        work += one.workPerSecond;
        shares += one.workPerSecond > 0 ? one.share : 0;
    }
    if (shares <= 0 || own.workPerSecond <= 0)
        return 0;
    const double fair = shareTolerance * work * own.share / shares;
    if (own.workPerSecond <= fair)
        return 0;
    return 1 - (1 - missing) * fair / own.workPerSecond;
}

RoomCause largestCause(const RoomInput &input)
{
    const double reading = between(readingPressure(input), readingStart, readingFull);
    const double streams = between(streamsPressure(input), streamsStart, streamsFull);
    const double queue = queueShortage(input);
    if (queue >= reading && queue >= streams)
        return RoomCause::queue;
    return reading >= streams ? RoomCause::reading : RoomCause::streams;
}

// Running a request whose response is late and has no value would only delay the next ones.
bool canEndInTime(const RoomInput &input)
{
    const Room &room = input.room;
    const double wait = std::max(room.firstTokenSeconds, room.queueSeconds);
    const bool matters = input.request.lateIsUndelivered || wait > 0;
    return !matters
        || input.request.roundTripSeconds + wait + input.request.expectedSeconds
        <= input.request.remainingSeconds;
}

// Returns the probability of refusal for a request by the time that its caller has waited, so that
// one that was refused before goes first. Waiting counts for less the more must be refused: if
// most callers come back, they would otherwise fill the room again.
double refusedAfterWaiting(const RoomRequest &request, double refused)
{
    if (request.deadlineSeconds <= 0)
        return refused;
    const double left = std::clamp(request.remainingSeconds / request.deadlineSeconds, 0.1, 1.0);
    return std::pow(refused, 1 / (left * left));
}

Duration retryAfter(const RoomInput &input, Random &random)
{
    const double longest = std::max(input.request.remainingSeconds * maxRetryPart, minRetrySeconds);
    const double earliest = input.secondsUntilRoom > 0
        ? std::clamp(input.secondsUntilRoom, minRetrySeconds, longest / retrySpread)
        : longest / 2;
    const double latest
        = input.secondsUntilRoom > 0 ? std::min(earliest * retrySpread, longest) : longest;
    const double time = earliest + (latest - earliest) * random.uniform();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

double decayed(double value, TimePoint at, TimePoint now, double timeConstant)
{
    return value * std::exp(-seconds(std::max(now - at, Duration(0))) / timeConstant);
}

} // namespace

std::string_view roomCauseName(RoomCause cause)
{
    switch (cause) {
    case RoomCause::none:
        return "none";
    case RoomCause::noSlots:
        return "noSlots";
    case RoomCause::deadline:
        return "deadline";
    case RoomCause::reading:
        return "reading";
    case RoomCause::streams:
        return "streams";
    case RoomCause::queue:
        return "queue";
    case RoomCause::customerShare:
        return "customerShare";
    }
    return "none";
}

ResultCode codeOf(RoomCause cause)
{
    switch (cause) {
    case RoomCause::none:
        return ResultCode::served;
    case RoomCause::noSlots:
        return ResultCode::noBackendServer;
    case RoomCause::deadline:
        return ResultCode::deadlineTooShort;
    case RoomCause::customerShare:
        return ResultCode::customerOverShare;
    case RoomCause::reading:
    case RoomCause::streams:
    case RoomCause::queue:
        break;
    }
    return ResultCode::overloaded;
}

std::map<std::string, double> roomShares(const std::map<std::string, Customer> &customers)
{
    double cappedShares = 0;
    int capped = 0;
    for (const auto &[name, customer] : customers) {
        cappedShares += customer.usageCap ? customer.share : 0;
        capped += customer.usageCap ? 1 : 0;
    }
    std::map<std::string, double> shares;
    for (const auto &[key, customer] : customers) {
        const bool follows = !customer.usageCap && capped > 0;
        shares[customer.name]
            = follows ? std::max(customer.share, cappedShares / capped) : customer.share;
    }
    return shares;
}

double roomShortage(const RoomInput &input)
{
    const double shortage = std::max({between(readingPressure(input), readingStart, readingFull),
                                      between(streamsPressure(input), streamsStart, streamsFull),
                                      queueShortage(input)});
    return std::min(shortage, maxRefusedPart);
}

double refusedPartOfCustomer(std::span<const CustomerClaim> customers, const CustomerClaim &own,
                             double missing)
{
    double room = 0;
    double shares = 0;
    for (const CustomerClaim &one : customers) {
        room += one.workPerSecond * (1 - missing);
        shares += one.workPerSecond > 0 ? one.share : 0;
    }
    if (own.workPerSecond <= 0 || shares <= 0)
        return missing;
    // Customers that ask for the least of their shares are served in full first.
    std::vector<CustomerClaim> sorted(customers.begin(), customers.end());
    std::erase_if(sorted, [](const CustomerClaim &one) { return one.workPerSecond <= 0; });
    std::sort(sorted.begin(), sorted.end(), [](const CustomerClaim &a, const CustomerClaim &b) {
        return a.workPerSecond * b.share < b.workPerSecond * a.share;
    });
    for (const CustomerClaim &one : sorted) {
        const double perShare = room / shares;
        if (one.workPerSecond > perShare * one.share)
            return std::clamp(1 - perShare * own.share / own.workPerSecond, 0.0, 1.0);
        room -= one.workPerSecond;
        shares -= one.share;
        if (shares <= 0)
            break;
    }
    return 0;
}

double refusedPartOfClass(std::span<const CompetingClass> classes, int priority, double missing,
                          double largestPart)
{
    double all = 0;
    double lessUrgent = 0;
    double same = 0;
    for (const CompetingClass &one : classes) {
        all += one.workPerSecond;
        lessUrgent += one.priority > priority ? one.workPerSecond : 0;
        same += one.priority == priority ? one.workPerSecond : 0;
    }
    if (all <= 0 || same <= 0)
        return std::min(missing, largestPart);
    return std::clamp((missing * all - largestPart * lessUrgent) / same, 0.0, largestPart);
}

RoomDecision decideRoom(const RoomInput &input, Random &random)
{
    const Room &room = input.room;
    const RoomRequest &request = input.request;
    RoomDecision decision;
    decision.pressure = roomShortage(input);
    const auto refuse = [&](RoomCause cause) {
        decision.cause = cause;
        decision.retryAfter = retryAfter(input, random);
        return decision;
    };
    if (room.slots <= 0)
        return refuse(RoomCause::noSlots);
    if (!canEndInTime(input))
        return refuse(RoomCause::deadline);
    if (hasFreeRoom(input))
        return decision;
    const double missing = refusedPartOfCustomer(input.customers, input.own, decision.pressure);
    const double missingForShares = shortageForShares(input);
    const double excess
        = std::min(refusedPartOfCustomer(input.customers, input.own, missingForShares),
                   excessPart(input.customers, input.own, missingForShares));
    const double forOrder
        = refusedPartOfClass(input.classes, request.priority, missing, maxRefusedPart);
    const double largestPart = 1 - guaranteedPart * (1 - decision.pressure);
    const double forShare
        = refusedPartOfClass(input.classes, request.priority, excess, largestPart);
    // A caller that has waited goes first within its class, but not above its customer's share.
    double refused
        = std::min(std::max(refusedAfterWaiting(request, forOrder), forShare), largestPart);
    // The request has passed such a draw already.
    if (request.admittedElsewhere)
        refused *= refused;
    decision.refusedPart = refused;
    if (request.draw < refused) {
        const bool overShare = forShare >= forOrder || missing > decision.pressure * shareTolerance;
        return refuse(overShare ? RoomCause::customerShare : largestCause(input));
    }
    if (outstandingPerSlot(room) >= room.queueFactor)
        return refuse(RoomCause::queue);
    return decision;
}

void RoomHistory::onRequest(const std::string &region, const std::string &pool,
                            const RoomRequest &request, double work, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    ClassRate &rate = m_places[{region, pool}].classes[request.priority];
    const bool isNew = decayed(rate.requestsPerSecond, rate.at, now, rateTimeConstantSeconds)
        < 1 / rateTimeConstantSeconds;
    rate.requestsPerSecond = decayed(rate.requestsPerSecond, rate.at, now, rateTimeConstantSeconds)
        + 1 / rateTimeConstantSeconds;
    rate.workPerSecond = decayed(rate.workPerSecond, rate.at, now, rateTimeConstantSeconds)
        + work / rateTimeConstantSeconds;
    if (isNew || rate.targetSeconds <= 0 || request.targetSeconds < rate.targetSeconds)
        rate.targetSeconds = request.targetSeconds;
    rate.at = now;
}

std::vector<CompetingClass> RoomHistory::classes(const std::string &region, const std::string &pool,
                                                 TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<CompetingClass> result;
    const auto place = m_places.find({region, pool});
    if (place == m_places.end())
        return result;
    for (const auto &[priority, rate] : place->second.classes) {
        const double kept = decayed(1, rate.at, now, rateTimeConstantSeconds);
        result.push_back({priority, kept * rate.requestsPerSecond, kept * rate.workPerSecond,
                          rate.targetSeconds});
    }
    return result;
}

double RoomHistory::secondsUntilRoom(const std::string &region, const std::string &pool,
                                     int priority, double pressure, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    Trend &trend = m_places[{region, pool}].trends[priority];
    const double elapsed = seconds(std::max(now - trend.at, Duration(0)));
    const auto follow = [&](double &average, double timeConstant) {
        average = pressure + (average - pressure) * std::exp(-elapsed / timeConstant);
    };
    follow(trend.fast, fastTrendSeconds);
    follow(trend.slow, slowTrendSeconds);
    trend.at = now;
    const double fall = (trend.slow - trend.fast) / (slowTrendSeconds - fastTrendSeconds);
    return fall > minFallPerSecond ? trend.fast / fall : 0;
}

} // namespace ibisnotch
