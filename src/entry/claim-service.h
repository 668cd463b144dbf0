// Carries out what the claim page writers decide, against the platform's store.
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

// Everything happens on the loop of one HTTP client.
class ClaimService
{
public:
    ClaimService(HttpClient &client, Store &store, const Clock &clock);

    struct PageClaim
    {
        std::string page;
        ClaimPageWriter::Request request;
    };

    // Called back on the desk's loop.
    void claim(PageClaim pageClaim, std::function<void(const ClaimResult &)> done);
    void settle(const std::string &page, std::uint64_t attempt, const std::string &claimId,
                ClaimState state, int httpStatus);

    // Whether outcomes are still to be written; blocks until the loop has looked.
    bool hasPendingOutcomes();

private:
    struct Page
    {
        ClaimPageWriter writer;
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
