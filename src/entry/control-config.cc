// The part of the control loop that puts configurations in force and gets them from other
// instances.
#include <algorithm>
#include <utility>

#include "control.h"
#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// Between two messages to an instance that doesn't know the version in force here yet.
constexpr Duration versionInterval = std::chrono::milliseconds(100);
// In which a store that is reached returns a configuration of which others have told. An instance
// that doesn't have it then waits for up to as long again before it asks another one.
constexpr Duration storeAnswerTime = std::chrono::milliseconds(500);

} // namespace

bool Control::isWantedVersion(std::uint64_t version) const
{
    return version > m_state.activeConfig.version() && version != m_rejectedVersion;
}

// The instances that have a configuration first tell all others of it. If these all got it from
// them, a large one would fill their links and processors for seconds, and nothing that they were
// to end would end in time.
void Control::pullVersion(std::uint64_t version, const std::string &gossipAddress)
{
    if (!m_source->awaitsStore())
        return pullConfigFrom(gossipAddress);
    if (std::exchange(m_pullPlanned, true))
        return;
    const auto spread
        = std::chrono::duration_cast<Duration>(storeAnswerTime * m_state.random.uniform());
    m_link.postAfter(storeAnswerTime + spread, [this, version, gossipAddress] {
        m_pullPlanned = false;
        if (isWantedVersion(version))
            pullConfigFrom(gossipAddress);
    });
}

void Control::pullConfigFrom(const std::string &gossipAddress)
{
    if (m_pullInProgress)
        return;
    m_pullInProgress = true;
    PeerRequest request;
    request.knownVersion = m_state.activeConfig.version();
    m_link.sendRequest(gossipAddress, request, [this](const std::optional<PeerReply> &reply) {
        m_pullInProgress = false;
        if (reply)
            applyConfigDelta(reply->delta);
    });
}

void Control::applyConfigDelta(const ConfigDelta &delta)
{
    if (delta.toVersion == 0)
        return;
    const auto before = m_state.activeConfig.document();
    const auto document = applyDelta(before.get(), delta);
    if (document.ok())
        applyConfig(*document, "peer");
}

void Control::applyConfig(const ConfigDocument &document, const std::string &source)
{
    const ConfigApplyResult result = m_state.activeConfig.apply(document);
    if (result == ConfigApplyResult::invalid) {
        m_rejectedVersion = document.version;
        logLine(LogPart::config, LogLevel::error, "Configuration version rejected.",
                {{"version", std::to_string(document.version)},
                 {"reason", m_state.activeConfig.lastError()}});
    }
    if (result != ConfigApplyResult::accepted)
        return;
    logLine(LogPart::config, LogLevel::info, "Configuration version in force.",
            {{"version", std::to_string(document.version)}, {"source", source}});
    m_state.servers.setConfig(m_state.activeConfig.config());
    m_state.originHistory.setServices(m_state.activeConfig.config()->services, m_state.clock.now());
    m_state.usageCaps.setCaps(m_state.activeConfig.config()->customers);
    m_source->onConfig();
    publishRoutingTable();
    announceConfig();
}

void Control::announceConfig()
{
    // Sent without loads, which would make up most of the traffic when the configuration changes
    // every few seconds.
    for (OutgoingProbe &item : m_membership.broadcast(gossipFanout, m_state.random)) {
        GossipMessage message;
        message.probe = std::move(item.probe);
        message.configVersion = m_state.activeConfig.version();
        m_link.sendGossip(item.address, message);
    }
}

void Control::onVersionOf(const std::string &instance, std::uint64_t version)
{
    post([this, instance, version] {
        const auto members = m_state.members.read();
        const auto found = std::find_if(members->begin(), members->end(),
                                        [&](const Member &one) { return one.name == instance; });
        if (found == members->end())
            return;
        if (isWantedVersion(version))
            pullVersion(version, found->gossipAddress);
        if (version < m_state.activeConfig.version())
            sendVersion(found->gossipAddress);
    });
}

void Control::sendVersion(const std::string &gossipAddress)
{
    const TimePoint now = m_state.clock.now();
    TimePoint &sentAt = m_versionSentAt[gossipAddress];
    if (now - sentAt < versionInterval)
        return;
    sentAt = now;
    m_link.sendGossip(gossipAddress, makeEmptyMessage());
}

} // namespace ibisnotch
