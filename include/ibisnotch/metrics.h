// Counts and latencies of requests, exported in the Prometheus text format.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

#include "ibisnotch/clock.h"
#include "ibisnotch/result-code.h"

namespace ibisnotch {

struct RequestRecord
{
    std::string service;
    std::string customer;
    ResultCode code = ResultCode::served;
    Duration total{};
    Duration firstByte{};
    int attempts = 0;
    bool forwardedToRegion = false;
    // True if another instance forwarded the request. That instance counts the request; here only
    // its cost is counted.
    bool receivedFromPeer = false;
    double cost = 0;
    double worthDelivered = 0;
    bool operator==(const RequestRecord &) const = default;
};

// Thread safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void onRequest(const RequestRecord &record);
    // Counts one attempt at a backend server or a peer. `end` names how it ended.
    void onAttempt(std::string_view end);
    // Counts a response that was not taken for the answer to its request.
    void onMismatch(std::string_view cause);
    void onRetry();
    // Counts an attempt that continues a stream. `knownBy` names how the stream's origin is known.
    void onStreamContinued(std::string_view knownBy);
    void onServerSilent();
    // Counts a response in which a server asks for rest.
    void onServerRest();
    // Counts a response in which a server states a slowdown that can't be used.
    void onInvalidSlowdown();
    // Counts the tokens of the shared parts of a prompt that is sent to an engine, and how many of
    // them the engine is expected to keep.
    void onSharedTokens(double sent, double expectedKept);
    // Counts a request that was refused because a region has too little room.
    void onRoomRefusal(std::string_view cause, int priority);
    // Counts an exchange that ended because its reader, the caller or a server, is too slow.
    void onSlowReaderEnded(std::string_view reader);
    // Counts a connection that this instance closed, by its port and the fault of its client.
    void onConnectionClosed(std::string_view port, std::string_view fault);
    // Counts a response that was not read from its server for long, as its caller reads slowly.
    void onResponsePaused();
    void setGauge(const std::string &name, double value);

    // Returns all metrics. Latencies are histograms in seconds.
    std::string prometheusText() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace ibisnotch
