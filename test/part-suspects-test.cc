#include "ibisnotch/part-suspects.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

Prompt promptOf(const std::vector<std::uint64_t> &sharedParts)
{
    Prompt prompt;
    for (const std::uint64_t part : sharedParts)
        prompt.parts.push_back({part, 100, "p" + std::to_string(part)});
    prompt.parts.push_back({99, 100, "own"});
    return prompt;
}

class SuspectsFixture
{
public:
    // A server crashes that was about to answer the prompt, which was sent with this knowledge.
    std::vector<SuspectPart> crash(const Prompt &prompt, std::vector<int> known)
    {
        suspects.onPromptLost("pool", prompt);
        return suspects.onServerCrashed({"pool", prompt, std::move(known), "s1", "r1"}, now);
    }
    // The same, sent with what is known now.
    std::vector<SuspectPart> crash(const Prompt &prompt)
    {
        return crash(prompt, suspects.knownCrashes("pool", prompt));
    }
    bool isBlocked(const Prompt &prompt)
    {
        return suspects.findBlocked("pool", prompt, now).has_value();
    }

    TimePoint now = TimePoint{} + 1000s;
    PartSuspects suspects{"e1"};
};

} // namespace

// Guards against a part that crashes server after server, all requests being different.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_threeServersCrashInARow_blocksThePart")
{
    crash(promptOf({1, 7}));
    crash(promptOf({2, 7}));
    CHECK_FALSE(isBlocked(promptOf({3, 7})));
    const auto records = crash(promptOf({3, 7}));
    REQUIRE(records.size() == 1);
    CHECK(records[0].name == "p7");
    CHECK(records[0].crashes == PartSuspects::crashesToBlock);
    CHECK(isBlocked(promptOf({4, 7})));
    CHECK_FALSE(isBlocked(promptOf({3, 8})));
}

// Guards against sound parts that are blocked when a data centre loses power.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_serversCrashAtOnce_countAsOne")
{
    for (int server = 0; server < 10; ++server)
        crash(promptOf({1, 7}), {});
    CHECK_FALSE(isBlocked(promptOf({1, 7})));
    CHECK(suspects.knownCrashes("pool", promptOf({1, 7})) == std::vector<int>{1, 1});
}

// Guards against a first part that is blocked because of a later one: it is shared by half of all
// requests.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_twoPartsWithTheSameRow_blocksTheLast")
{
    for (int server = 0; server < 3; ++server)
        crash(promptOf({1, 7}));
    CHECK(isBlocked(promptOf({2, 7})));
    CHECK_FALSE(isBlocked(promptOf({1, 8})));
}

TEST_CASE_METHOD(SuspectsFixture, "partSuspects_firstPartIsTheCause_isBlockedOnceOthersCrashToo")
{
    for (int server = 0; server < 3; ++server)
        crash(promptOf({1, 7}));
    crash(promptOf({1, 8}));
    CHECK(isBlocked(promptOf({1, 9})));
}

TEST_CASE_METHOD(SuspectsFixture, "partSuspects_answerBegins_endsTheRowAndRefutesRecords")
{
    crash(promptOf({1, 7}));
    const auto cleared = suspects.onAnswerBegun("pool", promptOf({1, 8}), now);
    REQUIRE(cleared.size() == 1);
    CHECK(cleared[0].name == "p1");
    CHECK(suspects.knownCrashes("pool", promptOf({1, 7})) == std::vector<int>{0, 1});
    SuspectPart record = cleared[0];
    record.crashes = PartSuspects::crashesToBlock;
    CHECK(suspects.onRecord(record, now) == RecordResult::refuted);
    CHECK(suspects.onRecord(record, now + PartSuspects::answerValidity) == RecordResult::news);
    CHECK(isBlocked(promptOf({1, 8})));
}

// Guards against suspicion of a part whose next answer begins before it is known that the server of
// the lost one has crashed.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_answerBeginsBeforeTheServerIsChecked_clearsThePart")
{
    const Prompt prompt = promptOf({1, 7});
    suspects.onPromptLost("pool", prompt);
    suspects.onAnswerBegun("pool", promptOf({1, 8}), now);
    const auto records = suspects.onServerCrashed({"pool", prompt, {}, "s1", "r1"}, now);
    REQUIRE(records.size() == 1);
    CHECK(records[0].name == "p7");
}

TEST_CASE_METHOD(SuspectsFixture, "partSuspects_serverIsAlive_accusesNothing")
{
    const Prompt prompt = promptOf({1, 7});
    suspects.onPromptLost("pool", prompt);
    suspects.onServerAlive("pool", prompt);
    CHECK(suspects.suspects().empty());
    CHECK(suspects.onServerCrashed({"pool", prompt, {}, "s1", "r1"}, now).empty());
}

TEST_CASE_METHOD(SuspectsFixture, "partSuspects_blockEnds_oneMoreCrashBlocksAgain")
{
    const Prompt prompt = promptOf({7});
    std::string id;
    for (int server = 0; server < 3; ++server)
        id = crash(prompt).front().id;
    CHECK(suspects.onRecordRemoved(id, true));
    CHECK_FALSE(isBlocked(prompt));
    crash(prompt);
    CHECK(isBlocked(prompt));
}

// Guards against a sound part that is refused for as long as its block lasts.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_blockedForAWhile_isTriedOnceByOneInstance")
{
    const Prompt prompt = promptOf({7});
    PartSuspects other("e2");
    SuspectPart record;
    for (int server = 0; server < 3; ++server)
        record = crash(prompt).front();
    CHECK(other.onRecord(record, now) == RecordResult::news);
    CHECK(suspects.admit("pool", prompt, now).blocked);
    now += PartSuspects::trialDelay;
    CHECK_FALSE(isBlocked(prompt));
    const Admittance trial = suspects.admit("pool", prompt, now);
    CHECK_FALSE(trial.blocked);
    REQUIRE(trial.tried.size() == 1);
    CHECK(trial.tried[0].suspect == record);
    CHECK(suspects.admit("pool", prompt, now).blocked);
    CHECK(isBlocked(prompt));
    CHECK(other.admit("pool", prompt, now).blocked);
}

// Guards against a sound part that is refused for as long as its block lasts, because the caller of
// its one trial left.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_trialEndsUndecided_anotherPromptIsTheTrial")
{
    const Prompt prompt = promptOf({7});
    for (int server = 0; server < 3; ++server)
        crash(prompt);
    now += PartSuspects::trialDelay;
    const Admittance trial = suspects.admit("pool", prompt, now);
    REQUIRE(trial.tried.size() == 1);
    CHECK(isBlocked(prompt));
    SECTION("the caller left")
    {
        suspects.onTrialUndecided(trial.tried, now + 1s);
        CHECK(isBlocked(prompt));
        now += 1s;
        CHECK(suspects.admit("pool", prompt, now).tried.size() == 1);
        CHECK(isBlocked(prompt));
    }
    SECTION("its server crashed")
    {
        crash(prompt);
        suspects.onTrialUndecided(trial.tried, now);
        CHECK(isBlocked(prompt));
    }
    SECTION("its server answered")
    {
        suspects.onAnswerBegun("pool", prompt, now);
        suspects.onTrialUndecided(trial.tried, now);
        CHECK_FALSE(isBlocked(prompt));
    }
}

// Guards against servers that crash each time that the block of the same part ends.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_trialCrashes_blockIsRenewedWhilePromptsCome")
{
    const Prompt prompt = promptOf({7});
    for (int server = 0; server < 3; ++server)
        crash(prompt);
    now += PartSuspects::blockTime / 2;
    CHECK(isBlocked(promptOf({8, 7})) == false);
    CHECK(suspects.renewals(now).empty());
    const auto confirmed = crash(prompt);
    REQUIRE(confirmed.size() == 1);
    CHECK(confirmed[0].crashes == PartSuspects::crashesToConfirm);
    CHECK(suspects.renewals(now).empty());
    now += PartSuspects::blockTime / 2;
    CHECK(suspects.renewals(now).empty());
    CHECK(isBlocked(prompt));
    CHECK(suspects.renewals(now) == confirmed);
    CHECK(suspects.onRecord(confirmed[0], now) == RecordResult::known);
    CHECK(suspects.renewals(now).empty());
}

// Guards against a trial at each of several instances that block a part at the same time.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_blockedByOthersToo_leavesThemTheTrial")
{
    const Prompt prompt = promptOf({7});
    SuspectPart record;
    for (int server = 0; server < 3; ++server)
        record = crash(prompt).front();
    record.observer = "e2";
    CHECK(suspects.onRecord(record, now) == RecordResult::known);
    CHECK(suspects.admit("pool", prompt, now + PartSuspects::trialDelay).blocked);
}

// Guards against a block that ends with the record of its row.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_rowRemovedBeforeItsBlock_staysBlocked")
{
    const Prompt prompt = promptOf({7});
    std::string id;
    for (int server = 0; server < 4; ++server)
        id = crash(prompt).front().id;
    CHECK(suspects.onRecordRemoved(id, false));
    CHECK(isBlocked(prompt));
    CHECK(suspects.knownCrashes("pool", prompt)
          == std::vector<int>{PartSuspects::crashesToConfirm});
    CHECK(suspects.onRecordRemoved(id, true));
    CHECK(suspects.suspects().empty());
}

TEST_CASE_METHOD(SuspectsFixture, "partSuspects_rowRemoved_isForgotten")
{
    const std::string id = crash(promptOf({7})).front().id;
    CHECK(suspects.onRecordRemoved(id, false));
    CHECK(suspects.suspects().empty());
    CHECK_FALSE(suspects.onRecordRemoved(id, false));
}

// Guards against servers of one pool that are spared because those of another one answer the part.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_otherPoolAnswers_doesNotClearThePart")
{
    for (int server = 0; server < 3; ++server)
        crash(promptOf({7}));
    suspects.onAnswerBegun("other", promptOf({7}), now);
    CHECK(isBlocked(promptOf({7})));
}

// Guards against memory that grows with the number of parts that callers name.
TEST_CASE_METHOD(SuspectsFixture, "partSuspects_partsWithoutEnd_keepsABoundedNumber")
{
    for (std::uint64_t part = 0; part < PartSuspects::maxParts + 100; ++part)
        crash(promptOf({1000 + part}));
    CHECK(suspects.suspects().size() == PartSuspects::maxParts);
}

TEST_CASE("parseSuspect_whatSerializeSuspectWrote_isTheSame")
{
    rc::prop("a record survives", [] {
        const auto text = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
        const std::string name = *text;
        const std::string request = *text;
        const SuspectPart suspect{"id", name, "pool", 2, "s1", request, "e1"};
        const auto parsed = parseSuspect(serializeSuspect(suspect));
        RC_ASSERT(parsed.ok());
        RC_ASSERT(*parsed == suspect);
    });
}

TEST_CASE("parseSuspect_invalidRecord_namesTheField")
{
    CHECK(parseSuspect("x").status().message() == "no object");
    CHECK(parseSuspect("{}").status().message() == "id: text expected");
    CHECK(parseSuspect(R"({"id":"","name":"","pool":"","server":"","request":"","observer":""})")
              .status()
              .message()
          == "crashes: number expected");
}
