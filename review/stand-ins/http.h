// Blocking HTTP/1.1 over loopback sockets, small enough that each byte sent is under control.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Fields = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of a field; empty if there is none. Names are case insensitive.
std::string fieldValue(const Fields &fields, const std::string &name);
bool hasField(const Fields &fields, const std::string &name);

struct Request
{
    std::string method;
    std::string target;
    Fields fields;
    std::string body;
};

// A response as a client finds it on the wire.
struct Response
{
    int status = 0; // 0 if there is no status line of HTTP/1.1 with a status from 100 to 599
    std::string statusLine;
    Fields fields;
    std::string body;
    bool isComplete = false; // the head ended, and the body has its length or its last chunk
    bool isClosed = false; // the peer closed or reset the connection
    bool isTimedOut = false;
};

// One connection; closes it when destroyed.
class Connection
{
public:
    explicit Connection(int socket) : m_socket(socket) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(const std::string &bytes);
    std::optional<Request> readRequest();
    // Reads one response. With a limit on bytes per second, reads no faster than that.
    Response readResponse(int timeoutMs, int bytesPerSecond = 0);
    int socket() const { return m_socket; }

private:
    bool fill(int timeoutMs);
    // Reads up to and including the end mark; empty if the connection ends before.
    std::optional<std::string> readUntil(const std::string &mark, int timeoutMs);
    bool readBody(Response &response, std::size_t size, int timeoutMs, int bytesPerSecond);
    bool readChunks(std::string &body, int timeoutMs);

    int m_socket;
    std::string m_buffer;
    bool m_isClosed = false;
    bool m_isTimedOut = false;
};

// Connects to a port of 127.0.0.1; null if that fails. A size above 0 bounds what the system
// buffers for a client that reads slowly.
std::unique_ptr<Connection> connectTo(int port, int receiveBufferBytes = 0);

// A listening socket of 127.0.0.1. Serves each connection on a thread of its own.
class Listener
{
public:
    explicit Listener(std::function<void(Connection &)> serve);
    int port() const { return m_port; }

private:
    int m_port = 0;
};

// Returns ports that are free now, below the range from which the system takes ports by itself.
std::vector<int> freePorts(std::size_t count);

} // namespace review
