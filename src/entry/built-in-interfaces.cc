#include "chat-pages.h"
#include "chat-protocol.h"
#include "document-source.h"
#include "interfaces.h"

namespace ibisnotch {

namespace {

class BuiltInInterfaces final : public InterfaceFactory
{
public:
    explicit BuiltInInterfaces(std::string storeAddress) : m_storeAddress(std::move(storeAddress))
    {
    }

    std::unique_ptr<ConfigFormat> configFormat() override
    {
        return std::make_unique<OverlayFormat>();
    }

    std::unique_ptr<Protocol> protocol() override { return makeChatProtocol(); }

    std::unique_ptr<StateSource> stateSource(EntryState &state, Control &control,
                                             HttpClient &client) override
    {
        return std::make_unique<DocumentSource>(state, control, store(client));
    }

    std::unique_ptr<ClaimService> claimService(EntryState &state, HttpClient &client) override
    {
        return std::make_unique<ClaimService>(client, store(client), state.clock);
    }

    std::unique_ptr<PlacementController> placementController(EntryState &state,
                                                             HttpClient &client) override
    {
        auto controller = std::make_unique<PlacementController>(state, client, store(client));
        controller->start();
        return controller;
    }

    std::unique_ptr<PageHandler> pages(DispatchServices services, bool forPeers) override
    {
        return std::make_unique<ChatPages>(services, forPeers);
    }

    std::vector<PagePort> pagePorts(DispatchServices) override { return {}; }

private:
    Store &store(HttpClient &client)
    {
        if (!m_store)
            m_store = makeConsulStore(client, m_storeAddress);
        return *m_store;
    }

    std::string m_storeAddress;
    std::unique_ptr<Store> m_store;
};

} // namespace

std::unique_ptr<InterfaceFactory> makeBuiltInInterfaces(const ProcessSettings &settings)
{
    return std::make_unique<BuiltInInterfaces>(settings.storeAddress);
}

} // namespace ibisnotch
