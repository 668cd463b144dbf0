#include "claim-desk.h"

#include <future>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(100);

PageWriteEnd pageWriteEnd(StoreEnd end)
{
    switch (end) {
    case StoreEnd::ok:
        return PageWriteEnd::applied;
    case StoreEnd::conflict:
        return PageWriteEnd::conflict;
    case StoreEnd::notApplied:
        return PageWriteEnd::notApplied;
    default:
        return PageWriteEnd::unknown;
    }
}

} // namespace

ClaimDesk::ClaimDesk(HttpClient &client, Store &store, const Clock &clock)
    : m_client(client), m_store(store), m_clock(clock)
{
}

void ClaimDesk::claim(Order order, std::function<void(const ClaimResult &)> done)
{
    m_client.post([this, order = std::move(order), done = std::move(done)]() mutable {
        Page &page = m_pages[order.page];
        page.waiting[order.request.attempt] = std::move(done);
        page.writer.claim(std::move(order.request));
        advance(order.page);
    });
}

void ClaimDesk::settle(const std::string &page, std::uint64_t attempt, const std::string &claimId,
                       ClaimState state, int httpStatus)
{
    m_client.post([this, page, attempt, claimId, state, httpStatus] {
        m_pages[page].writer.settle(attempt, claimId, state, httpStatus);
        advance(page);
    });
}

bool ClaimDesk::busy()
{
    std::promise<bool> answer;
    m_client.post([this, &answer] { answer.set_value(!m_pages.empty()); });
    return answer.get_future().get();
}

void ClaimDesk::advance(const std::string &name)
{
    const auto found = m_pages.find(name);
    if (found == m_pages.end())
        return;
    for (const ClaimAction &action : found->second.writer.advance(m_clock.now()))
        act(name, action);
    keepTicking(name);
}

void ClaimDesk::keepTicking(const std::string &name)
{
    const auto found = m_pages.find(name);
    if (found == m_pages.end() || found->second.ticking)
        return;
    if (found->second.writer.idle() && found->second.waiting.empty()) {
        m_pages.erase(found);
        return;
    }
    found->second.ticking = true;
    m_client.postAfter(tickPeriod, [this, name] {
        const auto page = m_pages.find(name);
        if (page == m_pages.end())
            return;
        page->second.ticking = false;
        advance(name);
    });
}

void ClaimDesk::act(const std::string &name, const ClaimAction &action)
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

void ClaimDesk::read(const std::string &name, std::uint64_t call)
{
    m_store.read(name, [this, name, call](const StoreRead &read) {
        ClaimPageWriter &writer = m_pages[name].writer;
        const auto page
            = parseClaimPage(read.end == StoreEnd::notFound ? "{\"claims\":{}}" : read.value);
        const bool good = (read.end == StoreEnd::ok || read.end == StoreEnd::notFound) && page.ok();
        if (good)
            writer.onRead(call, read.index, *page);
        else
            writer.onReadFailed(call, m_clock.now());
        if (!good)
            logLine(LogPart::claims, LogLevel::warn, "Claim page not readable.", {{"page", name}});
        advance(name);
    });
}

void ClaimDesk::write(const std::string &name, const WritePage &action)
{
    m_store.compareAndSet(name, action.expectedIndex, action.value,
                          [this, name, call = action.call](const StoreWrite &write) {
                              m_pages[name].writer.onWritten(call, pageWriteEnd(write.end),
                                                             write.index, m_clock.now());
                              if (write.end == StoreEnd::unknown)
                                  logLine(LogPart::claims, LogLevel::warn,
                                          "Claim write without an answer.", {{"page", name}});
                              advance(name);
                          });
}

} // namespace ibisnotch
