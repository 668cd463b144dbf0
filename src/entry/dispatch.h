// Carries one admitted request to a backend server or another region, and its answer back.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "claim-desk.h"
#include "control.h"
#include "exchange.h"
#include "ibisnotch/answer-check.h"
#include "ibisnotch/http-client.h"
#include "state.h"

namespace ibisnotch {

struct DispatchServices
{
    EntryState &state;
    Control &control;
    ClaimDesk &desk;
};

// Lives until the request is over, on the loop of one HTTP client.
class Dispatch final : public std::enable_shared_from_this<Dispatch>
{
public:
    Dispatch(DispatchServices services, ExchangePtr exchange, HttpClient &client);

    void start();

private:
    class Attempt;

    // Where one attempt goes.
    struct Target
    {
        bool away = false; // to an entry instance, in this region or another
        std::string name; // of the backend server or the entry instance
        std::string region;
        std::string address;
        double cost = 0;
        std::shared_ptr<ServerCounters> counters; // backend servers only
        bool trial = false; // of an ejected server
        std::uint64_t incarnation = 0; // of a backend server, as last reported
    };

    // How the right to send a booking was taken.
    enum class Right { none, notNeeded, issuedKey, claim };

    // Booking rights.
    void takeRight();
    void useIssuedKey(const IssuedKey &key);
    void forwardToIssuer(const IssuedKey &key);
    void claimCallerKey(const CallerKey &key);
    void onClaim(const ClaimResult &result);
    void settleDone(int status, const std::string &answer);
    void settleNotRun();
    void settleUnknown();

    // Choice of a target.
    std::variant<Target, Refusal> plan(bool admit);
    AdmissionQuestion admissionQuestion(const RegionLoad &load, bool away) const;
    std::variant<Target, Refusal> planAway(const std::string &region);
    std::variant<Target, Refusal> pickServer(const RoutingTable &table);

    // Attempts.
    void route();
    void send(const Target &target);
    bool passQuarantine();
    OutgoingRequest makeRequest(const Target &target) const;
    TransferLimits limitsFor(const Target &target) const;
    void onAttemptEnd(const Target &target, AttemptEnd end, Attempt &attempt);
    void routeAgain(AttemptEnd end);
    void noteAttempt(const Target &target, AttemptEnd end);
    void onServerLost(const Target &target);
    void checkServerAlive(const Target &target);
    bool tryAgain(AttemptEnd end, bool callerHasSeenBytes);
    void deliver(Attempt &attempt);
    void breakOff(AttemptEnd end);

    // The end.
    void giveUp(AttemptEnd end);
    void refuse(const Refusal &refusal);
    void finish(ResultCode code);

    void trace(std::string what);
    Duration remaining() const;
    std::string servedBy(const Headers &answer) const;

    EntryState &m_state;
    Control &m_control;
    ClaimDesk &m_desk;
    ExchangePtr m_exchange;
    HttpClient &m_client;

    Right m_right = Right::none;
    std::uint64_t m_claimAttempt = 0;
    std::string m_claimPage;
    std::string m_claimId;
    bool m_admitted = false;
    bool m_toIssuer = false;
    // True once an attempt ended without certainty that it did not run. From then on no answer may
    // say "not run".
    bool m_mayHaveRun = false;
    bool m_trial = false;
    bool m_sentAway = false;
    int m_attempts = 0;
    std::set<std::string> m_tried;
    std::string m_servedBy;
    TimePoint m_attemptStarted{};
    double m_cost = 0;
    std::optional<TimePoint> m_firstByte;
};

} // namespace ibisnotch
