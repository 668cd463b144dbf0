// Takes HTTP requests of callers, peers and operators, and answers or dispatches them.
#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "dispatch.h"
#include "filters.h"
#include "ibisnotch/http-client.h"
#include "ibisnotch/http-server.h"
#include "state.h"

namespace ibisnotch {

// One for the callers' port and one for the peers' port, which operators use too.
class Gateway final : public RequestHandler
{
public:
    Gateway(DispatchServices services, std::vector<HttpClient *> clients, bool forPeers);

    void handle(HttpRequest request, std::shared_ptr<Responder> responder) override;

private:
    bool answerDirectly(const HttpRequest &request, Responder &responder);
    void serve(HttpRequest request, std::shared_ptr<Responder> responder);
    HttpResponse entries(const HttpRequest &request);
    HttpResponse ready();
    std::string otherInstances();
    std::string newRequestId();
    void refuse(Exchange &exchange, const Refusal &refusal);

    EntryState &m_state;
    DispatchServices m_services;
    std::vector<HttpClient *> m_clients;
    bool m_forPeers;
    std::vector<std::unique_ptr<Filter>> m_filters;
    std::atomic<std::size_t> m_nextClient = 0;
};

} // namespace ibisnotch
