#include "ibisnotch/booking.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// A store whose writes can be refused, lose their answer, take effect late, or never.
class FakeStore
{
public:
    enum class Fault { none, refused, lostAnswer, late, lostWrite };

    struct Page
    {
        ClaimPage claims;
        std::uint64_t index = 0;
    };

    PageWriteResult write(const std::string &name, const WritePage &action, Fault fault,
                          std::uint64_t &newIndex)
    {
        if (fault == Fault::refused)
            return PageWriteResult::notApplied;
        if (fault == Fault::lostWrite)
            return PageWriteResult::unknown;
        if (fault == Fault::late) {
            m_late.emplace_back(name, action);
            return PageWriteResult::unknown;
        }
        const bool applied = apply(name, action);
        newIndex = m_pages[name].index;
        if (fault == Fault::lostAnswer)
            return PageWriteResult::unknown;
        return applied ? PageWriteResult::applied : PageWriteResult::conflict;
    }

    void applyOneLate()
    {
        if (m_late.empty())
            return;
        apply(m_late.front().first, m_late.front().second);
        m_late.erase(m_late.begin());
    }

    const Page &page(const std::string &name) { return m_pages[name]; }

private:
    bool apply(const std::string &name, const WritePage &action)
    {
        Page &page = m_pages[name];
        if (page.index != action.expectedIndex)
            return false;
        page.claims = *parseClaimPage(action.value);
        page.index = ++m_index;
        return true;
    }

    std::map<std::string, Page> m_pages;
    std::vector<std::pair<std::string, WritePage>> m_late;
    std::uint64_t m_index = 0;
};

// Several entry instances that claim and send bookings through one page, under faults.
class BookingFleet
{
public:
    explicit BookingFleet(std::size_t instances) : m_writers(instances) { }

    // A caller sends a key through an instance.
    void request(std::size_t instance, const std::string &key, const std::string &body,
                 bool outcomeKnown, bool connects)
    {
        const std::uint64_t attempt = ++m_attempts;
        m_plans[attempt] = {key, outcomeKnown, connects};
        m_writers[instance].claim({attempt, key, body, m_now + 3s});
    }

    // One round of decisions; a held round starts a store call and leaves its answer for later.
    void step(std::size_t instance, FakeStore::Fault fault, bool hold)
    {
        if (m_held.count(instance) > 0) {
            auto answer = std::move(m_held[instance]);
            m_held.erase(instance);
            answer();
        }
        for (int round = 0; round < 4; ++round) {
            const auto actions = m_writers[instance].advance(m_now);
            if (actions.empty())
                return;
            for (const ClaimAction &action : actions)
                act(instance, action, fault, hold);
            if (m_held.count(instance) > 0)
                return;
        }
    }

    // The process dies; what it sent stays sent, and a new one starts empty.
    void kill(std::size_t instance)
    {
        m_held.erase(instance);
        m_writers[instance] = ClaimPageWriter();
    }

    void advance(Duration by) { m_now += by; }
    FakeStore &store() { return m_store; }
    const std::map<std::string, int> &sends() const { return m_sends; }
    const std::set<std::uint64_t> &refusedAttempts() const { return m_refused; }
    const std::set<std::uint64_t> &sentAttempts() const { return m_sentBy; }
    int granted() const { return m_granted; }

    void settleAll()
    {
        for (int round = 0; round < 40; ++round) {
            advance(250ms);
            for (std::size_t i = 0; i < m_writers.size(); ++i)
                step(i, FakeStore::Fault::none, false);
        }
    }

private:
    struct Plan
    {
        std::string key;
        bool outcomeKnown = true;
        bool connects = true;
    };

    void act(std::size_t instance, const ClaimAction &action, FakeStore::Fault fault, bool hold)
    {
        if (const auto *result = std::get_if<ClaimResult>(&action))
            return onResult(instance, *result);
        std::function<void()> answer;
        if (const auto *read = std::get_if<ReadPage>(&action)) {
            if (fault == FakeStore::Fault::refused) {
                answer = [this, instance, call = read->call] {
                    m_writers[instance].onReadFailed(call, m_now);
                };
            } else {
                // The page as it is now; a held answer is an old one by the time it arrives.
                answer = [this, instance, call = read->call, page = m_store.page("page")] {
                    m_writers[instance].onRead(call, page.index, page.claims);
                };
            }
        } else {
            const auto &write = std::get<WritePage>(action);
            std::uint64_t index = 0;
            const PageWriteResult end = m_store.write("page", write, fault, index);
            answer = [this, instance, call = write.call, end, index] {
                m_writers[instance].onWritten(call, end, index, m_now);
            };
        }
        if (hold)
            m_held[instance] = std::move(answer);
        else
            answer();
    }

    void onResult(std::size_t instance, const ClaimResult &result)
    {
        const Plan &plan = m_plans[result.attempt];
        if (result.outcome != ClaimOutcome::granted) {
            m_refused.insert(result.attempt);
            return;
        }
        ++m_granted;
        if (!plan.connects) {
            m_writers[instance].recordOutcome(result.attempt, plan.key, ClaimState::notRun, 0);
            return;
        }
        ++m_sends[plan.key];
        m_sentBy.insert(result.attempt);
        if (plan.outcomeKnown)
            m_writers[instance].recordOutcome(result.attempt, plan.key, ClaimState::done, 200);
    }

    TimePoint m_now{};
    FakeStore m_store;
    std::vector<ClaimPageWriter> m_writers;
    std::map<std::size_t, std::function<void()>> m_held;
    std::map<std::uint64_t, Plan> m_plans;
    std::map<std::string, int> m_sends;
    std::set<std::uint64_t> m_refused;
    std::set<std::uint64_t> m_sentBy;
    std::uint64_t m_attempts = 0;
    int m_granted = 0;
};

FakeStore::Fault anyFault()
{
    return *rc::gen::weightedElement<FakeStore::Fault>({{5, FakeStore::Fault::none},
                                                        {2, FakeStore::Fault::refused},
                                                        {3, FakeStore::Fault::lostAnswer},
                                                        {3, FakeStore::Fault::late},
                                                        {1, FakeStore::Fault::lostWrite}});
}

void randomStep(BookingFleet &fleet, std::size_t instances)
{
    const auto instance = *rc::gen::inRange<std::size_t>(0, instances);
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
    case 1:
        fleet.request(instance, *rc::gen::element<std::string>("k1", "k2", "k3"),
                      *rc::gen::weightedElement<std::string>({{9, "body"}, {1, "other"}}),
                      *rc::gen::arbitrary<bool>(),
                      *rc::gen::weightedElement<bool>({{4, true}, {1, false}}));
        break;
    case 2:
        fleet.kill(instance);
        break;
    case 3:
        fleet.store().applyOneLate();
        break;
    case 4:
        fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
        break;
    default:
        fleet.step(instance, anyFault(), *rc::gen::arbitrary<bool>());
    }
}

} // namespace

// What the caller sees: one booking, and now and then "outcome unknown". In what order: instances
// race for a key, the store loses answers, applies writes late or refuses, holders are paused or
// killed between any two steps, callers send again through other instances. Why: only the attempt
// whose number is found on the page may send, and each number is given one attempt.
TEST_CASE("claims_underAnyInterleavingOfFaults_sendEachKeyAtMostOnce")
{
    rc::prop("at most one send a key", [] {
        constexpr std::size_t instances = 3;
        BookingFleet fleet(instances);
        const int steps = *rc::gen::inRange(5, 60);
        for (int i = 0; i < steps; ++i)
            randomStep(fleet, instances);
        fleet.settleAll();
        for (const auto &[key, count] : fleet.sends())
            RC_ASSERT(count <= 1);
        // A refusal that says "not run" is true of the attempt that it answers.
        for (const std::uint64_t attempt : fleet.refusedAttempts())
            RC_ASSERT(fleet.sentAttempts().count(attempt) == 0);
    });
}

TEST_CASE("claims_withoutFaults_areGrantedThenRepeated")
{
    BookingFleet fleet(2);
    fleet.request(0, "k1", "body", true, true);
    fleet.settleAll();
    CHECK(fleet.sends().at("k1") == 1);
    CHECK(fleet.store().page("page").claims.at("k1").state == ClaimState::done);
    fleet.request(1, "k1", "body", true, true);
    fleet.settleAll();
    CHECK(fleet.sends().at("k1") == 1);
    CHECK(fleet.granted() == 1);
}

// What the caller sees: "not run", then success with the same key. In what order: the claim is
// granted, the backend server cannot be reached, the caller tries again through another instance.
// Why: the holder says on the page that it will not send, so the key is free again.
TEST_CASE("claims_afterCertainNotRun_mayBeTakenAgain")
{
    BookingFleet fleet(2);
    fleet.request(0, "k1", "body", true, false);
    fleet.settleAll();
    CHECK(fleet.sends().empty());
    fleet.request(1, "k1", "body", true, true);
    fleet.settleAll();
    CHECK(fleet.sends().at("k1") == 1);
}

TEST_CASE("claims_storeDownForAnHour_refuseAndNeverSend")
{
    BookingFleet fleet(1);
    for (int minute = 0; minute < 60; ++minute) {
        fleet.request(0, "k" + std::to_string(minute), "body", true, true);
        for (int i = 0; i < 4; ++i) {
            fleet.step(0, FakeStore::Fault::refused, false);
            fleet.advance(15s);
        }
    }
    CHECK(fleet.sends().empty());
    CHECK(fleet.refusedAttempts().size() == 60);
}

TEST_CASE("claimPage_whenFull_refusesNewClaimsAndKeepsOldOnes")
{
    ClaimPageWriter writer;
    ClaimPage full;
    for (int i = 0; i < 8000; ++i)
        full["claim" + std::to_string(i)] = {std::uint64_t(i), "body", ClaimState::done, 200};
    writer.claim({77, "new", "body", TimePoint(10s)});
    auto actions = writer.advance(TimePoint());
    writer.onRead(std::get<ReadPage>(actions.at(0)).call, 5, full);
    actions = writer.advance(TimePoint());
    REQUIRE(actions.size() == 1);
    CHECK(std::get<ClaimResult>(actions[0]).outcome == ClaimOutcome::pageFull);
    writer.claim({78, "claim5", "body", TimePoint(10s)});
    actions = writer.advance(TimePoint());
    CHECK(std::get<ClaimResult>(actions.at(0)).outcome == ClaimOutcome::alreadyDone);
    CHECK(serializeClaimPage(full).size() < 1U << 20);
}

// What the caller sees: the key is refused as too old, whichever instance it asks. In what order:
// the page of its hour is dropped, then a late copy of the request arrives. Why: keys are accepted
// for less time than pages are kept, by more than clocks may differ.
TEST_CASE("keyAccepted_afterItsPageWasDropped_isFalseOnEveryClock")
{
    rc::prop("no instance accepts a key whose page may be gone", [] {
        const WallTime createdAt(std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000'000)));
        const Duration life = 24h;
        const auto skew = std::chrono::milliseconds(
            *rc::gen::inRange<long>(-clockTolerance / 1ms, clockTolerance / 1ms + 1));
        const CallerKey key{"k", createdAt};
        // The moment at which the sweeper, by its clock, first removes the page of this hour.
        const auto hour
            = std::chrono::floor<std::chrono::hours>(createdAt.time_since_epoch()).count();
        const auto dropped = WallTime(std::chrono::hours(hour + 1)) + life + 2 * clockTolerance;
        RC_ASSERT(newestExpiredHour(dropped - 1us, life) < hour);
        RC_ASSERT(newestExpiredHour(dropped, life) == hour);
        RC_ASSERT(!isKeyAccepted(key, dropped + skew, life));
    });
}

TEST_CASE("parseBookingKey_ofMadeKeys_givesTheTimeBack")
{
    rc::prop("round trip", [](std::uint64_t seed) {
        Random random(seed);
        const WallTime createdAt(std::chrono::milliseconds(*rc::gen::inRange(0, 2'000'000'000)));
        const auto key = parseBookingKey(makeCallerKey(createdAt, random));
        RC_ASSERT(key.ok());
        RC_ASSERT(std::get<CallerKey>(*key).createdAt == createdAt);
    });
}

TEST_CASE("parseBookingKey_ofOtherForms_isRefused")
{
    for (const char *text : {"", "42", "0190163d-8694-4000-8000-000000000000", "ib1.a.b",
                             "ib1..1.2", "ib1.a.zz.1", "0190163d-8694-7000-1000-000000000000"})
        CHECK(resultCodeOf(parseBookingKey(text).status()) == ResultCode::bookingKeyForm);
    const auto upper = parseBookingKey("0190163D-8694-7000-8000-00000000000A");
    const auto lower = parseBookingKey("0190163d-8694-7000-8000-00000000000a");
    CHECK(*upper == *lower);
}

// What the caller sees: one booking; later sends hear its answer, "in progress" or "unknown". In
// what order: the same key is sent again at any moment of the first send, by other customers, with
// other bodies, and after the issuer restarted. Why: an incarnation leaves "unused" once.
TEST_CASE("issuedKeys_underAnyUse_sendEachKeyAtMostOnce")
{
    rc::prop("at most one send that may have run", [](std::uint64_t seed) {
        Random random(seed);
        std::uint64_t incarnation = 1;
        auto keys = std::make_unique<IssuedKeys>("a", incarnation, IssuedKeys::Limits{});
        std::map<std::string, int> mayHaveRun;
        std::vector<std::string> known;
        std::set<std::string> sending;
        TimePoint now;
        for (int i = 0; i < 80; ++i) {
            now += std::chrono::minutes(*rc::gen::inRange(0, 20));
            const int what = *rc::gen::inRange(0, 8);
            if (what == 0 || known.empty()) {
                if (auto key = keys->issue("c1", now, random))
                    known.push_back(*key);
                continue;
            }
            const std::string key = *rc::gen::elementOf(known);
            if (what == 1) {
                keys = std::make_unique<IssuedKeys>("a", ++incarnation, IssuedKeys::Limits{});
                sending.clear();
            } else if (what <= 4) {
                const auto parsed = std::get<IssuedKey>(*parseBookingKey(key));
                const auto customer
                    = *rc::gen::weightedElement<std::string>({{5, "c1"}, {1, "c2"}});
                if (keys->begin(parsed, customer, "body", now).use == IssuedKeyUse::send) {
                    RC_ASSERT(customer == "c1");
                    ++mayHaveRun[key];
                    sending.insert(key);
                }
            } else if (sending.erase(key) > 0) {
                if (what == 5) {
                    --mayHaveRun[key];
                    keys->finishNotRun(key);
                } else if (what == 6) {
                    keys->finishDone(key, 200, "answer");
                } else {
                    keys->finishUnknown(key);
                }
            }
        }
        for (const auto &[key, count] : mayHaveRun)
            RC_ASSERT(count <= 1);
    });
}

TEST_CASE("issuedKeys_sentAgain_repeatTheAnswer")
{
    Random random(1);
    IssuedKeys keys("a", 7, {});
    const auto key = *keys.issue("c1", TimePoint(), random);
    const auto parsed = std::get<IssuedKey>(*parseBookingKey(key));
    CHECK(keys.begin(parsed, "c1", "body", TimePoint()).use == IssuedKeyUse::send);
    CHECK(keys.begin(parsed, "c1", "body", TimePoint()).use == IssuedKeyUse::inProgress);
    keys.finishDone(key, 201, "the answer");
    const auto again = keys.begin(parsed, "c1", "body", TimePoint());
    CHECK(again.use == IssuedKeyUse::repeat);
    CHECK(again.answer == "the answer");
    CHECK(keys.begin(parsed, "c1", "other", TimePoint()).use == IssuedKeyUse::bodyMismatch);
    CHECK(keys.begin(parsed, "c2", "body", TimePoint()).use == IssuedKeyUse::issuerGone);
}
