// Dispatches one request to a backend server or another region, and its response to the caller.
#pragma once

#include <atomic>
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
#include "ibisnotch/weighing-picker.h"
#include "protocol.h"
#include "state.h"

namespace ibisnotch {

struct DispatchServices
{
    EntryState &state;
    Control &control;
    const Protocol &protocol;
    ClaimService *claimService = nullptr; // null if the protocol has no booking keys
};

// The inputs of the last routing decision, for the log line of the finished request.
struct RouteInputs
{
    RegionLoad localLoad;
    bool byPlan = false; // the region was chosen by the regions' plan
    std::optional<RegionLoad> remoteLoad; // of the chosen region, if it is another one
    // Longest acceptable interval between stream events; 0 if unknown.
    double maxEventIntervalSeconds = 0;
    // Of the chosen server, including requests that its last report does not cover yet.
    double serverLoad = 0;
    double serverSlots = 0; // of the chosen server; 0 if none was chosen
    double serverDelay = 0; // seconds until the chosen server starts to read a prompt sent now
    double tokensPerMs = 0; // prompt tokens that servers of its pool read per ms; 0 if unknown
    std::optional<Duration> reportAge; // of its last report; empty if it never reported
    std::optional<Duration> remainingColdTime; // of the chosen server; empty if it was not cold
    std::size_t senders = 0; // instances among which a cold server's rate is divided
    // Of the chosen engine; empty if there is none or its reading rate is unknown.
    std::optional<EngineForecast> forecast;
    double aheadSeconds = 0; // in which the chosen engine reads what it was estimated to have left
    double serverSlowdown = 1; // of the chosen server
    // Of the chosen engine; empty if cached parts weren't weighed.
    std::optional<WeighedChoice> prefix;
    std::uint64_t listRevision = 0; // of the list of servers
    std::optional<Duration> listAge; // empty if no list has been read
    std::string refusal; // why there was too little room; empty if there was enough
};

// Handles one request until it is finished, on the event loop of one HTTP client.
class Dispatch final : public std::enable_shared_from_this<Dispatch>
{
public:
    Dispatch(DispatchServices services, ExchangePtr exchange, HttpClient &client);

    void start();

    // Ends the request with what can be told about it, as the instance stops. Does nothing if it
    // has ended. May be called from any thread.
    void cut();

private:
    class Attempt;

    // What an attempt leaves behind whose server may have crashed.
    struct LostAttempt
    {
        bool isMarked = false; // the request counts as one that may have crashed the server
        bool isBroken = false; // the connection broke
        std::size_t requestCrashes = 0; // of the request, known when the attempt began
        bool accusesParts = false; // so do the parts of its prompt
        std::vector<int> knownCrashes; // of these parts, when the attempt began
        std::vector<BlockedPart> triedParts; // blocked parts of which it was the trial
        bool operator==(const LostAttempt &) const = default;
    };

    // How the right to send a booking was acquired.
    enum class SendRight { none, notNeeded, issuedKey, claim };

    // Booking rights.
    void acquireSendRight();
    void useIssuedKey(const IssuedKey &key);
    void forwardToIssuer(const IssuedKey &key);
    void claimCallerKey(const CallerKey &key);
    void onClaim(const ClaimResult &result);
    // Record the outcome under the booking's key: the booking was answered, certainly did not run,
    // or may have run.
    void settleDone(int status, const std::string &responseBody);
    void settleNotRun();
    void settleUnknown();

    // Choice of a target.

    // No target can be chosen yet; the choice is repeated after `time`.
    struct PlanAgain
    {
        Duration time{};
        bool operator==(const PlanAgain &) const = default;
    };
    using Plan = std::variant<Target, Refusal, PlanAgain>;
    // Chooses the target of the next attempt. If `admit` is true, a request that has not been
    // admitted before must pass admission first.
    Plan plan(bool admit);
    std::vector<Candidate> candidatesIn(const RoutingTable &table) const;
    double sharedReadSeconds(std::span<const Candidate> candidates) const;
    // Sets the slowdown of the candidates, and the state of engines, where the settings ask for it.
    void addForecastInputs(const RoutingTable &table, std::vector<Candidate> &candidates) const;
    EngineWork engineWork() const;
    // Removes the candidates that may not get a request now. Returns false if none is left but one
    // may become ready soon.
    bool keepReadyCandidates(const RoutingTable &table, std::vector<Candidate> &candidates) const;
    PossiblyColdServer possiblyColdServer(const RoutingTable &table, const ServerView &view) const;
    std::optional<std::size_t> possiblyColdShareOf(const RoutingTable &table,
                                                   const ServerView &view) const;
    bool isRateLimited(const ServerView &view) const;
    bool tryAcquireSend(const RoutingTable &table, const ServerView &view) const;
    bool maySend(const RoutingTable &table, const ServerView &view) const;
    std::optional<Duration> sendIntervalOf(const RoutingTable &table, const ServerView &view) const;
    // Returns the least time for which a server of the service rests if all of them do.
    std::optional<Duration> leastRest(const RoutingTable &table) const;
    // Returns when a caller should come back whom no server can serve now.
    Duration retryAfterWithoutServer(const RoutingTable &table, double defaultSeconds) const;
    AdmissionInput admissionInput(const RegionLoad &load, bool isRemote) const;
    // Returns whether customers have shares of the room in a region.
    bool sharesRoom() const;
    RoomRequest roomRequest(bool isRemote) const;
    void countCustomerDemand(const std::string &region);
    // Returns the refusal of a request that would run under this load; empty if it is admitted.
    // Only the `isFinal` decision about a request is counted.
    std::optional<Refusal> admissionRefusal(const RegionLoad &load, bool isRemote, bool isFinal);
    Plan planRemote(const std::string &region);
    Plan pickServer(const RoutingTable &table);
    // Returns the index of a candidate.
    std::size_t chooseServer(const RoutingTable &table, const PickInput &input);
    static Target peerTarget(const Member &member);
    Target serverTarget(const ServerView &view) const;

    // Division among regions (dispatch-region.cc).

    // Returns the class of the request among those that the regions divide; empty if it is not
    // divided.
    std::optional<DemandClass> demandClass() const;
    // Counts what the caller asks for, once for each request.
    void countDemand(const DemandClass &demandClass, std::span<const Candidate> candidates);
    // Returns the region in which the plan runs the request; empty if the choice is free.
    std::optional<RegionDecision> plannedRegion(const RegionChoiceInput &input,
                                                const DemandClass &demandClass, bool admit);

    // Attempts.
    void route();
    bool canResume() const;
    Duration minAttemptTime() const;
    // Schedules another attempt for a stream that has started and has to be resumed, if what stands
    // in its way now may end. Returns true if there will be one.
    bool waitToResume(const Refusal &refusal);
    bool mayWaitToResume() const;
    // Logs a decision about another attempt with its inputs, the first time for each sentence.
    void logRetryDecision(std::string_view sentence, std::string_view cause);
    bool isRemote(const Target &target) const;
    void addRetryShare(const Target &target);
    // Returns true if the request may be sent to a server or peer while the instance stops, or
    // refuses it and returns false.
    bool passesStop();
    // Returns how long a run takes typically; of a stream that can't be resumed, all of it.
    Duration typicalRun() const;
    void send(const Target &target);
    // Starts a trial of the request if it is due.
    QuarantineDecision checkQuarantine();
    // Returns true if the request may be sent to a backend server. If it is quarantined, or held
    // while a trial of it is running, refuses it or lets its stream wait, and returns false.
    bool passesQuarantine();
    // Whether a server has crashed, and what is held against the request and the parts of its
    // prompt (dispatch-suspects.cc).

    // Called when an attempt at a server has ended while its caller is there. Returns whether the
    // parts of its prompt are accused, until it is known whether the server still runs.
    bool onSuspectedCrash(const Target &target, AttemptOutcome outcome, const Attempt &attempt);
    void checkServerAlive(const Target &target, const LostAttempt &lost);
    void onServerChecked(const Target &target, const LostAttempt &lost,
                         const BufferedResponse &reply);
    // Returns whether the crash counts, see Quarantine.
    bool markCrash(const Target &target, std::size_t knownCrashes);
    void clearCrash();
    // Refuses the request and returns false if a part of its prompt is blocked.
    bool passesPartCheck(const Target &target);
    // Lets another prompt be the trial of the blocked parts of which this one was, after `delay`.
    void returnPartTrial(Duration delay);
    // Called when the server begins to answer.
    void onAnswerBegun();
    // Called when an attempt that may have crashed its server has ended without an answer.
    void onPromptLost();
    void onServerAlive(const std::vector<BlockedPart> &triedParts);
    void onServerCrashed(const Target &target, const std::vector<int> &knownCrashes);
    // Returns how long the target is told that the caller still waits.
    Duration waitAt(const Target &target) const;
    OutgoingRequest makeRequest(const Target &target) const;
    // The software version at which a stream goes on (dispatch-origin.cc).

    // Returns whether the next attempt continues a stream of which the caller has events.
    bool continuesStream() const;
    // Returns the origin of the stream to be continued; null if there is none or it isn't known.
    const StreamOrigin *continuedOrigin() const;
    // Finds the origin of the stream to be continued, then routes the request or refuses it.
    void findOrigin();
    void onOriginFound(OriginFinding finding);
    bool isRouteInForce() const;
    void recordCallerLimit();
    // Makes all further choices use the origin's pool. Returns false if the service doesn't use it.
    bool useOriginPool();
    // Records the origin of a stream whose first event this attempt has brought.
    void onStreamBegun(const Attempt &attempt);
    void keepOriginRecord();
    bool mayContinue(const BackendServer &server) const;
    // Returns the allowed regions; of the other regions, those with a server that may continue the
    // stream.
    std::vector<std::string> usableRegions(const RoutingTable &table) const;
    // Returns whether no server is listed that may continue the stream, now or later.
    bool isVersionGone(const RoutingTable &table) const;
    // Returns whether another server than those tried may continue the stream.
    bool canContinueElsewhere() const;
    void logContinuation(const Target &target) const;
    // Called by the current attempt.
    void onServerResponse(const Target &target, const ResponseReader &reader);
    // Writes complete events, or data of a long response, that the attempt received.
    void writeToCaller(const Attempt &attempt, std::string data);
    void onCallerLeft();
    // Bytes held for callers and servers that read slowly (dispatch-buffers.cc).

    // Called when the server has read too little of the request's body.
    void onServerReadsSlowly();
    // Records that the response isn't read, as its caller reads slowly.
    void recordPause(const Target &target, std::size_t held);
    // Makes an attempt wait until the caller has taken most of what is held for it. Returns true if
    // the attempt will follow.
    bool waitForCaller(const Target &target, AttemptOutcome outcome);
    // Returns the prompt tokens that the server has to read if it has the shared ones cached.
    std::int64_t tokensToRead() const;
    void recordFirstByte(const Target &target);
    void recordKeptParts(const Target &target);
    void recordEndedStream(const Target &target, const Attempt &attempt);
    // Returns true if an attempt that has received nothing since `lastReceivedAt` should continue,
    // false if it should end so that another server can be tried. Then the retry is acquired.
    bool shouldKeepWaiting(const Target &target, const ResponseReader &reader,
                           TimePoint lastReceivedAt);
    bool shouldMove(const Target &target, bool callerHasPart, bool overdue, Duration timeout) const;
    bool hasCapacityElsewhere(double maxUtilization) const;
    void removeAwaitedFirstToken(const Target &target);
    TransferLimits limitsFor(const Target &target) const;
    void onAttemptFinished(const Target &target, AttemptOutcome outcome, Attempt &attempt);
    void routeRetry(AttemptOutcome outcome);
    void recordAttempt(const Target &target, AttemptOutcome outcome, const Attempt &attempt);
    void recordMismatch(const Target &target, MismatchCause cause);
    void countRuns(const Target &target, AttemptOutcome outcome, const Attempt &attempt);
    // Adds the numbers of runs and attempts to a response if it goes to the peer that forwarded the
    // request.
    void addCountsToPeer(Headers &headers, int runs) const;
    // Adds the origin of a stream to the head of its response if it goes to such a peer.
    void addOriginToPeer(Headers &headers) const;
    // Returns whether a peer reports attempts at backend servers that weren't counted yet, and
    // counts them.
    bool countPeerAttempts(const Attempt &attempt);
    // Returns whether the status would say that a request did not run which may have run and must
    // not run twice.
    bool isFalsePromise(const Attempt &attempt) const;
    static bool isNotRunAtPeer(const Target &target, const Attempt &attempt);
    void logFailedAttempt(const Target &target, AttemptOutcome outcome,
                          const Attempt &attempt) const;
    RetryInput retryInput(AttemptOutcome outcome, int runs) const;
    bool mayRetry(const Target &target, AttemptOutcome outcome, int runs) const;
    bool tryAcquireBudget(AttemptOutcome outcome);
    void retryOrEnd(const Target &target, AttemptOutcome outcome);
    bool isRejectedByRemoteRegion(const Target &target, const Attempt &attempt) const;
    bool isRefusedByUnreadyPeer(const Target &target, const Attempt &attempt) const;
    bool isRefusedByOlderConfig(const Target &target, const Attempt &attempt) const;
    bool acquireRetryAfterRejection();
    void returnToLocalRegion();
    void deliver(Attempt &attempt);
    void reply(HttpResponse response, ResultCode code);
    void abortStream(AttemptOutcome outcome);
    void endAfterFailure(AttemptOutcome outcome);

    // End of the request.
    void failRequest(AttemptOutcome outcome);
    ResultCode finalCode(AttemptOutcome outcome) const;
    void refuse(const Refusal &refusal);
    void finish(ResultCode code);
    void cutNow();

    std::string callerGoneText() const;
    void logFinished(ResultCode code, bool good) const;
    std::string routeInputsText() const;
    void trace(std::string description);
    Duration remaining() const;
    std::string servedBy(const Headers &response) const;

    EntryState &m_state;
    Control &m_control;
    const Protocol &m_protocol;
    ClaimService *m_claimService;
    ExchangePtr m_exchange;
    HttpClient &m_client;
    // Default while the caller is there. Set on the thread that sees its connection close.
    const std::shared_ptr<std::atomic<TimePoint>> m_callerLeftAt
        = std::make_shared<std::atomic<TimePoint>>();

    SendRight m_sendRight = SendRight::none;
    std::uint64_t m_claimAttempt = 0; // identifies this request's claim
    std::string m_claimPage;
    std::string m_claimId;
    double m_admissionDraw; // random number in [0, 1) for the admission of this request
    bool m_admitted = false;
    double m_regionDraw; // random number in [0, 1) for the choice among the regions of the plan
    bool m_demandCounted = false;
    bool m_customerDemandCounted = false;
    bool m_forwardedToIssuer = false; // to the instance that issued the booking's key
    // True once an attempt may have run and ended without a response. From then on the caller must
    // not be told "not run".
    bool m_mayHaveRun = false;
    bool m_isQuarantineTrial = false;
    std::size_t m_requestCrashes = 0; // known of the request when the attempt began
    std::vector<BlockedPart> m_triedParts; // of which the current attempt is the trial
    std::vector<int> m_knownCrashes; // of the prompt's shared parts, when the attempt began
    bool m_forwardedToRegion = false; // an attempt went to another region that did not reject it
    bool m_stayInRegion = false; // another region rejected the request
    int m_coldCheckWaits = 0; // times that the request waited for checks of possibly cold servers
    int m_attempts = 0; // all attempts, also those that did not run
    bool m_wasSentBefore = false; // a request with the same id, by this or another dispatch
    int m_runs = 0; // attempts that may have run, also those that a peer made for this instance
    // Attempts at backend servers, also those that a peer made for this instance.
    int m_serverAttempts = 0;
    bool m_runsUnknown = false; // the last attempt was at a peer that didn't report its runs
    int m_reportedRuns = 0; // reported to the peer that forwarded the request
    bool m_retryAcquired = false; // the retry budget for the next attempt is acquired
    std::weak_ptr<Attempt> m_currentAttempt;
    bool m_serverReadsSlowly = false; // the exchange ends without another attempt
    bool m_isCut = false; // the instance stops and can't wait for the response
    bool m_hasFinished = false; // the request has ended; timers may still refer to it
    bool m_findsOrigin = false; // other instances are asked for the stream's origin
    std::uint32_t m_recoveryEpoch = 0; // of the current attempt's server (silence.h)
    bool m_streamRecorded = false; // whether that server's counters include the stream
    bool m_awaitingFirstToken = false; // whether that server's counters include the prompt
    bool m_streamStarted = false; // the status and headers of a stream were sent to the caller
    bool m_hasEventsOnly = false; // what was sent to the caller is no answer of another kind
    // A complete error response of a backend server, sent to the caller if no attempt succeeds.
    std::optional<HttpResponse> m_serverError;
    std::set<std::string> m_triedTargets; // names of servers and peers
    std::set<std::string_view> m_loggedDecisions; // see logRetryDecision()
    std::string m_servedBy;
    std::string m_lastTransfer = "none"; // how the last attempt's transfer ended, for the log
    // Of the configuration by which the peer of the last attempt decided; 0 if it didn't say so.
    std::uint64_t m_peerVersion = 0;
    int m_statusSent = 0; // in the head that was sent to the caller
    TimePoint m_attemptStartedAt{};
    double m_cost = 0; // of all attempts: seconds at a server times the server's cost
    std::optional<TimePoint> m_firstByteAt;
    RouteInputs m_routeInputs;
    std::optional<ResponseLoad> m_responseLoad;
};

} // namespace ibisnotch
