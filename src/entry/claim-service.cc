#include "claim-service.h"

#include <future>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(100);

PageWriteResult pageWriteResult(StoreStatus status)
{
    switch (status) {
    case StoreStatus::ok:
        return PageWriteResult::applied;
    case StoreStatus::conflict:
        return PageWriteResult::conflict;
    case StoreStatus::notApplied:
        return PageWriteResult::notApplied;
    default:
        return PageWriteResult::unknown;
    }
}

} // namespace

ClaimService::ClaimService(HttpClient &client, Store &store, const Clock &clock)
    : m_client(client), m_store(store), m_clock(clock)
{
}

void ClaimService::claim(PageClaim pageClaim, std::function<void(const ClaimResult &)> done)
{
    m_client.post([this, pageClaim = std::move(pageClaim), done = std::move(done)]() mutable {
        Page &page = m_pages[pageClaim.page];
        page.waiting[pageClaim.request.attempt] = std::move(done);
        page.writer.claim(std::move(pageClaim.request));
        advance(pageClaim.page);
    });
}

void ClaimService::settle(const std::string &page, std::uint64_t attempt,
                          const std::string &claimId, ClaimState state, int httpStatus)
{
    m_client.post([this, page, attempt, claimId, state, httpStatus] {
        m_pages[page].writer.recordOutcome(attempt, claimId, state, httpStatus);
        advance(page);
    });
}

bool ClaimService::hasPendingOutcomes()
{
    std::promise<bool> pending;
    m_client.post([this, &pending] { pending.set_value(!m_pages.empty()); });
    return pending.get_future().get();
}

void ClaimService::advance(const std::string &name)
{
    const auto found = m_pages.find(name);
    if (found == m_pages.end())
        return;
    for (const ClaimAction &action : found->second.writer.advance(m_clock.now()))
        execute(name, action);
    scheduleTick(name);
}

void ClaimService::scheduleTick(const std::string &name)
{
    const auto found = m_pages.find(name);
    if (found == m_pages.end() || found->second.tickScheduled)
        return;
    if (found->second.writer.isIdle() && found->second.waiting.empty()) {
        m_pages.erase(found);
        return;
    }
    found->second.tickScheduled = true;
    m_client.postAfter(tickPeriod, [this, name] {
        const auto page = m_pages.find(name);
        if (page == m_pages.end())
            return;
        page->second.tickScheduled = false;
        advance(name);
    });
}

void ClaimService::execute(const std::string &name, const ClaimAction &action)
{
    if (const auto *reading = std::get_if<ReadPage>(&action))
        return read(name, reading->call);
    if (const auto *writing = std::get_if<WritePage>(&action))
        return write(name, *writing);
    const auto &result = std::get<ClaimResult>(action);
    Page &page = m_pages[name];
    const auto waiting = page.waiting.find(result.attempt);
    if (waiting == page.waiting.end())
        return;
    const auto done = std::move(waiting->second);
    page.waiting.erase(waiting);
    done(result);
}

void ClaimService::read(const std::string &name, std::uint64_t call)
{
    m_store.read(name, [this, name, call](const StoreRead &read) {
        ClaimPageWriter &writer = m_pages[name].writer;
        const auto page
            = parseClaimPage(read.status == StoreStatus::notFound ? "{\"claims\":{}}" : read.value);
        const bool readable
            = (read.status == StoreStatus::ok || read.status == StoreStatus::notFound) && page.ok();
        if (readable)
            writer.onRead(call, read.index, *page);
        else
            writer.onReadFailed(call, m_clock.now());
        if (!readable)
            logLine(LogPart::claims, LogLevel::warn, "Claim page cannot be read.",
                    {{"page", name}});
        advance(name);
    });
}

void ClaimService::write(const std::string &name, const WritePage &action)
{
    m_store.compareAndSet(name, action.expectedIndex, action.value,
                          [this, name, call = action.call](const StoreWrite &write) {
                              m_pages[name].writer.onWritten(call, pageWriteResult(write.status),
                                                             write.index, m_clock.now());
                              if (write.status == StoreStatus::unknown)
                                  logLine(LogPart::claims, LogLevel::warn,
                                          "No response to a claim page write.", {{"page", name}});
                              advance(name);
                          });
}

} // namespace ibisnotch
