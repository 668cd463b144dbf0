// The outer interfaces of an instance, as its parts are built from them.
#pragma once

#include <memory>
#include <vector>

#include "claim-service.h"
#include "control.h"
#include "gateway.h"
#include "ibisnotch/store.h"
#include "placement-controller.h"
#include "protocol.h"
#include "state-source.h"
#include "state.h"

namespace ibisnotch {

// A port for pages only.
struct PagePort
{
    Address address;
    std::unique_ptr<PageHandler> pages;
};

// Built before anything else, used once.
class InterfaceFactory
{
public:
    virtual ~InterfaceFactory() = default;
    virtual std::unique_ptr<ConfigFormat> configFormat() = 0;
    virtual std::unique_ptr<Protocol> protocol() = 0;
    virtual std::unique_ptr<StateSource> stateSource(EntryState &state, Control &control,
                                                     HttpClient &client)
        = 0;
    // Null where callers bring no booking keys.
    virtual std::unique_ptr<ClaimService> claimService(EntryState &state, HttpClient &client) = 0;
    // Null where nobody gives placement orders. Starts at once.
    virtual std::unique_ptr<PlacementController> placementController(EntryState &state,
                                                                     HttpClient &client)
        = 0;
    // For the callers' and the peers' port.
    virtual std::unique_ptr<PageHandler> pages(DispatchServices services, bool forPeers) = 0;
    virtual std::vector<PagePort> pagePorts(DispatchServices services) = 0;
};

// The product's own.
std::unique_ptr<InterfaceFactory> makeBuiltInInterfaces(const ProcessSettings &settings);

} // namespace ibisnotch
