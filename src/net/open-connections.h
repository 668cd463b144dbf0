// The established connections of a client, by their addresses.
#pragma once

#include <map>
#include <string>
#include <tuple>

#include <sys/socket.h>

namespace ibisnotch {

struct ConnectionKey
{
    int localPort = 0;
    std::string remoteAddress;
    int remotePort = 0;

    bool operator==(const ConnectionKey &) const = default;
    bool operator<(const ConnectionKey &other) const
    {
        return std::tie(localPort, remoteAddress, remotePort)
            < std::tie(other.localPort, other.remoteAddress, other.remotePort);
    }
};

// libcurl doesn't tell which socket it is going to use for a request, only its addresses.
class OpenConnections
{
public:
    void add(const ConnectionKey &key, int socket) { m_sockets[key] = socket; }
    void remove(int socket)
    {
        std::erase_if(m_sockets, [socket](const auto &one) { return one.second == socket; });
    }
    // Returns whether bytes have arrived on the connection that nobody has read.
    bool hasBytesToRead(const ConnectionKey &key) const
    {
        const auto found = m_sockets.find(key);
        char byte = 0;
        return found != m_sockets.end()
            && recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

private:
    std::map<ConnectionKey, int> m_sockets;
};

} // namespace ibisnotch
