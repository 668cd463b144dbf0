// Carries one admitted request to a backend server or another region, and its answer back.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "claim-service.h"
#include "control.h"
#include "exchange.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/warmup.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

struct DispatchServices
{
    EntryState &state;
    Control &control;
    const Protocol &protocol;
    ClaimService *claimService = nullptr; // null where the protocol knows no booking keys
};

// What the last choice of a target went by, for the line that is logged when the request is over.
struct RouteInputs
{
    RegionLoad localLoad;
    std::optional<RegionLoad> remoteLoad; // of the region chosen, if another one
    double maxEventIntervalSeconds = 0; // between two events of a stream
    double serverLoad = 0; // corrected, of the server chosen
    double serverSlots = 0;
    double serverDelay = 0; // seconds before a prompt sent now is read
    double tokensPerMs = 0; // at which servers of its pool read; 0: not known
    std::optional<Duration> reportAge; // of that server's last report; none: it never reported
    std::optional<Duration> remainingColdTime; // how much longer that server was taken for cold
    std::uint64_t listRevision = 0;
    std::optional<Duration> listAge; // none: no list has been read
};

// Lives until the request is over, on the loop of one HTTP client.
class Dispatch final : public std::enable_shared_from_this<Dispatch>
{
public:
    Dispatch(DispatchServices services, ExchangePtr exchange, HttpClient &client);

    void start();

private:
    class Attempt;

    // How the right to send a booking was taken.
    enum class SendRight { none, notNeeded, issuedKey, claim };

    // Booking rights.
    void acquireSendRight();
    void useIssuedKey(const IssuedKey &key);
    void forwardToIssuer(const IssuedKey &key);
    void claimCallerKey(const CallerKey &key);
    void onClaim(const ClaimResult &result);
    void settleDone(int status, const std::string &answer);
    void settleNotRun();
    void settleUnknown();

    // Choice of a target.
    struct PlanAgain // and plan again then
    {
        Duration time{};
        bool operator==(const PlanAgain &) const = default;
    };
    using Plan = std::variant<Target, Refusal, PlanAgain>;
    Plan plan(bool admit);
    std::vector<Candidate> candidatesIn(const RoutingTable &table) const;
    double sharedReadSeconds(std::span<const Candidate> candidates) const;
    // Leaves the candidates that may get a request now. False if there are none, but one may soon.
    bool keepReadyCandidates(const RoutingTable &table, std::vector<Candidate> &candidates) const;
    PossiblyColdServer possiblyColdServer(const RoutingTable &table, const ServerView &view) const;
    std::optional<std::size_t> possiblyColdShareOf(const RoutingTable &table,
                                                   const ServerView &view) const;
    bool tryAcquireColdSend(const RoutingTable &table, const ServerView &view) const;
    bool maySendWhileCold(const RoutingTable &table, const ServerView &view) const;
    std::optional<Duration> warmupIntervalOf(const RoutingTable &table,
                                             const ServerView &view) const;
    AdmissionInput admissionQuestion(const RegionLoad &load, bool isRemote) const;
    Plan planRemote(const std::string &region);
    Plan pickServer(const RoutingTable &table);
    static Target peerTarget(const Member &member);
    Target serverTarget(const ServerView &view) const;

    // Attempts.
    void route();
    // For a stream that has to go on, where nobody takes it now, or no retry is left. True if it
    // will be tried again.
    bool waitForCapacity(const Refusal &refusal);
    bool waitForRetry(AttemptOutcome end);
    bool mayWaitForCapacity() const;
    void runAfterCapacityPause(std::function<void()> next);
    void send(const Target &target);
    bool checkQuarantine();
    OutgoingRequest makeRequest(const Target &target) const;
    // What the attempt under way reports.
    void onServerResponse(const Target &target, const ResponseReader &reader);
    void writeToCaller(const HttpResponse &answer, std::string data);
    void onCallerLeft();
    // What the server still has to read of the prompt, as far as it can be known.
    std::int64_t tokensToRead() const;
    void recordFirstByte(const Target &target);
    // Whether an attempt without a byte since `lastReceivedAt` may still come to something better
    // than what another server would give.
    bool shouldKeepWaiting(const Target &target, const ResponseReader &reader,
                           TimePoint lastReceivedAt) const;
    bool hasCapacityElsewhere(double maxUtilization) const;
    void removeAwaitedFirstToken(const Target &target);
    TransferLimits limitsFor(const Target &target) const;
    void onAttemptEnd(const Target &target, AttemptOutcome end, Attempt &attempt);
    void routeAgain(AttemptOutcome end);
    void recordAttempt(const Target &target, AttemptOutcome end);
    void onServerLost(const Target &target);
    void checkServerAlive(const Target &target);
    RetryInput retryQuestion(AttemptOutcome end, int runs, bool callerHasSeenBytes) const;
    bool tryAgain(AttemptOutcome end, bool callerHasSeenBytes);
    bool isRejectedByRemoteRegion(const Target &target, const Attempt &attempt) const;
    void returnToLocalRegion();
    void deliver(Attempt &attempt);
    void reply(HttpResponse answer, ResultCode code);
    void abortStream(AttemptOutcome end);

    // The end.
    void failRequest(AttemptOutcome end);
    void refuse(const Refusal &refusal);
    void finish(ResultCode code);

    void logFinished(ResultCode code, bool good) const;
    std::string routeInputsText() const;
    void trace(std::string what);
    Duration remaining() const;
    std::string servedBy(const Headers &answer) const;

    EntryState &m_state;
    Control &m_control;
    const Protocol &m_protocol;
    ClaimService *m_claimService;
    ExchangePtr m_exchange;
    HttpClient &m_client;

    SendRight m_sendRight = SendRight::none;
    std::uint64_t m_claimAttempt = 0;
    std::string m_claimPage;
    std::string m_claimId;
    double m_admissionDraw; // of this request, for admission
    bool m_admitted = false;
    bool m_forwardedToIssuer = false;
    // True once an attempt ended without certainty that it did not run. From then on no answer may
    // say "not run".
    bool m_mayHaveRun = false;
    bool m_isQuarantineTrial = false;
    bool m_forwardedToRegion = false;
    bool m_stayInRegion = false; // another region had no room
    int m_statusCheckWaits = 0; // for a server that may get the request
    int m_attempts = 0;
    int m_runs = 0; // attempts that may have run
    std::weak_ptr<Attempt> m_currentAttempt;
    bool m_callerLeft = false;
    std::uint32_t m_recoveryEpoch = 0; // of the server of the attempt under way (silence.h)
    bool m_streamRecorded = false; // counted at that server
    bool m_awaitingFirstToken = false; // counted at the server of the attempt under way
    bool m_streamStarted = false; // the caller has the head of a stream
    // A whole failure answer of a backend server, for the caller if nothing better comes.
    std::optional<HttpResponse> m_serverError;
    std::set<std::string> m_triedTargets;
    std::string m_servedBy;
    TimePoint m_attemptStartedAt{};
    double m_cost = 0;
    std::optional<TimePoint> m_firstByteAt;
    RouteInputs m_routeInputs;
    std::optional<ResponseLoad> m_responseLoad;
};

} // namespace ibisnotch
