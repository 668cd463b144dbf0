#include "free-ports.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <string>

#include <catch2/catch.hpp>

namespace ibisnotch {

namespace {

// Below the ports that the system assigns to outgoing connections, and above those of quickstart.
constexpr int firstPort = 21000;
constexpr int lastPort = 32000;
constexpr int portsPerBlock = 64;
constexpr int blockCount = (lastPort - firstPort) / portsPerBlock;

// Locks a block of ports for this program until it exits, by a file that all test programs use.
// Ports found by binding to port 0 are released before the tested program binds them, so concurrent
// test programs can get the same ones: 3 of 48 starts failed with eight programs at a time.
bool lockBlock(int block)
{
    const auto path = std::filesystem::temp_directory_path()
        / ("ibisnotch-test-ports-" + std::to_string(block));
    const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    if (fd < 0)
        return false;
    if (flock(fd, LOCK_EX | LOCK_NB) == 0)
        return true;
    close(fd);
    return false;
}

bool canBind(int type, int port)
{
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool bound = bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) == 0;
    close(fd);
    return bound;
}

// Returns the next port of the blocks that this program has locked.
int nextPort()
{
    static int block = -1;
    static int used = portsPerBlock;
    if (used == portsPerBlock) {
        do {
            REQUIRE(++block < blockCount);
        } while (!lockBlock(block));
        used = 0;
    }
    return firstPort + block * portsPerBlock + used++;
}

} // namespace

std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<std::uint16_t> ports;
    while (ports.size() < count) {
        const int port = nextPort();
        if (canBind(SOCK_STREAM, port) && canBind(SOCK_DGRAM, port))
            ports.push_back(static_cast<std::uint16_t>(port));
    }
    return ports;
}

} // namespace ibisnotch
