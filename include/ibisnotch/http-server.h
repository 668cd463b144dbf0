// The HTTP server for callers, peers and operators. RESTinio is used in its source file only.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "ibisnotch/http.h"

namespace ibisnotch {

// Bytes that are held at present, counted by several threads.
using ByteCount = std::atomic<std::size_t>;

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
};

struct HttpServerSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    // A request with a larger body closes the connection without a response. The handler rejects
    // bodies above a lower limit of its own with a result code.
    std::uint64_t maxBodyBytes = 16U << 20;
    std::chrono::seconds idleTimeout{60};
    std::chrono::seconds responseTimeout{600};
    std::size_t maxConnections = 20000;
    // If not null, counts the bytes of all responses that are held for their clients, and each
    // response is passed on in pieces, so that the rest of it can be discarded.
    std::shared_ptr<ByteCount> heldBytes;

    bool operator==(const HttpServerSettings &) const = default;
};

// The threads and the event loop that servers share.
class HttpLoop
{
public:
    explicit HttpLoop(unsigned threads);
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

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace ibisnotch
