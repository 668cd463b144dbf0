// Who gives way when requests that are being received take too much.
#include "ibisnotch/receive-limits.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mib = 1U << 20;

std::size_t heldAfter(const std::vector<ReceiveSample> &samples,
                      const std::vector<std::uint64_t> &closed)
{
    std::size_t held = 0;
    for (const ReceiveSample &sample : samples) {
        if (std::find(closed.begin(), closed.end(), sample.id) == closed.end())
            held += sample.heldBytes;
    }
    return held;
}

struct ReceivingFixture
{
    void add(std::size_t count, std::size_t bytes, Duration silence,
             ReceiveState state = ReceiveState::body, std::uint16_t port = 1)
    {
        for (std::size_t i = 0; i < count; ++i)
            samples.push_back({samples.size() + 1, port, state, bytes, silence});
    }

    std::vector<ReceiveSample> samples;
};

} // namespace

TEST_CASE_METHOD(ReceivingFixture, "chooseForMemory_allFit_choosesNone")
{
    add(16, mib, 10s);
    CHECK(chooseForMemory(samples, 16 * mib).empty());
}

// Guards against a crowd that keeps ordinary requests out by what it holds.
TEST_CASE_METHOD(ReceivingFixture, "chooseForMemory_smallRequestsBesideACrowd_areLeft")
{
    add(20, mib, 2s);
    add(200, 2000, 0s);
    const auto chosen = chooseForMemory(samples, 16 * mib);
    CHECK_FALSE(chosen.empty());
    CHECK(std::all_of(chosen.begin(), chosen.end(), [](auto id) { return id <= 20; }));
    CHECK(heldAfter(samples, chosen) <= 16 * mib);
}

// Guards against a slow but steady sender that pays for a crowd that has stopped.
TEST_CASE_METHOD(ReceivingFixture, "chooseForMemory_steadySenderBesideACrowd_isLeft")
{
    add(1, 4 * mib, 50ms);
    add(20, mib, 5s);
    const auto chosen = chooseForMemory(samples, 16 * mib);
    CHECK_FALSE(chosen.empty());
    CHECK(std::find(chosen.begin(), chosen.end(), 1) == chosen.end());
}

// Guards against a bound below which a single legal request could never be received.
TEST_CASE_METHOD(ReceivingFixture, "chooseForMemory_singleRequestAboveTheBound_isLeft")
{
    add(1, 20 * mib, 1s);
    add(100, 2000, 0s);
    CHECK(chooseForMemory(samples, 16 * mib).empty());
}

TEST_CASE("chooseForMemory_anySamples_bringsThemWithinTheBound")
{
    rc::check([] {
        const auto bound = *rc::gen::inRange<std::size_t>(1, 64 * mib);
        std::vector<ReceiveSample> samples;
        std::size_t largest = 0;
        const auto count = *rc::gen::inRange(0, 60);
        for (int i = 0; i < count; ++i) {
            const auto bytes = *rc::gen::inRange<std::size_t>(0, 8 * mib);
            const Duration silence = std::chrono::milliseconds(*rc::gen::inRange(0, 60000));
            samples.push_back(
                {static_cast<std::uint64_t>(i + 1), 1, ReceiveState::body, bytes, silence});
            largest = std::max(largest, bytes);
        }
        const auto chosen = chooseForMemory(samples, bound);
        RC_ASSERT(heldAfter(samples, chosen) <= std::max(bound, largest + bound / 2));
        RC_ASSERT(chosen.size() <= samples.size());
    });
}

// Guards against requests that are cut although nothing is read of them any more.
TEST_CASE_METHOD(ReceivingFixture, "chooseForMemory_requestsInHandling_areLeft")
{
    add(20, 2 * mib, 5s, ReceiveState::handling);
    CHECK(chooseForMemory(samples, 16 * mib).empty());
}

TEST_CASE_METHOD(ReceivingFixture, "chooseForConnections_oneStopsInItsRequest_goesBeforeIdleOnes")
{
    add(1, 0, 3s, ReceiveState::idle);
    add(1, 100, 2s, ReceiveState::head);
    add(1, 0, 9s, ReceiveState::idle);
    add(1, 0, 1s, ReceiveState::unused);
    CHECK(chooseForConnections(samples, 2) == std::vector<std::uint64_t>{3, 2});
}

// Guards against callers whose answers are cut for others that want to connect.
TEST_CASE_METHOD(ReceivingFixture, "chooseForConnections_allInHandling_choosesTheNewOne")
{
    add(5, 0, 30s, ReceiveState::handling);
    add(1, 0, 0s, ReceiveState::unused);
    CHECK(chooseForConnections(samples, 3) == std::vector<std::uint64_t>{6});
}

// Guards against a crowd at one port that closes the connections of another.
TEST_CASE_METHOD(ReceivingFixture, "chooseForConnections_crowdAtOnePort_paysItself")
{
    add(3, 0, 30s, ReceiveState::idle, 1);
    add(8, 0, 1s, ReceiveState::unused, 2);
    const auto chosen = chooseForConnections(samples, 4);
    CHECK(chosen == std::vector<std::uint64_t>{4, 5, 6, 7});
}

TEST_CASE("findTimeout_slowButSteadyBody_isNone")
{
    MessageLimits limits;
    limits.headTime = 3s;
    limits.idleTime = 15s;
    CHECK(findTimeout(ReceiveState::body, 500s, 14s, limits) == ReceiveFault::none);
    CHECK(findTimeout(ReceiveState::body, 20s, 16s, limits) == ReceiveFault::bodyTimeout);
    CHECK(findTimeout(ReceiveState::head, 4s, 0s, limits) == ReceiveFault::headTimeout);
    CHECK(findTimeout(ReceiveState::head, 2s, 2s, limits) == ReceiveFault::none);
    CHECK(findTimeout(ReceiveState::idle, 500s, 16s, limits) == ReceiveFault::idleTimeout);
    CHECK(findTimeout(ReceiveState::unused, 500s, 16s, limits) == ReceiveFault::idleTimeout);
    CHECK(findTimeout(ReceiveState::handling, 500s, 500s, limits) == ReceiveFault::none);
}
