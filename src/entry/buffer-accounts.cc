#include "buffer-accounts.h"

#include <algorithm>

#include "ibisnotch/http-client.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

void SentBody::onProgress(std::size_t sent)
{
    if (m_size <= longBodyBytes)
        return;
    const std::size_t before = m_sent.exchange(sent);
    m_taken += sent > before ? sent - before : 0;
    m_isUnsent = sent < m_size;
}

void SentBody::setEndTask(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    m_endTask = std::move(task);
}

void SentBody::end()
{
    std::function<void()> task;
    {
        const std::lock_guard lock(m_mutex);
        task.swap(m_endTask);
    }
    if (task)
        task();
}

BufferAccounts::BufferAccounts(bool isEnabled, const BufferLimits &limits)
    : m_isEnabled(isEnabled), m_limits(limits), m_budget(limits)
{
}

void BufferAccounts::add(const std::string &requestId, const std::string &customer,
                         const std::shared_ptr<ResponseBuffer> &response,
                         const std::shared_ptr<SentBody> &body)
{
    const std::lock_guard lock(m_mutex);
    m_accounts.push_back({++m_lastId, requestId, customer, response, body});
}

ReaderSample BufferAccounts::sampleOf(const Account &account)
{
    ReaderSample sample;
    sample.id = account.id;
    if (const auto response = account.response.lock()) {
        sample.held += response->heldBytes();
        sample.taken += response->takenBytes();
    }
    if (const auto body = account.body.lock()) {
        sample.held += body->heldForServer();
        sample.taken += body->takenBytes();
    }
    return sample;
}

std::vector<BufferAccounts::Account> BufferAccounts::chooseEnded(std::size_t totalHeld,
                                                                 TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_accounts,
                  [](const Account &one) { return one.response.expired() && one.body.expired(); });
    std::vector<ReaderSample> samples;
    samples.reserve(m_accounts.size());
    for (const Account &one : m_accounts)
        samples.push_back(sampleOf(one));
    std::vector<Account> ended;
    for (const std::uint64_t id : m_budget.update(samples, totalHeld, now)) {
        // Accounts are in the order of their ids.
        const auto found = std::lower_bound(
            m_accounts.begin(), m_accounts.end(), id,
            [](const Account &one, std::uint64_t wanted) { return one.id < wanted; });
        ended.push_back(*found);
        m_accounts.erase(found); // its connection may hold the last piece for a while
    }
    return ended;
}

void BufferAccounts::end(const Account &account, std::size_t totalHeld, Metrics &metrics)
{
    const auto body = account.body.lock();
    const auto response = account.response.lock();
    const std::size_t unsent = body ? body->heldForServer() : 0;
    const std::size_t unread = response ? response->heldBytes() : 0;
    const bool isCaller = unread >= unsent;
    metrics.onSlowReaderEnded(isCaller ? "caller" : "server");
    logLine(LogPart::request, LogLevel::warn,
            isCaller ? "Caller reads too slowly." : "Server reads too slowly.",
            {{"request", account.requestId},
             {"customer", account.customer},
             {"heldBytes", std::to_string(isCaller ? unread : unsent)},
             {"takenBytes", std::to_string(sampleOf(account).taken)},
             {"totalBytes", std::to_string(totalHeld)}});
    if (isCaller && response)
        response->discard();
    else if (body)
        body->end();
}

void BufferAccounts::update(Metrics &metrics, TimePoint now)
{
    const std::size_t totalHeld = *m_held;
    metrics.setGauge("ibisnotch_held_bytes", static_cast<double>(totalHeld));
    if (!m_isEnabled)
        return;
    // Ending an exchange calls its tasks, so it is done without the mutex.
    for (const Account &one : chooseEnded(totalHeld, now))
        end(one, totalHeld, metrics);
}

} // namespace ibisnotch
