// Handles the HTTP requests of callers, peers and operators.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "dispatch.h"
#include "filters.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/http-server.h"
#include "state.h"

namespace ibisnotch {

// Serves the pages that need no backend server.
class PageHandler
{
public:
    virtual ~PageHandler() = default;
    virtual HttpResponse respond(const HttpRequest &request) = 0;
};

// Returns the page, or a refusal in place of a long one while there is no room for it: its reader
// may be slow.
HttpResponse withinBuffers(HttpResponse page, const BufferAccounts &buffers);

// Serves pages, and checks and dispatches requests. An instance has one gateway for the callers'
// port and one for the peers' port, which operators use as well.
class Gateway final : public RequestHandler
{
public:
    Gateway(DispatchServices services, std::vector<HttpClient *> clients, PageHandler &pages,
            bool forPeers);

    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override;
    std::optional<MessageLimits> messageLimits() const override;
    HttpResponse refuse(ReceiveFault fault, const Headers &fields) override;

    // Ends all requests in progress with what can be told about them, as the instance stops.
    void cutRequests();

private:
    void keep(const std::shared_ptr<Dispatch> &dispatch);
    void serve(HttpRequest request, std::shared_ptr<Responder> responder);
    std::string requestId(const HttpRequest &request);
    void recordRefusal(const Exchange &exchange, ResultCode code);
    // Opens the account of what is held for the exchange.
    void holdBuffers(Exchange &exchange);
    void refuse(Exchange &exchange, const Refusal &refusal);
    // Makes this instance or the one that forwarded the request get the other's newer
    // configuration.
    void compareVersions(const Exchange &exchange);
    Refusal refusalFor(ReceiveFault fault);

    EntryState &m_state;
    DispatchServices m_services;
    std::vector<HttpClient *> m_clients;
    PageHandler &m_pages;
    bool m_forPeers;
    std::vector<std::unique_ptr<Filter>> m_filters;
    std::atomic<std::size_t> m_nextClient = 0;
    std::mutex m_mutex; // guards all below
    std::vector<std::weak_ptr<Dispatch>> m_dispatches; // in progress, and some that have ended
    std::size_t m_nextCleanup = 0; // number of these at which those that have ended are removed
};

} // namespace ibisnotch
