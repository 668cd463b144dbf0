#include "entry/origin-exchange.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

const StreamOrigin oldVersion{"p", "v1"};
const StreamOrigin newVersion{"p", "v2"};
constexpr std::uint64_t stream = 7;

// Keeps what is sent and what is to be done later. The store can't be read unless a test says so.
class FakeTransport final : public OriginTransport
{
public:
    using Refreshed = std::function<void(bool isCurrent)>;

    void refreshLists(Refreshed done) override
    {
        ++refreshes;
        if (!isStoreSlow)
            return done(false);
        m_refreshes.push_back(std::move(done));
    }
    // Ends the reads of a slow store.
    void endRefreshes(bool isCurrent)
    {
        for (const Refreshed &done : std::exchange(m_refreshes, {}))
            done(isCurrent);
    }
    void sendOrigins(const std::string &address, const OriginMessage &message) override
    {
        sent.emplace_back(address, message);
    }
    void postAfter(Duration, std::function<void()> task) override
    {
        m_tasks.push_back(std::move(task));
    }
    std::vector<Member> runningMembers() const override { return members; }

    // Lets all the time pass for which tasks wait.
    void runTasks()
    {
        while (!m_tasks.empty()) {
            const auto task = std::move(m_tasks.front());
            m_tasks.erase(m_tasks.begin());
            task();
        }
    }

    std::vector<Member> members;
    std::vector<std::pair<std::string, OriginMessage>> sent;
    bool isStoreSlow = false;
    int refreshes = 0;

private:
    std::vector<Refreshed> m_refreshes;
    std::vector<std::function<void()>> m_tasks;
};

ProcessSettings makeSettings()
{
    ProcessSettings settings;
    settings.name = "e0";
    settings.region = "here";
    return settings;
}

// An instance that has known one version for long, and others of its region.
struct OriginExchangeFixture
{
    OriginExchangeFixture()
    {
        Service service;
        service.name = "s";
        service.deadline = 10s;
        service.pools = {{"p", 1}};
        const TimePoint start = state.clock.now() - 60s;
        state.originHistory.setServices({{"s", service}}, start);
        state.originHistory.setListed({oldVersion}, start);
        for (TimePoint at = start; at <= state.clock.now(); at += 1s)
            state.originHistory.onConfirmed(at, 5s, at);
        setInstances(3);
    }

    void setInstances(int count)
    {
        transport.members.clear();
        for (int i = 0; i < count; ++i) {
            Member member;
            member.name = fmt::format("e{}", i);
            member.region = "here";
            member.gossipAddress = member.name;
            transport.members.push_back(member);
        }
    }

    void listBothVersions()
    {
        state.originHistory.setListed({oldVersion, newVersion}, state.clock.now());
    }

    void beginStream()
    {
        const TimePoint now = state.clock.now();
        state.originRecords.add(stream, {oldVersion, "s", now, now + 10s});
    }

    void find()
    {
        exchange.find({stream, "s"}, [this](const OriginFinding &found) { finding = found; });
    }

    // Answers the first question as the instance to which it was sent.
    void answer(std::optional<StreamOrigin> origin, const PossibleOrigins &possible)
    {
        REQUIRE_FALSE(transport.sent.empty());
        OriginMessage message;
        message.answers.push_back({stream, std::move(origin), 20, possible});
        exchange.onMessage(message, transport.sent.front().first);
    }

    EntryState state{makeSettings()};
    FakeTransport transport;
    OriginExchange exchange{state, transport};
    std::optional<OriginFinding> finding;
};

} // namespace

TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_oneVersion_tellsNothing")
{
    beginStream();
    exchange.tick();
    CHECK(transport.sent.empty());
}

// Guards against streams that are unknown elsewhere because they began just before a second version
// came.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_secondVersionComes_tellsStreamsUnderWay")
{
    beginStream();
    listBothVersions();
    exchange.tick();
    exchange.tick();
    REQUIRE_FALSE(transport.sent.empty());
    CHECK(transport.sent.size() <= 2);
    const OriginNotice &notice = transport.sent.front().second.notices.front();
    CHECK(notice.origin == oldVersion);
    CHECK(notice.streams == std::vector{stream});
}

TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_toldByAnother_answersItsQuestion")
{
    exchange.onMessage({{{newVersion, 5000, {stream}}}, {}, {}}, "e1");
    exchange.onMessage({{}, {{stream, "s"}}, {}}, "e2");
    REQUIRE(transport.sent.size() == 1);
    CHECK(transport.sent.front().first == "e2");
    const OriginAnswer &answer = transport.sent.front().second.answers.front();
    CHECK(answer.origin == newVersion);
    CHECK(answer.possible == PossibleOrigins{{oldVersion}, true});
}

TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_anotherWasTold_findsTheOrigin")
{
    find();
    answer(newVersion, {{oldVersion}, true});
    REQUIRE(finding);
    CHECK(finding->origin == newVersion);
    CHECK(finding->source == OriginSource::told);
}

TEST_CASE_METHOD(OriginExchangeFixture,
                 "originExchange_anotherKnowsTheSameSoleVersion_continuesWithIt")
{
    find();
    answer(std::nullopt, {{oldVersion}, true});
    REQUIRE(finding);
    CHECK(finding->origin == oldVersion);
    CHECK(finding->source == OriginSource::sole);
}

// Guards against a guess by an instance that is cut off and hasn't learnt of a new version yet.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_nobodyAnswers_doesNotGuess")
{
    find();
    CHECK_FALSE(finding);
    transport.runTasks();
    REQUIRE(finding);
    CHECK_FALSE(finding->origin);
    CHECK(finding->answered == 0);
    CHECK(transport.sent.size() > finding->asked); // asked again
}

// The same for an instance that missed a version of which another one knows.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_anotherKnowsASecondVersion_doesNotGuess")
{
    find();
    answer(std::nullopt, {{oldVersion, newVersion}, true});
    transport.runTasks();
    REQUIRE(finding);
    CHECK_FALSE(finding->origin);
}

TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_severalVersionsAndNoRecord_doesNotGuess")
{
    listBothVersions();
    find();
    transport.runTasks();
    REQUIRE(finding);
    CHECK_FALSE(finding->origin);
}

// Guards against a guess by an instance that has just started, because others, which have not met
// the callers that wait for longer, know of one version only.
TEST_CASE_METHOD(OriginExchangeFixture,
                 "originExchange_callersOutwaitTheDeadline_doesNotRelyOnOthersLists")
{
    state.originHistory.onCaller("s", 120s, state.clock.now());
    find();
    answer(std::nullopt, {{oldVersion}, true});
    transport.runTasks();
    REQUIRE(finding);
    CHECK_FALSE(finding->origin);
}

// Guards against a guess by an instance that is cut off from the store and has lost sight of the
// others, or has just started, while servers of a new version joined.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_onlyInstanceAndNoStore_doesNotGuess")
{
    setInstances(1);
    find();
    REQUIRE(finding);
    CHECK_FALSE(finding->origin);
}

TEST_CASE_METHOD(OriginExchangeFixture,
                 "originExchange_onlyInstance_reliesOnItsOwnListOnceItIsReadAnew")
{
    setInstances(1);
    transport.isStoreSlow = true;
    find();
    CHECK_FALSE(finding);
    transport.endRefreshes(true);
    REQUIRE(finding);
    CHECK(finding->origin == oldVersion);
    CHECK(finding->isListCurrent);
}

// Guards against a guess by an instance that stood still and has not heard yet what has changed.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_newVersionIsReadAnew_doesNotGuess")
{
    transport.isStoreSlow = true;
    find();
    listBothVersions();
    transport.endRefreshes(true);
    CHECK_FALSE(finding);
    answer(std::nullopt, {{oldVersion}, true});
    transport.runTasks();
    REQUIRE(finding);
    CHECK_FALSE(finding->origin);
}

// Guards against messages and waiting in calm times.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_listIsReadAnew_asksNobody")
{
    transport.isStoreSlow = true;
    find();
    transport.endRefreshes(true);
    REQUIRE(finding);
    CHECK(finding->origin == oldVersion);
    CHECK(transport.sent.empty());
}

TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_storeIsSlow_asksOthersMeanwhile")
{
    transport.isStoreSlow = true;
    find();
    transport.runTasks(); // the others have had their time, too
    CHECK_FALSE(finding);
    CHECK_FALSE(transport.sent.empty());
    transport.endRefreshes(true);
    REQUIRE(finding);
    CHECK(finding->origin == oldVersion);
}

// Guards against calls to the store that can't help, as only a record can.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_severalVersions_readsNothing")
{
    listBothVersions();
    find();
    exchange.onMessage({{}, {{stream, "s"}}, {}}, "e1");
    CHECK(transport.refreshes == 0);
}

// Guards against two instances that agree although both were cut off, or stood still, while servers
// of a new version joined.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_asked_saysItsListIsCompleteOnlyIfReadAnew")
{
    const bool isCurrent = GENERATE(true, false);
    transport.isStoreSlow = true;
    exchange.onMessage({{}, {{stream, "s"}}, {}}, "e1");
    CHECK(transport.sent.empty());
    transport.endRefreshes(isCurrent);
    REQUIRE(transport.sent.size() == 1);
    const OriginAnswer &answer = transport.sent.front().second.answers.front();
    CHECK(answer.possible == PossibleOrigins{{oldVersion}, isCurrent});
}

TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_nobodysListIsCurrent_doesNotGuess")
{
    setInstances(2);
    find();
    answer(std::nullopt, {{oldVersion}, false});
    REQUIRE(finding);
    CHECK_FALSE(finding->origin);
    CHECK(finding->answered == 1);
}

// Guards against a refusal, or a guess, although a notice waited in the socket while the instance
// stood still.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_toldDuringTheSearch_findsTheOrigin")
{
    setInstances(1);
    transport.isStoreSlow = true;
    find();
    exchange.onMessage({{{newVersion, 5000, {stream}}}, {}, {}}, "e1");
    transport.endRefreshes(true);
    REQUIRE(finding);
    CHECK(finding->origin == newVersion);
    CHECK(finding->source == OriginSource::told);
}

// Guards against an origin that counts as certain by the word of an instance that has not read its
// own list anew, as it knows of no server at all.
TEST_CASE_METHOD(OriginExchangeFixture, "originExchange_askedAndNoServerKnown_readsItsListAnew")
{
    state.originHistory.setListed({}, state.clock.now() - 30s);
    transport.isStoreSlow = true;
    OriginMessage message;
    message.questions.push_back({stream, "s"});
    exchange.onMessage(message, "e1");
    CHECK(transport.refreshes == 1);
    transport.endRefreshes(false);
    REQUIRE(transport.sent.size() == 1);
    CHECK_FALSE(transport.sent.front().second.answers.front().possible.isComplete);
}
