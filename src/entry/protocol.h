// The outer interfaces as the pipe sees them: how callers ask and are answered, and how backend
// servers are asked and answer. The pipe itself works on typed values only.
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

namespace ibisnotch {

// Where one attempt goes.
struct Target
{
    bool isPeer = false; // to an entry instance, in this region or another
    std::string name; // of the backend server or the entry instance
    std::string region;
    std::string address;
    double cost = 0;
    std::shared_ptr<ServerCounters> counters; // backend servers only
    bool trial = false; // of an ejected server
    std::uint64_t incarnation = 0; // of a backend server, as last reported
};

struct ResponseLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool operator==(const ResponseLoad &) const = default;
};

// Takes one answer as it arrives and tells what it proves.
class ResponseReader
{
public:
    virtual ~ResponseReader() = default;

    // How the attempt ended, where the head or a piece already decides it; the transfer then stops.
    virtual std::optional<AttemptOutcome> onHead(int status, const Headers &headers) = 0;
    // Appends to `out` what may be passed on.
    virtual std::optional<AttemptOutcome> onData(std::string_view data, std::string &out) = 0;

    // After the last byte of a transfer that ended as it should.
    virtual AttemptOutcome attemptEnd() const = 0;

    // True if pieces go to the caller as they come; known once the head is.
    virtual bool isStreaming() const = 0;
    // The number of the last event passed on, for a stream that may go on elsewhere; else empty.
    virtual std::string lastEventId() const { return {}; }
    // Events of a stream passed on so far.
    virtual int eventCount() const { return 0; }
    // What a peer said of the request; served for a backend server.
    virtual ResultCode resultCode() const { return ResultCode::served; }
    // The server says that it is leaving.
    virtual bool isServerLeaving() const { return false; }
    virtual std::optional<ResponseLoad> reportedLoad() const { return std::nullopt; }
};

// One outer interface. Stateless and thread safe.
class Protocol
{
public:
    virtual ~Protocol() = default;

    // The checks that read a caller's request into the typed values of an exchange, in order.
    virtual std::vector<std::unique_ptr<Filter>> filters(EntryState &state) const = 0;

    // False for a page, which needs no backend server.
    virtual bool needsBackendServer(const HttpRequest &request, bool fromPeer) const = 0;

    // The request's id as it came; empty if this instance shall name the request.
    virtual std::string requestId(const HttpRequest &request, bool fromPeer) const = 0;

    virtual HttpResponse makeRefusal(const Exchange &exchange, const Refusal &refusal,
                                     const std::string &servedBy) const = 0;
    // The head of an answer that a backend server or a peer gave.
    virtual Headers makeResponseHeaders(const Exchange &exchange, ResultCode code,
                                        const Headers &given,
                                        const std::string &servedBy) const = 0;
    // What a stream that breaks off tells its caller as its last event; empty for nothing.
    virtual std::string makeStreamError(const Exchange &exchange, ResultCode code,
                                        const std::string &servedBy) const = 0;

    // Limits and forwarding headers are the caller's to add.
    virtual OutgoingRequest makeServerRequest(const Exchange &exchange, const Target &target,
                                              Duration remaining) const = 0;
    virtual OutgoingRequest makePeerRequest(const Exchange &exchange, const Target &target,
                                            Duration remaining) const = 0;
    virtual std::unique_ptr<ResponseReader> makeReader(const Exchange &exchange,
                                                       bool fromPeer) const = 0;

    // Asks a backend server whether it lives.
    virtual OutgoingRequest makeHealthCheck(const FleetConfig &config,
                                            const BackendServer &server) const = 0;
    // Asks it the same, and gets an answer also where all its slots are taken.
    virtual OutgoingRequest makeStatusQuery(const BackendServer &server) const = 0;
    // Whether the answer to a health check shows the very run of the server that the target
    // names.
    virtual bool isSameIncarnation(const Target &target, const WholeAnswer &answer) const = 0;
    // How much longer the server is cold, by that answer.
    virtual std::optional<Duration> remainingColdTime(const WholeAnswer &) const
    {
        return std::nullopt;
    }

    // A whole failure answer of a backend server reaches the caller as it is.
    virtual bool passesServerErrors() const = 0;
};

} // namespace ibisnotch
