// A small HTTP/1.1 server and client on blocking sockets, for the stand-ins of the second review.
// One thread a connection. Only what PROTOCOL.md needs: bodies with a length or in chunks.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Fields = std::vector<std::pair<std::string, std::string>>;

inline bool sameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x))
                   == std::tolower(static_cast<unsigned char>(y));
           });
}

// Returns the value of a field, or an empty text.
inline std::string field(const Fields &fields, const std::string &name)
{
    for (const auto &[key, value] : fields) {
        if (sameName(key, name))
            return value;
    }
    return {};
}

inline long long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

// A connection with a buffer of what was received and not used yet.
class Channel
{
public:
    explicit Channel(int socket) : m_socket(socket)
    {
        const int on = 1;
        setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel() { close(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    int socket() const { return m_socket; }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

    // Closes the connection so that its peer gets a reset.
    void reset()
    {
        const linger hard{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    bool send(const std::string &bytes)
    {
        for (std::size_t at = 0; at < bytes.size();) {
            const ssize_t sent
                = ::send(m_socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            at += static_cast<std::size_t>(sent);
        }
        return true;
    }

    // Waits for bytes until the time is over; false if none came or the peer has closed.
    bool receive(long long untilMs)
    {
        pollfd one{m_socket, POLLIN, 0};
        const long long left = untilMs - nowMs();
        if (left <= 0 || poll(&one, 1, static_cast<int>(left)) <= 0)
            return false;
        char block[16384];
        const ssize_t size = recv(m_socket, block, sizeof block, 0);
        if (size <= 0) {
            m_ended = true;
            return false;
        }
        m_in.append(block, static_cast<std::size_t>(size));
        return true;
    }

    bool hasEnded() const { return m_ended; }
    std::string &in() { return m_in; }

    bool readLine(std::string &line, long long untilMs)
    {
        std::size_t end = 0;
        while ((end = m_in.find("\r\n")) == std::string::npos) {
            if (!receive(untilMs))
                return false;
        }
        line = m_in.substr(0, end);
        m_in.erase(0, end + 2);
        return true;
    }

    bool readBytes(std::size_t size, std::string &out, long long untilMs)
    {
        while (m_in.size() < size) {
            if (!receive(untilMs))
                return false;
        }
        out.append(m_in, 0, size);
        m_in.erase(0, size);
        return true;
    }

private:
    int m_socket;
    bool m_ended = false;
    std::string m_in;
};

struct Message
{
    std::string first; // request line or status line
    Fields fields;
    std::string body;

    // Of a request.
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t at = first.find(' ');
        return at == std::string::npos ? "" : first.substr(at + 1, first.rfind(' ') - at - 1);
    }
    // Of a response.
    int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
};

// Reads a head and the body that it announces. Returns false if the message isn't whole; `message`
// then holds the part that came.
inline bool readMessage(Channel &channel, Message &message, long long untilMs, bool isResponse)
{
    message = {};
    if (!channel.readLine(message.first, untilMs))
        return false;
    for (std::string line;;) {
        if (!channel.readLine(line, untilMs))
            return false;
        if (line.empty())
            break;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        std::size_t begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ')
            ++begin;
        message.fields.emplace_back(line.substr(0, colon), line.substr(begin));
    }
    if (field(message.fields, "Transfer-Encoding") == "chunked") {
        for (std::string line;;) {
            if (!channel.readLine(line, untilMs))
                return false;
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (size > 0 && !channel.readBytes(size, message.body, untilMs))
                return false;
            if (!channel.readLine(line, untilMs))
                return false;
            if (size == 0)
                return true;
        }
    }
    const std::string length = field(message.fields, "Content-Length");
    if (!length.empty())
        return channel.readBytes(std::strtoul(length.c_str(), nullptr, 10), message.body, untilMs);
    if (!isResponse)
        return true;
    while (channel.receive(untilMs)) { }
    message.body = std::exchange(channel.in(), {});
    return channel.hasEnded();
}

inline std::string makeResponse(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves requests until the process ends. The handler returns false to end the connection.
using Handler = std::function<bool(Channel &, const Message &)>;

inline void serve(int port, const Handler &handler)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(listener, 512) != 0) {
        std::fprintf(stderr, "port %d can't be used\n", port);
        std::exit(2);
    }
    for (;;) {
        const int socket = accept(listener, nullptr, nullptr);
        if (socket < 0)
            continue;
        std::thread([socket, &handler] {
            Channel channel(socket);
            Message request;
            constexpr long long idleMs = 60'000;
            while (readMessage(channel, request, nowMs() + idleMs, false)) {
                if (!handler(channel, request))
                    return;
            }
        }).detach();
    }
}

// Returns a connected socket, or -1.
inline int connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
        return socket;
    ::close(socket);
    return -1;
}

} // namespace standin
