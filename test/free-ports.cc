#include "free-ports.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace ibisnotch {

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<int> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof name;
        REQUIRE(bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0);
        getsockname(fd, reinterpret_cast<sockaddr *>(&name), &size);
        sockets.push_back(fd);
        ports.push_back(ntohs(name.sin_port));
    }
    for (const int fd : sockets)
        close(fd);
    return ports;
}

} // namespace ibisnotch
