// Read-copy-update for values that are read on every request and replaced rarely.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace ibisnotch {

namespace detail {

// Marks this thread as a reader during the guard's lifetime. The first guard registers the thread.
class RcuReadGuard
{
public:
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

// Waits until all guards that existed when it was called have been destroyed.
void rcuWaitForReaders();

} // namespace detail

// Readers never wait for a writer. A writer waits for the current readers; only one thread at a
// time may write.
template <typename T> class RcuValue
{
public:
    RcuValue() = default;
    ~RcuValue() { delete m_holder.load(); }
    RcuValue(const RcuValue &) = delete;
    RcuValue &operator=(const RcuValue &) = delete;

    std::shared_ptr<const T> read() const
    {
        const detail::RcuReadGuard guard;
        const Holder *holder = m_holder.load(std::memory_order_acquire);
        return holder == nullptr ? nullptr : *holder;
    }

    void publish(std::shared_ptr<const T> value)
    {
        const Holder *old = m_holder.exchange(new Holder(std::move(value)));
        detail::rcuWaitForReaders();
        delete old;
    }

private:
    using Holder = std::shared_ptr<const T>;
    std::atomic<const Holder *> m_holder = nullptr;
};

} // namespace ibisnotch
