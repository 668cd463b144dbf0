#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

#include <strings.h>

namespace review {

namespace {

constexpr int receiveTimeoutMs = 60000;
constexpr std::size_t receiveBytes = 16 * 1024;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(" \t\r\n");
    const std::size_t end = text.find_last_not_of(" \t\r\n");
    return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

// Parses a head: the first line goes to `first`, the rest to `fields`.
void parseHead(const std::string &head, std::string &first, Fields &fields)
{
    std::size_t at = head.find("\r\n");
    first = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string line = head.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
}

int statusOf(const std::string &line)
{
    constexpr int first = 100;
    constexpr int last = 599;
    int status = 0;
    if (std::sscanf(line.c_str(), "HTTP/1.1 %3d", &status) != 1 || status < first || status > last)
        return 0;
    return status;
}

} // namespace

std::string fieldValue(const Fields &fields, const std::string &name)
{
    for (const auto &[key, value] : fields) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return "";
}

bool hasField(const Fields &fields, const std::string &name)
{
    return std::any_of(fields.begin(), fields.end(), [&name](const auto &field) {
        return strcasecmp(field.first.c_str(), name.c_str()) == 0;
    });
}

Connection::~Connection()
{
    close(m_socket);
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
            = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill(int timeoutMs)
{
    pollfd waiting{m_socket, POLLIN, 0};
    const int ready = poll(&waiting, 1, timeoutMs);
    if (ready == 0)
        m_isTimedOut = true;
    if (ready <= 0)
        return false;
    char bytes[receiveBytes];
    const ssize_t count = recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0) {
        m_isClosed = true;
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readUntil(const std::string &mark, int timeoutMs)
{
    for (;;) {
        const std::size_t at = m_buffer.find(mark);
        if (at != std::string::npos) {
            std::string text = m_buffer.substr(0, at + mark.size());
            m_buffer.erase(0, at + mark.size());
            return text;
        }
        if (!fill(timeoutMs))
            return std::nullopt;
    }
}

bool Connection::readBody(Response &response, std::size_t size, int timeoutMs, int bytesPerSecond)
{
    for (;;) {
        const std::size_t count = std::min(size - response.body.size(), m_buffer.size());
        response.body.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        if (response.body.size() == size)
            return true;
        if (bytesPerSecond > 0 && count > 0)
            std::this_thread::sleep_for(
                std::chrono::duration<double>(static_cast<double>(count) / bytesPerSecond));
        if (!fill(timeoutMs))
            return false;
    }
}

bool Connection::readChunks(std::string &body, int timeoutMs)
{
    constexpr int hexadecimal = 16;
    for (;;) {
        const auto line = readUntil("\r\n", timeoutMs);
        if (!line)
            return false;
        const std::size_t size = std::strtoul(line->c_str(), nullptr, hexadecimal);
        while (m_buffer.size() < size + 2) {
            if (!fill(timeoutMs))
                return false;
        }
        body.append(m_buffer, 0, size);
        m_buffer.erase(0, size + 2);
        if (size == 0)
            return true;
    }
}

std::optional<Request> Connection::readRequest()
{
    const auto head = readUntil("\r\n\r\n", receiveTimeoutMs);
    if (!head)
        return std::nullopt;
    Request request;
    std::string first;
    parseHead(*head, first, request.fields);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.find(' ', space + 1);
    if (space == std::string::npos || second == std::string::npos)
        return std::nullopt;
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, second - space - 1);
    if (fieldValue(request.fields, "Transfer-Encoding") == "chunked")
        return readChunks(request.body, receiveTimeoutMs) ? std::optional(request) : std::nullopt;
    Response body;
    const std::string length = fieldValue(request.fields, "Content-Length");
    if (!readBody(body, std::strtoul(length.c_str(), nullptr, 10), receiveTimeoutMs, 0))
        return std::nullopt;
    request.body = std::move(body.body);
    return request;
}

Response Connection::readResponse(int timeoutMs, int bytesPerSecond)
{
    Response response;
    const auto head = readUntil("\r\n\r\n", timeoutMs);
    if (head) {
        parseHead(*head, response.statusLine, response.fields);
        response.status = statusOf(response.statusLine);
        if (fieldValue(response.fields, "Transfer-Encoding") == "chunked") {
            response.isComplete = readChunks(response.body, timeoutMs);
        } else {
            const std::string length = fieldValue(response.fields, "Content-Length");
            response.isComplete = readBody(response, std::strtoul(length.c_str(), nullptr, 10),
                                           timeoutMs, bytesPerSecond);
        }
    }
    response.isClosed = m_isClosed;
    response.isTimedOut = m_isTimedOut;
    return response;
}

std::unique_ptr<Connection> connectTo(int port, int receiveBufferBytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBufferBytes > 0)
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    auto connection = std::make_unique<Connection>(socket);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return nullptr;
    return connection;
}

Listener::Listener(std::function<void(Connection &)> serve)
{
    const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    m_port = freePorts(1).front();
    const sockaddr_in address = loopback(m_port);
    constexpr int backlog = 512;
    if (bind(listening, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(listening, backlog) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    std::thread([listening, serve = std::move(serve)] {
        for (;;) {
            const int accepted = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int noDelay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            std::thread([accepted, &serve] {
                Connection connection(accepted);
                serve(connection);
            }).detach();
        }
    }).detach();
}

std::vector<int> freePorts(std::size_t count)
{
    constexpr int first = 21000;
    constexpr int last = 31000;
    static int next = first + static_cast<int>(getpid() % 9000);
    std::vector<int> ports;
    for (int tries = 0; ports.size() < count && tries < last - first; ++tries) {
        next = next >= last ? first : next + 1;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(next);
        if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            ports.push_back(next);
        close(socket);
    }
    return ports;
}

} // namespace review
