// The HTTP server that callers, peers and operators reach. RESTinio stays in its source file.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "ibisnotch/http.h"

namespace ibisnotch {

// Sends one answer. One thread at a time may use it; it may be another than the handler's.
class Responder
{
public:
    virtual ~Responder() = default;

    // A whole answer at once.
    virtual void reply(HttpResponse response) = 0;

    // A streamed answer: start, any number of writes, then finish or abort.
    virtual void start(int status, const Headers &headers) = 0;
    virtual void write(std::string data) = 0;
    virtual void finish() = 0;

    // Ends a streamed answer so that the caller sees that it is not whole: the connection closes
    // without the last chunk.
    virtual void abort() = 0;

    // True once the other end has gone; further writes are lost.
    virtual bool isClosed() const = 0;

    // Runs the task once when the other end goes before the answer is complete; at once if it has
    // gone already. From any thread. A task set later replaces an earlier one.
    virtual void setClosedHandler(std::function<void()> task) = 0;

    // Bytes written but not yet taken by the other end.
    virtual std::size_t pendingBytes() const = 0;
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
    // Larger bodies close the connection unanswered; the handler refuses smaller ones by its own
    // limit with a result code.
    std::uint64_t maxBodyBytes = 16U << 20;
    std::chrono::seconds idleTimeout{60};
    std::chrono::seconds responseTimeout{600};
    std::size_t maxConnections = 20000;

    bool operator==(const HttpServerSettings &) const = default;
};

// The threads that servers share.
class HttpLoop
{
public:
    explicit HttpLoop(unsigned threads);
    ~HttpLoop();
    HttpLoop(const HttpLoop &) = delete;
    HttpLoop &operator=(const HttpLoop &) = delete;

    // Ends the threads; no handler runs after this returns. Responders must be released between
    // this and the loop's destruction, whose connections they refer to.
    void stop();

private:
    friend class HttpServer;
    class Private;
    std::unique_ptr<Private> m_d;
};

// Outlived by its loop's threads: stop the loop before a server goes.
class HttpServer
{
public:
    // Listens at once. Throws std::exception if the address cannot be bound.
    HttpServer(const HttpServerSettings &settings, RequestHandler &handler, HttpLoop &loop);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Takes no new connections; those that are open go on.
    void stopAccepting();

    // From now on each connection is told to close after its next answer.
    void closeAfterResponses();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace ibisnotch
