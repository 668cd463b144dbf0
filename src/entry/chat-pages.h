// The pages of the chat interface: health, readiness, the list of instances and, on the peers'
// port, the operators' pages.
#pragma once

#include "dispatch.h"
#include "gateway.h"

namespace ibisnotch {

class ChatPages final : public PageHandler
{
public:
    ChatPages(DispatchServices services, bool forPeers)
        : m_state(services.state), m_services(services), m_forPeers(forPeers)
    {
    }

    HttpResponse respond(const HttpRequest &request) override;

private:
    HttpResponse entryListPage(const HttpRequest &request);
    HttpResponse readinessPage();

    EntryState &m_state;
    DispatchServices m_services;
    bool m_forPeers; // true on the peers' port, which operators use
};

} // namespace ibisnotch
