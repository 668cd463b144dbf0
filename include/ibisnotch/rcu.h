// A value that is read on every request and replaced now and then, by read-copy-update.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace ibisnotch {

namespace detail {

// Marks this thread as reading; registers the thread the first time.
class RcuReadGuard
{
public:
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

// Waits until every reader that began before the call has ended.
void rcuWaitForReaders();

} // namespace detail

// Readers never block and never wait for a writer. Writers wait for readers; one at a time may
// write.
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
