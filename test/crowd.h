// Many connections that send the same bytes and stay open, and what a process uses meanwhile.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "ibisnotch/process-settings.h"

namespace ibisnotch {

struct CrowdShape
{
    int connections = 0;
    std::string bytes{}; // what each connection sends
    std::size_t pieceBytes = 64 * 1024; // sent at once, each connection in its turn
    int repeats = 1; // how often `bytes` are sent, one after the other
    bool resets = false; // each connection is reset as soon as it is established
};

// Connects and sends on a thread of its own. Connections that the server closes are not replaced;
// what it answers is not read. Destroyed, it closes all.
class Crowd
{
public:
    Crowd(const Address &server, CrowdShape shape);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    // Waits until the server has taken all that it takes: no connection makes progress any more.
    void waitUntilStill() const;

private:
    struct Member;

    void send(const std::shared_ptr<Member> &member);
    static void reset(Member &member);

    const CrowdShape m_shape;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::atomic<std::uint64_t> m_progress = 0; // connections established and bytes sent
    std::vector<std::shared_ptr<Member>> m_members;
    std::thread m_thread;
};

// Returns the most memory that a process has had resident so far, in bytes.
std::size_t peakMemory(pid_t process);

// Returns the memory that is resident now, in bytes.
std::size_t residentMemory(pid_t process);

std::size_t openDescriptors(pid_t process);

// Limits the descriptors of a process while it exists.
class DescriptorLimit
{
public:
    // The process is this one, whose limit processes inherit that it starts, or a running one.
    explicit DescriptorLimit(rlim_t limit, pid_t process = 0);
    ~DescriptorLimit();
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    pid_t m_process;
    rlimit m_before{};
};

} // namespace ibisnotch
