// The bytes that one instance holds for its callers and for servers that read request bodies.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ibisnotch/buffer-budget.h"
#include "ibisnotch/clock.h"
#include "ibisnotch/http-server.h"
#include "ibisnotch/metrics.h"

namespace ibisnotch {

// Counts bytes that an object holds, as long as it exists. Counts nothing without a count.
class HeldBytes
{
public:
    HeldBytes() = default;
    explicit HeldBytes(std::shared_ptr<ByteCount> count) : m_count(std::move(count)) { }
    ~HeldBytes() { set(0); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    void set(std::size_t size);

private:
    std::shared_ptr<ByteCount> m_count;
    std::size_t m_size = 0;
};

// A request body on its way to a server. Thread-safe.
class SentBody
{
public:
    SentBody(std::shared_ptr<ByteCount> count, std::size_t size);

    // Called with the number of bytes that the current attempt's connection has taken, at its begin
    // and when it grows. What HttpClient doesn't report of short bodies counts as taken.
    void onProgress(std::size_t sent);
    // Returns the size of the body until all of it is sent. It stays held after that, in case
    // another attempt follows, but not for a server that reads it.
    std::size_t heldForServer() const { return m_isUnsent ? m_size : 0; }
    std::uint64_t takenBytes() const { return m_taken; }
    // Sets the task that ends the exchange if its server reads too slowly.
    void setEndTask(std::function<void()> task);
    void end();

private:
    const std::size_t m_size;
    HeldBytes m_held;
    std::atomic<bool> m_isUnsent = false;
    std::atomic<std::uint64_t> m_taken = 0;
    std::atomic<std::size_t> m_sent = 0;
    std::mutex m_mutex;
    std::function<void()> m_endTask;
};

// Thread-safe.
class BufferAccounts
{
public:
    BufferAccounts(bool isEnabled, const BufferLimits &limits);

    bool isEnabled() const { return m_held != nullptr; }
    const BufferLimits &limits() const { return m_limits; }
    // Returns the count of all bytes held; null if nothing is limited.
    const std::shared_ptr<ByteCount> &heldBytes() const { return m_held; }
    // Returns whether there is room for another request.
    bool accepts() const;

    // Adds an exchange. Its account is closed when neither object exists any more.
    void add(const std::string &requestId, const std::string &customer,
             const std::shared_ptr<ResponseBuffer> &response,
             const std::shared_ptr<SentBody> &body);
    // Ends the exchanges whose readers are too slow, if too much is held.
    void update(Metrics &metrics, TimePoint now);

private:
    struct Account
    {
        std::uint64_t id = 0;
        std::string requestId;
        std::string customer;
        std::weak_ptr<ResponseBuffer> response;
        std::weak_ptr<SentBody> body;
    };

    static ReaderSample sampleOf(const Account &account);
    static void end(const Account &account, std::size_t totalHeld, Metrics &metrics);
    std::vector<Account> chooseEnded(std::size_t totalHeld, TimePoint now);

    const BufferLimits m_limits;
    const std::shared_ptr<ByteCount> m_held;
    std::mutex m_mutex; // guards all below
    BufferBudget m_budget;
    std::uint64_t m_lastId = 0;
    std::vector<Account> m_accounts;
};

} // namespace ibisnotch
