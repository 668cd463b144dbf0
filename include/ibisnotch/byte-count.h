// Counts of the bytes that a process holds for its clients and servers.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace ibisnotch {

// Bytes that are held at present, counted by several threads.
using ByteCount = std::atomic<std::size_t>;

// Counts bytes that an object holds, as long as it exists. Counts nothing without a count.
class HeldBytes
{
public:
    HeldBytes() = default;
    explicit HeldBytes(std::shared_ptr<ByteCount> count, std::size_t size = 0)
        : m_count(std::move(count))
    {
        set(size);
    }
    ~HeldBytes() { set(0); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    void set(std::size_t size)
    {
        if (!m_count)
            return;
        *m_count += size;
        *m_count -= std::exchange(m_size, size);
    }
    std::size_t size() const { return m_size; }

private:
    std::shared_ptr<ByteCount> m_count;
    std::size_t m_size = 0;
};

} // namespace ibisnotch
