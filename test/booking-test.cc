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

// A store whose writes can be rejected, lose their response, be applied late or never.
class FakeStore
{
public:
    enum class Fault { none, rejected, lostResponse, late, lostWrite };

    struct Page
    {
        ClaimPage claims;
        std::uint64_t index = 0;
    };

    PageWriteResult write(const std::string &name, const WritePage &action, Fault fault,
                          std::uint64_t &newIndex)
    {
        if (fault == Fault::rejected)
            return PageWriteResult::notApplied;
        if (fault == Fault::lostWrite)
            return PageWriteResult::unknown;
        if (fault == Fault::late) {
            m_lateWrites.emplace_back(name, action);
            return PageWriteResult::unknown;
        }
        const bool applied = apply(name, action);
        newIndex = m_pages[name].index;
        if (fault == Fault::lostResponse)
            return PageWriteResult::unknown;
        return applied ? PageWriteResult::applied : PageWriteResult::conflict;
    }

    void applyOneLateWrite()
    {
        if (m_lateWrites.empty())
            return;
        apply(m_lateWrites.front().first, m_lateWrites.front().second);
        m_lateWrites.erase(m_lateWrites.begin());
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
    std::vector<std::pair<std::string, WritePage>> m_lateWrites;
    std::uint64_t m_index = 0;
};

// Entry instances that claim and send bookings through one claim page while the store fails.
class BookingFleet
{
public:
    explicit BookingFleet(std::size_t instances) : m_writers(instances) { }

    // A caller sends a booking with this key to an instance.
    void request(std::size_t instance, const std::string &key, const std::string &body,
                 bool outcomeKnown, bool connects)
    {
        const std::uint64_t attempt = ++m_attempts;
        m_plans[attempt] = {key, outcomeKnown, connects};
        m_writers[instance].claim({attempt, key, body, m_now + 3s});
    }

    // Runs the pending actions of an instance. With `hold`, the response of the store call that it
    // starts is delivered by the next step.
    void step(std::size_t instance, FakeStore::Fault fault, bool hold)
    {
        if (m_heldResponses.count(instance) > 0) {
            auto response = std::move(m_heldResponses[instance]);
            m_heldResponses.erase(instance);
            response();
        }
        for (int round = 0; round < 4; ++round) {
            const auto actions = m_writers[instance].advance(m_now);
            if (actions.empty())
                return;
            for (const ClaimAction &action : actions)
                act(instance, action, fault, hold);
            if (m_heldResponses.count(instance) > 0)
                return;
        }
    }

    // Restarts an instance without its state; calls that it has sent remain in effect.
    void restart(std::size_t instance)
    {
        m_heldResponses.erase(instance);
        m_writers[instance] = ClaimPageWriter();
    }

    void advance(Duration by) { m_now += by; }
    FakeStore &store() { return m_store; }
    const std::map<std::string, int> &sends() const { return m_sends; }
    const std::set<std::uint64_t> &rejectedAttempts() const { return m_rejected; }
    const std::set<std::uint64_t> &sentAttempts() const { return m_sentAttempts; }
    int granted() const { return m_granted; }

    void runUntilSettled()
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
        std::function<void()> response;
        if (const auto *read = std::get_if<ReadPage>(&action)) {
            if (fault == FakeStore::Fault::rejected) {
                response = [this, instance, call = read->call] {
                    m_writers[instance].onReadFailed(call, m_now);
                };
            } else {
                // Captures the current page, so that a held response may be out of date.
                response = [this, instance, call = read->call, page = m_store.page("page")] {
                    m_writers[instance].onRead(call, page.index, page.claims);
                };
            }
        } else {
            const auto &write = std::get<WritePage>(action);
            std::uint64_t index = 0;
            const PageWriteResult end = m_store.write("page", write, fault, index);
            response = [this, instance, call = write.call, end, index] {
                m_writers[instance].onWritten(call, end, index, m_now);
            };
        }
        if (hold)
            m_heldResponses[instance] = std::move(response);
        else
            response();
    }

    void onResult(std::size_t instance, const ClaimResult &result)
    {
        const Plan &plan = m_plans[result.attempt];
        if (result.outcome != ClaimOutcome::granted) {
            m_rejected.insert(result.attempt);
            return;
        }
        ++m_granted;
        if (!plan.connects) {
            m_writers[instance].recordOutcome(result.attempt, plan.key, ClaimState::notRun, 0);
            return;
        }
        ++m_sends[plan.key];
        m_sentAttempts.insert(result.attempt);
        if (plan.outcomeKnown)
            m_writers[instance].recordOutcome(result.attempt, plan.key, ClaimState::done, 200);
    }

    TimePoint m_now{};
    FakeStore m_store;
    std::vector<ClaimPageWriter> m_writers;
    std::map<std::size_t, std::function<void()>> m_heldResponses;
    std::map<std::uint64_t, Plan> m_plans;
    std::map<std::string, int> m_sends;
    std::set<std::uint64_t> m_rejected;
    std::set<std::uint64_t> m_sentAttempts;
    std::uint64_t m_attempts = 0;
    int m_granted = 0;
};

FakeStore::Fault randomFault()
{
    return *rc::gen::weightedElement<FakeStore::Fault>({{5, FakeStore::Fault::none},
                                                        {2, FakeStore::Fault::rejected},
                                                        {3, FakeStore::Fault::lostResponse},
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
        fleet.restart(instance);
        break;
    case 3:
        fleet.store().applyOneLateWrite();
        break;
    case 4:
        fleet.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
        break;
    default:
        fleet.step(instance, randomFault(), *rc::gen::arbitrary<bool>());
    }
}

} // namespace

// Guards against sending a booking twice when instances race for a key, the store loses responses,
// applies writes late or rejects them, and instances stall or restart between any two steps. Only
// the attempt whose number is read back from the page may send.
TEST_CASE("claims_underAnyInterleavingOfFaults_sendEachKeyAtMostOnce")
{
    rc::prop("each key is sent at most once", [] {
        constexpr std::size_t instances = 3;
        BookingFleet fleet(instances);
        const int steps = *rc::gen::inRange(5, 60);
        for (int i = 0; i < steps; ++i)
            randomStep(fleet, instances);
        fleet.runUntilSettled();
        for (const auto &[key, count] : fleet.sends())
            RC_ASSERT(count <= 1);
        // An attempt that was rejected as not run has not been sent.
        for (const std::uint64_t attempt : fleet.rejectedAttempts())
            RC_ASSERT(fleet.sentAttempts().count(attempt) == 0);
    });
}

TEST_CASE("claims_withoutFaults_areGrantedOnce")
{
    BookingFleet fleet(2);
    fleet.request(0, "k1", "body", true, true);
    fleet.runUntilSettled();
    CHECK(fleet.sends().at("k1") == 1);
    CHECK(fleet.store().page("page").claims.at("k1").state == ClaimState::done);
    fleet.request(1, "k1", "body", true, true);
    fleet.runUntilSettled();
    CHECK(fleet.sends().at("k1") == 1);
    CHECK(fleet.granted() == 1);
}

// Guards against a key that stays blocked after its backend server could not be reached. The
// instance that held the claim records that the request did not run, and the key may be used again.
TEST_CASE("claims_afterCertainNotRun_mayBeAcquiredAgain")
{
    BookingFleet fleet(2);
    fleet.request(0, "k1", "body", true, false);
    fleet.runUntilSettled();
    CHECK(fleet.sends().empty());
    fleet.request(1, "k1", "body", true, true);
    fleet.runUntilSettled();
    CHECK(fleet.sends().at("k1") == 1);
}

TEST_CASE("claims_storeDownForAnHour_areRejectedAndNeverSent")
{
    BookingFleet fleet(1);
    for (int minute = 0; minute < 60; ++minute) {
        fleet.request(0, "k" + std::to_string(minute), "body", true, true);
        for (int i = 0; i < 4; ++i) {
            fleet.step(0, FakeStore::Fault::rejected, false);
            fleet.advance(15s);
        }
    }
    CHECK(fleet.sends().empty());
    CHECK(fleet.rejectedAttempts().size() == 60);
}

TEST_CASE("claimPage_whenFull_rejectsNewClaimsAndKeepsOldOnes")
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

// Guards against a second booking by a late copy of a request whose claim page has been removed.
// Pages are kept longer than keys are accepted, by more than clocks may differ.
TEST_CASE("isKeyAccepted_afterItsPageWasRemoved_isFalseOnEveryClock")
{
    rc::prop("no instance accepts a key whose page may have been removed", [] {
        const WallTime createdAt(std::chrono::milliseconds(*rc::gen::inRange(0, 1'000'000'000)));
        const Duration lifetime = 24h;
        const auto skew = std::chrono::milliseconds(
            *rc::gen::inRange<long>(-clockTolerance / 1ms, clockTolerance / 1ms + 1));
        const CallerKey key{"k", createdAt};
        // The time at which an instance first removes the pages of this hour, by its own clock.
        const auto hour
            = std::chrono::floor<std::chrono::hours>(createdAt.time_since_epoch()).count();
        const auto removedAt
            = WallTime(std::chrono::hours(hour + 1)) + lifetime + 2 * clockTolerance;
        RC_ASSERT(newestExpiredHour(removedAt - 1us, lifetime) < hour);
        RC_ASSERT(newestExpiredHour(removedAt, lifetime) == hour);
        RC_ASSERT(!isKeyAccepted(key, removedAt + skew, lifetime));
    });
}

TEST_CASE("parseBookingKey_ofMadeKeys_returnsTheCreationTime")
{
    rc::prop("round trip", [](std::uint64_t seed) {
        Random random(seed);
        const WallTime createdAt(std::chrono::milliseconds(*rc::gen::inRange(0, 2'000'000'000)));
        const auto key = parseBookingKey(makeCallerKey(createdAt, random));
        RC_ASSERT(key.ok());
        RC_ASSERT(std::get<CallerKey>(*key).createdAt == createdAt);
    });
}

TEST_CASE("parseBookingKey_ofOtherFormats_fails")
{
    for (const char *text : {"", "42", "0190163d-8694-4000-8000-000000000000", "ib1.a.b",
                             "ib1..1.2", "ib1.a.zz.1", "0190163d-8694-7000-1000-000000000000"})
        CHECK(resultCodeOf(parseBookingKey(text).status()) == ResultCode::bookingKeyForm);
    const auto upper = parseBookingKey("0190163D-8694-7000-8000-00000000000A");
    const auto lower = parseBookingKey("0190163d-8694-7000-8000-00000000000a");
    CHECK(*upper == *lower);
}

// Guards against sending a booking twice when its issued key is used again at any time during the
// first request, by other customers, or after the issuer restarted.
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
            const int action = *rc::gen::inRange(0, 8);
            if (action == 0 || known.empty()) {
                if (auto key = keys->issue("c1", now, random))
                    known.push_back(*key);
                continue;
            }
            const std::string key = *rc::gen::elementOf(known);
            if (action == 1) {
                keys = std::make_unique<IssuedKeys>("a", ++incarnation, IssuedKeys::Limits{});
                sending.clear();
            } else if (action <= 4) {
                const auto parsed = std::get<IssuedKey>(*parseBookingKey(key));
                const auto customer
                    = *rc::gen::weightedElement<std::string>({{5, "c1"}, {1, "c2"}});
                if (keys->begin(parsed, customer, "body", now).use == IssuedKeyUse::send) {
                    RC_ASSERT(customer == "c1");
                    ++mayHaveRun[key];
                    sending.insert(key);
                }
            } else if (sending.erase(key) > 0) {
                if (action == 5) {
                    --mayHaveRun[key];
                    keys->finishNotRun(key);
                } else if (action == 6) {
                    keys->finishDone(key, 200, "response");
                } else {
                    keys->finishUnknown(key);
                }
            }
        }
        for (const auto &[key, count] : mayHaveRun)
            RC_ASSERT(count <= 1);
    });
}

TEST_CASE("issuedKeys_sentAgain_repeatTheResponse")
{
    Random random(1);
    IssuedKeys keys("a", 7, {});
    const auto key = *keys.issue("c1", TimePoint(), random);
    const auto parsed = std::get<IssuedKey>(*parseBookingKey(key));
    CHECK(keys.begin(parsed, "c1", "body", TimePoint()).use == IssuedKeyUse::send);
    CHECK(keys.begin(parsed, "c1", "body", TimePoint()).use == IssuedKeyUse::inProgress);
    keys.finishDone(key, 201, "the response");
    const auto again = keys.begin(parsed, "c1", "body", TimePoint());
    CHECK(again.use == IssuedKeyUse::repeat);
    CHECK(again.responseBody == "the response");
    CHECK(keys.begin(parsed, "c1", "other", TimePoint()).use == IssuedKeyUse::bodyMismatch);
    CHECK(keys.begin(parsed, "c2", "body", TimePoint()).use == IssuedKeyUse::issuerGone);
}
