// The state of a response in progress.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace ibisnotch {

// Counts a response from its request until all of it is passed on to the client's connection, or
// that is gone.
class OpenResponse
{
public:
    explicit OpenResponse(std::shared_ptr<std::atomic<std::size_t>> count)
        : m_count(std::move(count))
    {
        ++*m_count;
    }
    ~OpenResponse() { --*m_count; }
    OpenResponse(const OpenResponse &) = delete;
    OpenResponse &operator=(const OpenResponse &) = delete;

private:
    const std::shared_ptr<std::atomic<std::size_t>> m_count;
};

// The state of a response in progress, shared between its responder, the callbacks of its writes
// and the registry of connections.
class ResponseState
{
public:
    std::atomic<std::size_t> pendingBytes = 0;

    bool isClosed() const { return m_closed; }

    void setClosedHandler(std::function<void()> task)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_closed) {
                m_closedHandler = std::move(task);
                return;
            }
        }
        task();
    }

    void dropClosedHandler()
    {
        std::function<void()> task;
        const std::lock_guard lock(m_mutex);
        task.swap(m_closedHandler);
    }

    void close()
    {
        std::function<void()> task;
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
            task.swap(m_closedHandler);
        }
        if (task)
            task();
    }

private:
    std::mutex m_mutex;
    std::atomic<bool> m_closed = false;
    std::function<void()> m_closedHandler;
};

} // namespace ibisnotch
