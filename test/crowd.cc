#include "crowd.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

namespace ibisnotch {

using namespace std::chrono_literals;

struct Crowd::Member
{
    explicit Member(asio::io_context &io) : socket(io) { }
    asio::ip::tcp::socket socket;
    std::size_t sent = 0;
};

Crowd::Crowd(const Address &server, CrowdShape shape)
    : m_shape(std::move(shape)), m_guard(asio::make_work_guard(m_io))
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server.host), server.port);
    for (int i = 0; i < m_shape.connections; ++i) {
        auto member = std::make_shared<Member>(m_io);
        m_members.push_back(member);
        member->socket.async_connect(endpoint, [this, member](const asio::error_code &error) {
            ++m_progress;
            if (!error && m_shape.resets)
                reset(*member);
            else if (!error)
                send(member);
        });
    }
    m_thread = std::thread([this] { m_io.run(); });
}

Crowd::~Crowd()
{
    m_io.stop();
    m_thread.join();
}

void Crowd::reset(Member &member)
{
    asio::error_code ignored;
    member.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    member.socket.close(ignored);
}

void Crowd::send(const std::shared_ptr<Member> &member)
{
    const std::string &bytes = m_shape.bytes;
    if (member->sent >= bytes.size() * static_cast<std::size_t>(m_shape.repeats))
        return;
    const std::size_t from = member->sent % bytes.size();
    const std::size_t size = std::min(m_shape.pieceBytes, bytes.size() - from);
    member->socket.async_write_some(asio::buffer(bytes.data() + from, size),
                                    [this, member](const asio::error_code &error, std::size_t n) {
                                        member->sent += n;
                                        m_progress += n;
                                        if (!error)
                                            send(member);
                                    });
}

void Crowd::waitUntilStill() const
{
    constexpr int stillSteps = 10;
    constexpr int maxSteps = 600;
    std::uint64_t before = m_progress;
    int still = 0;
    for (int step = 0; still < stillSteps; ++step) {
        REQUIRE(step < maxSteps);
        std::this_thread::sleep_for(100ms);
        const std::uint64_t now = m_progress;
        still = now == before ? still + 1 : 0;
        before = now;
    }
}

namespace {

std::size_t memoryField(pid_t process, const std::string &wanted)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    constexpr std::size_t bytesPerKilobyte = 1024;
    for (std::string line; std::getline(status, line);) {
        std::istringstream fields(line);
        std::string name;
        std::size_t kilobytes = 0;
        if (fields >> name >> kilobytes && name == wanted)
            return kilobytes * bytesPerKilobyte;
    }
    FAIL("no " << wanted << "; the process has ended");
    return 0;
}

} // namespace

std::size_t peakMemory(pid_t process)
{
    return memoryField(process, "VmHWM:");
}

std::size_t residentMemory(pid_t process)
{
    return memoryField(process, "VmRSS:");
}

std::size_t openDescriptors(pid_t process)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

DescriptorLimit::DescriptorLimit(rlim_t limit, pid_t process) : m_process(process)
{
    REQUIRE(prlimit(m_process, RLIMIT_NOFILE, nullptr, &m_before) == 0);
    const rlimit lowered{limit, m_before.rlim_max};
    REQUIRE(prlimit(m_process, RLIMIT_NOFILE, &lowered, nullptr) == 0);
}

DescriptorLimit::~DescriptorLimit()
{
    prlimit(m_process, RLIMIT_NOFILE, &m_before, nullptr);
}

} // namespace ibisnotch
