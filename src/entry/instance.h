// An entry instance with all its parts, declared in the order in which they are built.
#pragma once

#include <memory>
#include <vector>

#include "claim-service.h"
#include "control.h"
#include "gateway.h"
#include "ibisnotch/http-server.h"
#include "interfaces.h"
#include "placement-controller.h"
#include "receive-log.h"
#include "state.h"

namespace ibisnotch {

class Instance
{
public:
    // Starts the instance. Throws std::exception if an address cannot be bound.
    Instance(const ProcessSettings &settings, std::unique_ptr<InterfaceFactory> interfaces);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    // Applies the settings that may change while the instance runs. Other changes take effect at
    // the next start.
    void reload(const ProcessSettings &settings);

    // Announces the stop and waits for the requests in flight and until their answers are read.
    // Returns false if the drain time expired first; what still runs then is ended with an answer.
    bool drain();

private:
    class PageServer;

    Instance(std::unique_ptr<InterfaceFactory> interfaces, const ProcessSettings &settings);
    void start();
    void stopThreads();
    void listen(const std::string &name, const Address &address, RequestHandler &handler);
    bool isBusy();
    // Returns false if the instance is still busy at this time.
    bool waitUntilIdle(TimePoint end);

    std::unique_ptr<InterfaceFactory> m_interfaces;
    EntryState m_state;
    std::unique_ptr<Protocol> m_protocol;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::unique_ptr<HttpClient> m_controlClient;
    std::unique_ptr<ClaimService> m_claimService;
    std::unique_ptr<Control> m_control;
    std::unique_ptr<PlacementController> m_placement;
    std::unique_ptr<PageHandler> m_callerPages;
    std::unique_ptr<PageHandler> m_peerPages;
    std::unique_ptr<Gateway> m_callerGateway;
    std::unique_ptr<Gateway> m_peerGateway;
    std::vector<std::unique_ptr<PageServer>> m_pageServers;
    std::unique_ptr<ReceiveLog> m_receiveLog;
    std::unique_ptr<HttpLoop> m_loop;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

} // namespace ibisnotch
