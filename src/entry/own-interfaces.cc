#include "chat-pages.h"
#include "chat-protocol.h"
#include "document-source.h"
#include "interfaces.h"

namespace ibisnotch {

namespace {

class OwnInterfaces final : public InterfaceFactory
{
public:
    explicit OwnInterfaces(std::string store) : m_storeAddress(std::move(store)) { }

    std::unique_ptr<ConfigFormat> configFormat() override
    {
        return std::make_unique<OverlayFormat>();
    }

    std::unique_ptr<Protocol> protocol() override { return makeChatProtocol(); }

    std::unique_ptr<StateSource> source(EntryState &state, Control &control,
                                        HttpClient &client) override
    {
        return std::make_unique<DocumentSource>(state, control, store(client));
    }

    std::unique_ptr<ClaimDesk> claimDesk(EntryState &state, HttpClient &client) override
    {
        return std::make_unique<ClaimDesk>(client, store(client), state.clock);
    }

    std::unique_ptr<PlacementDesk> placementDesk(EntryState &state, HttpClient &client) override
    {
        auto desk = std::make_unique<PlacementDesk>(state, client, store(client));
        desk->start();
        return desk;
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

std::unique_ptr<InterfaceFactory> makeOwnInterfaces(const ProcessSettings &settings)
{
    return std::make_unique<OwnInterfaces>(settings.storeAddress);
}

} // namespace ibisnotch
