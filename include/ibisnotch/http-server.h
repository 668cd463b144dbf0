// The HTTP server for callers, peers and operators. RESTinio is used in its source file only.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "ibisnotch/byte-count.h"
#include "ibisnotch/clock.h"
#include "ibisnotch/http.h"
#include "ibisnotch/receive-limits.h"

namespace ibisnotch {

// What is held of one response for its client. It lives on after the responder until the client
// has taken all of it or has disconnected. May be used from any thread.
class ResponseBuffer
{
public:
    virtual ~ResponseBuffer() = default;
    virtual std::size_t heldBytes() const = 0;
    // Returns the number of bytes that the client's connection has taken.
    virtual std::uint64_t takenBytes() const = 0;
    // Drops what is held and disconnects the client, who sees an incomplete response.
    virtual void discard() = 0;
};

// Sends one response. Only one thread at a time may use it, but not necessarily the handler's.
class Responder
{
public:
    virtual ~Responder() = default;

    // Sends a whole response.
    virtual void reply(HttpResponse response) = 0;

    // Send a streamed response: start(), any number of write(), then finish() or abort().
    virtual void start(int status, const Headers &headers) = 0;
    virtual void write(std::string data) = 0;
    virtual void finish() = 0;

    // Ends a streamed response as incomplete: closes the connection without sending the last chunk.
    virtual void abort() = 0;

    // Returns true once the client has disconnected; further writes are dropped.
    virtual bool isClosed() const = 0;

    // Sets the task to run once if the client disconnects before the response is complete; the task
    // runs at once if it has disconnected already. Replaces an earlier task. Dropped with the
    // responder. May be called from any thread.
    virtual void setClosedHandler(std::function<void()> task) = 0;

    // Returns the number of bytes written but not yet sent, with what is kept beside them.
    virtual std::size_t pendingBytes() const = 0;

    // Returns null if the server doesn't count what it holds.
    virtual std::shared_ptr<ResponseBuffer> buffer() const { return nullptr; }
};

class RequestHandler
{
public:
    virtual ~RequestHandler() = default;
    virtual void handle(HttpRequest request, std::shared_ptr<Responder> responder) = 0;

    // Returns the limits of the next request; empty for those of the server's settings. Called on
    // any thread.
    virtual std::optional<MessageLimits> messageLimits() const { return std::nullopt; }
    // Returns the response to a request that is not read to its end, given the fields received so
    // far. The connection is closed after it. Called on any thread.
    virtual HttpResponse refuse(ReceiveFault fault, const Headers &fields);
};

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string name = "server"; // in metrics and logs
    MessageLimits limits; // where the handler has none of its own
    std::chrono::seconds responseTimeout{600};
    // Size of the system's buffer for what a connection receives; 0 for the default. Bytes that are
    // not read yet belong to the memory that a process takes.
    int receiveBufferBytes = 0;
    // If not null, counts the bytes of all responses that are held for their clients, and each
    // response is passed on in pieces, so that the rest of it can be discarded.
    std::shared_ptr<ByteCount> heldBytes;

    bool operator==(const HttpServerSettings &) const = default;
};

// A connection that was closed by the process, and why.
struct ClosedConnection
{
    std::string portName;
    std::string clientAddress;
    std::uint16_t clientPort = 0;
    ReceiveFault fault = ReceiveFault::none;
    std::size_t heldBytes = 0; // of its request
    std::size_t totalBytes = 0; // of all requests that were being received
    Duration silence{};

    bool operator==(const ClosedConnection &) const = default;
};

// Called on the loop's threads.
class ReceiveObserver
{
public:
    virtual ~ReceiveObserver() = default;
    virtual void onConnectionClosed(const ClosedConnection &connection) = 0;
    // Called from time to time with the bytes of requests that are being received.
    virtual void onReceiving(std::size_t bytes, std::size_t connections) = 0;
};

struct ReceiveSettings
{
    ReceiveLimits limits;
    // If not null, counts the bytes of all requests, from their first byte until nobody uses them.
    std::shared_ptr<ByteCount> heldBytes;
    const Clock *clock = nullptr; // null for the system's
    ReceiveObserver *observer = nullptr; // null if nobody wants to know

    bool operator==(const ReceiveSettings &) const = default;
};

// The threads and the event loop that servers share, and what they receive.
class HttpLoop
{
public:
    explicit HttpLoop(unsigned threads, const ReceiveSettings &settings = {});
    ~HttpLoop();
    HttpLoop(const HttpLoop &) = delete;
    HttpLoop &operator=(const HttpLoop &) = delete;

    // Stops the threads; no handler runs after this returns. Responders refer to the loop's
    // connections, so they must be released after stop() and before the loop is destroyed.
    void stop();

private:
    friend class HttpServer;
    class Private;
    std::unique_ptr<Private> m_d;
};

// The loop must be stopped before a server is destroyed.
class HttpServer
{
public:
    // Starts to listen. Throws std::exception if the address cannot be bound.
    HttpServer(const HttpServerSettings &settings, RequestHandler &handler, HttpLoop &loop);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Accepts no new connections; open ones are still served.
    void stopAccepting();

    // From now on, each response asks its client to close the connection.
    void closeAfterResponses();

    // Returns the number of complete requests whose response has not been passed on whole to the
    // client's connection, for want of an answer or because the client reads slowly.
    std::size_t openResponses() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace ibisnotch
