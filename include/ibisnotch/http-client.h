// Outgoing HTTP by libcurl's multi interface, driven by an Asio loop of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "ibisnotch/clock.h"
#include "ibisnotch/http.h"

namespace ibisnotch {

// All times are limits on one transfer; zero means no limit.
struct TransferLimits
{
    Duration connect = std::chrono::seconds(1);
    Duration firstByte = std::chrono::seconds(10);
    // The longest silence between two pieces of an answer.
    Duration idle = std::chrono::seconds(5);
    Duration total = std::chrono::seconds(120);

    bool operator==(const TransferLimits &) const = default;
};

struct OutgoingRequest
{
    std::string method = "GET";
    std::string url;
    Headers headers;
    Body body;
    TransferLimits limits;
    // Goes into the request line as it is, in place of the URL's path and query.
    std::string target;
    // On a connection of its own, which is closed afterwards.
    bool useNewConnection = false;
    // The longest time that a kept connection may have been idle to be used; 0: any. In whole
    // seconds, as libcurl counts it.
    std::chrono::seconds maxConnectionIdleTime{0};

    bool operator==(const OutgoingRequest &) const = default;
};

enum class TransferOutcome {
    complete,
    notConnected, // no connection was established
    timedOut,
    connectionLost, // the connection ended before the answer did
    cancelled, // by us
};

struct TransferResult
{
    TransferOutcome outcome = TransferOutcome::complete;
    // True once any byte of the request may have reached the other end.
    bool sent = false;
    // True once the answer's status line and headers were delivered to the sink.
    bool headReceived = false;

    bool operator==(const TransferResult &) const = default;
};

// Takes one answer, on the client's loop. Returning false cancels the transfer.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    virtual bool onHead(int status, const Headers &headers) = 0;
    virtual bool onData(std::string_view data) = 0;
    // True while the sink can't take more; the transfer is then held back.
    virtual bool isCongested() const { return false; }
    // Asked when nothing came for `firstByte` or `idle`, and again every tenth of a second: true to
    // wait on, up to `total`.
    virtual bool keepsWaiting() { return false; }
    virtual void onEnd(const TransferResult &result) = 0;
};

// One thread and one connection pool. Each answer's callbacks come from that thread.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Sends each request once: libcurl would send it again by itself when a kept connection turns
    // out to be closed, even a POST that the other end may have acted on. Such a transfer ends as
    // broken off instead. May be called from any thread.
    void send(OutgoingRequest request, std::shared_ptr<ResponseSink> sink);

    // Ends the transfer that the sink waits for, if it is still under way. From the loop only.
    void cancel(const ResponseSink *sink);

    // Runs a function on the client's loop, at once or after a delay.
    void post(std::function<void()> task);
    void postAfter(Duration delay, std::function<void()> task);

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

struct BufferedResponse
{
    TransferResult result;
    HttpResponse response;

    bool operator==(const BufferedResponse &) const = default;
};

// Collects a short answer and hands it over in one piece.
void sendBuffered(HttpClient &client, OutgoingRequest request,
                  std::function<void(const BufferedResponse &)> done);

// The same, and waits for it. Not for the client's own loop.
BufferedResponse sendAndWait(HttpClient &client, OutgoingRequest request);

} // namespace ibisnotch
