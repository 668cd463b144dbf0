// The bytes that one instance holds for its callers and for servers that read request bodies.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ibisnotch/buffer-budget.h"
#include "ibisnotch/byte-count.h"
#include "ibisnotch/clock.h"
#include "ibisnotch/http-server.h"
#include "ibisnotch/metrics.h"

namespace ibisnotch {

// A request body on its way to a server; its bytes are counted where it was received. Thread-safe.
class SentBody
{
public:
    explicit SentBody(std::size_t size) : m_size(size) { }

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

    // Returns whether readers that are too slow are limited. Requests always are.
    bool isEnabled() const { return m_isEnabled; }
    const BufferLimits &limits() const { return m_limits; }
    // Returns the count of all bytes held, of requests from their first byte.
    const std::shared_ptr<ByteCount> &heldBytes() const { return m_held; }
    // Returns whether there is room for a request whose body has so many bytes.
    bool accepts(std::size_t bodyBytes) const { return m_budget.accepts(*m_held, bodyBytes); }

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

    const bool m_isEnabled;
    const BufferLimits m_limits;
    const std::shared_ptr<ByteCount> m_held = std::make_shared<ByteCount>(0);
    std::mutex m_mutex; // guards all below
    BufferBudget m_budget;
    std::uint64_t m_lastId = 0;
    std::vector<Account> m_accounts;
};

} // namespace ibisnotch
