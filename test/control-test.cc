// The control loop beside a peer that speaks at any moment.
#include "entry/control.h"

#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

#include "config-fixture.h"
#include "entry/chat-protocol.h"
#include "free-ports.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// A peer with a newer configuration, which it tells whoever asks.
class NewerPeer final : public PeerHandler
{
public:
    NewerPeer(const Address &address, ConfigDocument document)
        : m_document(std::move(document)), m_link(address, *this)
    {
        m_self.name = "e2";
        m_self.region = "a";
        m_self.gossipAddress = address.text();
        m_self.incarnation = 1;
        m_link.start();
    }
    ~NewerPeer() override { m_link.stop(); }

    void greet(const std::string &address)
    {
        m_link.post([this, address] {
            GossipMessage message;
            message.probe.sender = m_self;
            message.probe.kind = ProbeKind::ack;
            message.configVersion = m_document.version;
            m_link.sendGossip(address, message);
        });
    }

    void onGossip(const GossipMessage &message, const std::string &) override
    {
        newsHeard += static_cast<int>(message.ranges.size());
    }
    std::atomic<int> newsHeard = 0;
    PeerReply onRequest(const PeerRequest &) override
    {
        PeerReply reply;
        reply.delta = makeDelta(nullptr, m_document);
        return reply;
    }

private:
    Member m_self;
    ConfigDocument m_document;
    PeerLink m_link;
};

class NoSource final : public StateSource
{
public:
    void tick() override { }
};

} // namespace

// Guards against an instance that dies without a word while it starts beside peers that run.
TEST_CASE("control_peerSpeaksBeforeItsStart_takesItsConfigurationOnceStarted")
{
    const auto ports = freePorts(2);
    ProcessSettings settings;
    settings.name = "e1";
    settings.region = "a";
    settings.gossip = {"127.0.0.1", ports[0]};
    EntryState state(settings);
    HttpClient client;
    const auto protocol = makeChatProtocol();
    ConfigDocument document = ConfigFixture().document;
    document.version = 9;
    NewerPeer peer({"127.0.0.1", ports[1]}, document);
    Control control(state, *protocol, client);
    peer.greet(settings.gossip.text());
    std::this_thread::sleep_for(300ms);
    CHECK(state.gate.version() == 0);
    control.setSource(std::make_unique<NoSource>());
    control.start();
    for (int i = 0; i < 100 && state.gate.version() == 0; ++i)
        std::this_thread::sleep_for(20ms);
    CHECK(state.gate.version() == 9);
    control.stop();
}

// Guards against an instance that misses a change because one datagram was lost.
TEST_CASE("control_changeOfARange_isToldTwice")
{
    const auto ports = freePorts(2);
    ProcessSettings settings;
    settings.name = "e1";
    settings.region = "a";
    settings.gossip = {"127.0.0.1", ports[0]};
    EntryState state(settings);
    HttpClient client;
    const auto protocol = makeChatProtocol();
    NewerPeer peer({"127.0.0.1", ports[1]}, ConfigFixture().document);
    Control control(state, *protocol, client);
    control.setSource(std::make_unique<NoSource>());
    control.start();
    peer.greet(settings.gossip.text());
    for (int i = 0; i < 100 && (!state.members.read() || state.members.read()->size() < 2); ++i)
        std::this_thread::sleep_for(20ms);
    control.post([&control] {
        control.tellRegion({"servers/", 4, 5, {{"servers/a", "", 5, true}}});
    });
    for (int i = 0; i < 100 && peer.newsHeard < 2; ++i)
        std::this_thread::sleep_for(20ms);
    CHECK(peer.newsHeard == 2);
    control.stop();
}
