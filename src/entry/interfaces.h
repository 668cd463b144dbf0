// The factory for the parts of an instance that depend on its callers, servers and store.
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

// A port that serves only pages.
struct PagePort
{
    Address address;
    std::unique_ptr<PageHandler> pages;
};

// Creates the protocol-specific parts of one instance. Each function is called when the instance
// is built.
class InterfaceFactory
{
public:
    virtual ~InterfaceFactory() = default;
    virtual std::unique_ptr<ConfigFormat> configFormat() = 0;
    virtual std::unique_ptr<Protocol> protocol() = 0;
    virtual std::unique_ptr<StateSource> stateSource(EntryState &state, Control &control,
                                                     HttpClient &client)
        = 0;
    // Returns null if the protocol has no booking keys.
    virtual std::unique_ptr<ClaimService> claimService(EntryState &state, HttpClient &client) = 0;
    // Returns a controller that is already started, or null if placements are not managed here.
    virtual std::unique_ptr<PlacementController> placementController(EntryState &state,
                                                                     HttpClient &client)
        = 0;
    // Returns the pages of the callers' or the peers' port.
    virtual std::unique_ptr<PageHandler> pages(DispatchServices services, bool forPeers) = 0;
    virtual std::vector<PagePort> pagePorts(DispatchServices services) = 0;
};

// Returns the factory for the chat protocol with a Consul store.
std::unique_ptr<InterfaceFactory> makeBuiltInInterfaces(const ProcessSettings &settings);

} // namespace ibisnotch
