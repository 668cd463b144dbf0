#include "ibisnotch/request-limit.h"

#include <algorithm>
#include <cmath>

#include "ibisnotch/shared-rate.h"

namespace ibisnotch {

namespace {

// Requests are assigned to the senders in whole numbers for this time, or longer if fewer than one
// falls in it.
constexpr Duration assignmentTime = std::chrono::seconds(4);
// Requests may arrive closer together than they are sent.
constexpr Duration jitter = std::chrono::milliseconds(250);
// A response without a limit ends it only if its request was sent so long after the limit was last
// named. Responses overtake each other, and not each of a server's responses need name it.
constexpr Duration minTimeInForce = std::chrono::seconds(1);
// A limit ends if nobody has heard of it for three times the time for which requests are assigned.
// At least one request falls in that time.
constexpr int validityFactor = 3;
constexpr Duration tellInterval = std::chrono::seconds(2);
// Other instances are told of a different value at once if it differs by more than this factor.
constexpr double notableFactor = 1.1;
// A server that accepts less still gets a request now and then, or its limit would never be heard
// to end.
constexpr double minRequestsPerSecond = 1.0 / 30;
constexpr double maxRequestsPerSecond = 100'000;

SharedRate sharedRate(double perSecond)
{
    const double rate = std::clamp(perSecond, minRequestsPerSecond, maxRequestsPerSecond);
    const double requests = rate * seconds(assignmentTime);
    if (requests >= 1)
        return {static_cast<std::size_t>(requests), assignmentTime + jitter};
    return {1, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate))};
}

} // namespace

bool differsNotably(double a, double b)
{
    return (a <= 0) != (b <= 0) || a > b * notableFactor || b > a * notableFactor;
}

LimitNews RequestLimit::onResponse(double perSecond, TimePoint sentAt, TimePoint now)
{
    const bool ends = perSecond <= 0;
    if (ends && (this->perSecond(now) <= 0 || sentAt < m_namedAt + minTimeInForce))
        return LimitNews::none;
    const bool changed = this->perSecond(now) <= 0 || differsNotably(perSecond, m_told);
    m_perSecond = perSecond;
    m_namedAt = now;
    if (!changed && now < m_toldAt + tellInterval)
        return LimitNews::none;
    m_told = perSecond;
    m_toldAt = now;
    return changed ? LimitNews::changed : LimitNews::confirmed;
}

bool RequestLimit::onUpdate(double perSecond, TimePoint now)
{
    // An instance may hear of the end before this one heard the server name the limit again.
    if (perSecond <= 0 && now < m_namedAt + minTimeInForce)
        return false;
    const bool changed = differsNotably(perSecond, this->perSecond(now));
    m_perSecond = perSecond;
    m_namedAt = now;
    m_told = perSecond;
    m_toldAt = now;
    return changed;
}

double RequestLimit::perSecond(TimePoint now) const
{
    if (m_perSecond <= 0)
        return 0;
    const Duration validity = validityFactor * sharedRate(m_perSecond).window;
    return now < m_namedAt + validity ? m_perSecond : 0;
}

std::optional<Duration> limitInterval(double perSecond, const std::vector<std::string> &senders,
                                      const std::string &self, const std::string &server)
{
    return sendInterval(sharedRate(perSecond), senders, self, server);
}

} // namespace ibisnotch
