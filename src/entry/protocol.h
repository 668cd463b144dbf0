// The wire protocols towards callers, backend servers and peer instances. Everything between them
// works on typed values only.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "exchange.h"
#include "filters.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/retry.h"
#include "ibisnotch/server-statement.h"

namespace ibisnotch {

// The destination of one attempt.
struct Target
{
    bool isPeer = false; // an entry instance, in this region or another; else a backend server
    std::string name;
    std::string region;
    std::string address;
    double cost = 0;
    std::shared_ptr<ServerCounters> counters; // null for a peer
    bool trial = false; // whether the attempt tests an ejected server
    bool limited = false; // whether the server named a limit
    std::uint64_t incarnation = 0; // as last reported by the backend server; 0 for a peer
    std::string softwareVersion; // of the backend server; empty for a peer
};

// The load that a backend server reports in a response.
struct ResponseLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // How long work takes on the server's machine, in percent of the usual time.
    std::optional<double> slowdownPercent;
    std::string invalidSlowdown; // the same as sent, if it can't be used
    bool operator==(const ResponseLoad &) const = default;
};

// What a response says of its server's limit.
struct NamedLimit
{
    // Requests a second that the server accepts from all instances together, 0 if it names no
    // limit. Empty if the response says nothing of the server's limit.
    std::optional<double> perSecond;
    std::string invalidText; // the limit as sent, if it is not a number that can be used
    bool operator==(const NamedLimit &) const = default;
};

// Parses one response as it arrives and decides how the attempt ended.
class ResponseReader
{
public:
    virtual ~ResponseReader() = default;

    // Returns how the attempt ended if the status and headers already decide it; the transfer then
    // stops.
    virtual std::optional<AttemptOutcome> onHead(int status, const Headers &headers) = 0;
    // Appends to `out` what may be sent to the caller. Returns how the attempt ended if this data
    // decides it; the transfer then stops.
    virtual std::optional<AttemptOutcome> onData(std::string_view data, std::string &out) = 0;

    // Returns the memory that is held of the answer beside what was passed on, as of an event that
    // isn't complete.
    virtual std::size_t heldBytes() const { return 0; }
    // Called when the answer is too long to be kept until it is complete.
    virtual void onForwardedInPart() { }

    // Returns how the attempt ended. Called after the last byte of a complete transfer.
    virtual AttemptOutcome outcome() const = 0;

    // Returns true if data goes to the caller as it arrives. Known after onHead().
    virtual bool isStreaming() const = 0;
    // Returns why the response was found to be mismatched.
    virtual MismatchCause mismatchCause() const { return MismatchCause::none; }
    // Returns the id of the last event passed on, from which another server can resume the stream.
    // Empty if the response is not a resumable stream.
    virtual std::string lastEventId() const { return {}; }
    // Returns the number of stream events passed on so far.
    virtual int eventCount() const { return 0; }
    // Returns the result code that a peer reported; always `served` for a backend server.
    virtual ResultCode resultCode() const { return ResultCode::served; }
    // Returns the number of attempts at the request that a peer reported and that may have run,
    // including those before it was forwarded; 0 if not reported.
    virtual int reportedRuns() const { return 0; }
    // Returns the number of attempts at backend servers that a peer reported, counted like the runs
    // but including rejected ones; 0 if not reported.
    virtual int reportedAttempts() const { return 0; }
    // Returns the version of the configuration by which a peer decided; 0 if not reported.
    virtual std::uint64_t reportedConfigVersion() const { return 0; }
    // Returns the origin of the stream as a peer reported it; empty if it reported none.
    virtual std::optional<StreamOrigin> reportedOrigin() const { return std::nullopt; }
    // Returns what the response's backend server says of itself. Known after onHead(); empty for a
    // response of a peer.
    virtual ServerStatement statement() const { return {}; }
    virtual std::optional<ResponseLoad> reportedLoad() const { return std::nullopt; }
    virtual NamedLimit namedLimit() const { return {}; }
    // Returns whether the status would promise the caller that the request didn't run, without the
    // sender having said so. Known after onHead().
    virtual bool promisesNotRun() const { return false; }
};

// One wire protocol. Stateless and thread safe.
class Protocol
{
public:
    virtual ~Protocol() = default;

    // Returns the filters that parse and check a request, in the order in which they apply.
    virtual std::vector<std::unique_ptr<Filter>> filters(EntryState &state) const = 0;

    // Returns false for pages, which the instance serves by itself.
    virtual bool needsBackendServer(const HttpRequest &request, bool fromPeer) const = 0;

    // Returns the id that the request carries; empty if this instance has to create one.
    virtual std::string requestId(const HttpRequest &request, bool fromPeer) const = 0;

    // Returns the response to a request that this instance refuses.
    virtual HttpResponse makeRefusal(const Exchange &exchange, const Refusal &refusal,
                                     const std::string &servedBy) const = 0;
    // Returns the headers to send to the caller with a response that a backend server or a peer
    // sent with the headers `received`.
    virtual Headers makeResponseHeaders(const Exchange &exchange, ResultCode code,
                                        const Headers &received,
                                        const std::string &servedBy) const = 0;
    // Returns the last event of a stream that is aborted; empty if the protocol has none.
    virtual std::string makeStreamError(const Exchange &exchange, ResultCode code,
                                        const std::string &servedBy) const = 0;

    // Returns what precedes an event of a stream to tell the peer that forwarded the request how
    // often it has run now; empty if the protocol cannot resume streams.
    virtual std::string makeRunsReport(int) const { return {}; }

    // Make the request of one attempt. The caller adds limits and forwarding headers.
    virtual OutgoingRequest makeServerRequest(const Exchange &exchange, const Target &target,
                                              Duration remaining) const = 0;
    virtual OutgoingRequest makePeerRequest(const Exchange &exchange, const Target &target,
                                            Duration remaining) const = 0;
    virtual std::unique_ptr<ResponseReader> makeReader(const Exchange &exchange,
                                                       bool fromPeer) const = 0;

    // Makes a health check, which shows whether a backend server works. The server may let it wait
    // for a slot.
    virtual OutgoingRequest makeHealthCheck(const FleetConfig &config,
                                            const BackendServer &server) const = 0;
    // Makes a status check, which the server answers even while all its slots are in use.
    virtual OutgoingRequest makeStatusCheck(const BackendServer &server) const = 0;
    // Returns true if the response to a health check comes from the server process that `target`
    // names, not from one that was started later.
    virtual bool isSameIncarnation(const Target &target, const BufferedResponse &reply) const = 0;
    // Returns the load that the response to a health check or status check reports.
    virtual std::optional<ResponseLoad> reportedLoad(const BufferedResponse &) const
    {
        return std::nullopt;
    }
    // Returns whether the response to a health check or status check says that the server leaves.
    virtual bool saysServerLeaves(const Target &, const BufferedResponse &) const { return false; }
    // Returns how much longer the server is cold according to that response; empty if it is warm
    // or the response doesn't say so.
    virtual std::optional<Duration> remainingColdTime(const BufferedResponse &) const
    {
        return std::nullopt;
    }

    // Returns true if a complete error response of a backend server is sent to the caller
    // unchanged.
    virtual bool passesServerErrors() const = 0;
};

} // namespace ibisnotch
