// Tests of the control loop with a peer that may send messages at any time.
#include "entry/control.h"

#include <atomic>
#include <functional>
#include <thread>

#include <catch2/catch.hpp>

#include "config-fixture.h"
#include "entry/chat-protocol.h"
#include "free-ports.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// A peer with a newer configuration, which it sends in reply to any request.
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

    void sendProbe(const std::string &address)
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
        rangeUpdatesReceived += static_cast<int>(message.rangeUpdates.size());
    }
    std::atomic<int> rangeUpdatesReceived = 0;
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

class EmptySource final : public StateSource
{
public:
    void tick() override { }
};

// The control loop of an instance, not started yet, and its peer.
struct ControlFixture
{
    ControlFixture()
        : ports(freePorts(2)), state(settingsAt(ports[0])),
          peer({"127.0.0.1", ports[1]}, newerDocument()), control(state, *protocol, client)
    {
    }
    // Answers that reach the client are passed on to the control loop.
    ~ControlFixture() { client.stop(); }

    static ProcessSettings settingsAt(std::uint16_t gossip)
    {
        ProcessSettings settings;
        settings.name = "e1";
        settings.region = "a";
        settings.gossipAddress = {"127.0.0.1", gossip};
        return settings;
    }

    static ConfigDocument newerDocument()
    {
        ConfigDocument document = ConfigFixture().document;
        document.version = 9;
        return document;
    }

    void start()
    {
        control.setStateSource(std::make_unique<EmptySource>());
        control.start();
    }

    static void waitFor(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 100 && !condition(); ++i)
            std::this_thread::sleep_for(20ms);
    }

    std::vector<std::uint16_t> ports;
    EntryState state;
    HttpClient client;
    std::unique_ptr<Protocol> protocol = makeChatProtocol();
    NewerPeer peer;
    Control control;
};

} // namespace

// Guards against an instance that crashes without a log line while it starts: a running peer's
// message arrives before the instance's state source is set.
TEST_CASE_METHOD(ControlFixture, "control_messageBeforeStart_peersConfigurationIsAppliedAfterStart")
{
    peer.sendProbe(state.settings.gossipAddress.text());
    std::this_thread::sleep_for(300ms);
    CHECK(state.activeConfig.version() == 0);
    start();
    waitFor([this] { return state.activeConfig.version() > 0; });
    CHECK(state.activeConfig.version() == 9);
}

// Guards against an instance that misses a change of a range because one datagram is lost.
TEST_CASE_METHOD(ControlFixture, "control_rangeUpdateWithChanges_isSentTwice")
{
    start();
    peer.sendProbe(state.settings.gossipAddress.text());
    waitFor([this] { return state.members.read() && state.members.read()->size() == 2; });
    control.post([this] {
        control.broadcastRangeUpdate({"servers/", 4, 5, {{"servers/a", "", 5, true}}});
    });
    waitFor([this] { return peer.rangeUpdatesReceived >= 2; });
    std::this_thread::sleep_for(100ms);
    CHECK(peer.rangeUpdatesReceived == 2);
}
