// Acquires and settles booking claims by reading and writing claim pages in the store.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "ibisnotch/booking.h"
#include "ibisnotch/clock.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/store.h"

namespace ibisnotch {

// The public functions may be called from any thread. All work is done on the event loop of one
// HTTP client, as decided by one ClaimPageWriter for each page.
class ClaimService
{
public:
    ClaimService(HttpClient &client, Store &store, const Clock &clock);

    struct PageClaim
    {
        std::string page;
        ClaimPageWriter::Request request;
    };

    // Acquires a claim. `done` is called on the loop of the HTTP client.
    void claim(PageClaim pageClaim, std::function<void(const ClaimResult &)> done);
    // Records the outcome of a claim that was granted.
    void settle(const std::string &page, std::uint64_t attempt, const std::string &claimId,
                ClaimState state, int httpStatus);

    // Returns true if claims or outcomes are still in progress. Blocks until the event loop, which
    // must be another thread's, has replied.
    bool hasPendingOutcomes();

private:
    struct Page
    {
        ClaimPageWriter writer;
        // Callbacks of the claims in progress, by attempt.
        std::map<std::uint64_t, std::function<void(const ClaimResult &)>> waiting;
        bool tickScheduled = false;
    };

    void advance(const std::string &name);
    void execute(const std::string &name, const ClaimAction &action);
    void read(const std::string &name, std::uint64_t call);
    void write(const std::string &name, const WritePage &action);
    void scheduleTick(const std::string &name);

    HttpClient &m_client;
    Store &m_store;
    const Clock &m_clock;
    std::map<std::string, Page> m_pages;
};

} // namespace ibisnotch
