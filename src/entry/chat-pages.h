// The pages of the product's own interface: health, readiness, the list of instances, operators.
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

    HttpResponse answer(const HttpRequest &request) override;

private:
    HttpResponse entries(const HttpRequest &request);
    HttpResponse ready();

    EntryState &m_state;
    DispatchServices m_services;
    bool m_forPeers; // operators use the peers' port
};

} // namespace ibisnotch
