#include "ibisnotch/demand-totals.h"

#include <catch2/catch.hpp>

#include "ibisnotch/usage-cap.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

// Two regions with a reporter each, and one more instance in the first.
struct DemandTotalsFixture
{
    DemandTotals firstReporter;
    DemandTotals instance;
    DemandTotals secondReporter;
    TimePoint now{1h};
    bool regionsConnected = true;
    bool instanceConnected = true;

    void askAt(DemandTotals &at, const std::string &customer, double perSecond)
    {
        at.onRequest(customer, "pool", perSecond * 0.25, now);
    }

    void report()
    {
        if (instanceConnected)
            firstReporter.onInstanceDemand("instance", instance.localDemand(now), now);
        const CustomerTotals first = firstReporter.aggregateRegion("first", now);
        const CustomerTotals second = secondReporter.aggregateRegion("second", now);
        firstReporter.onCustomerTotals(first, now);
        secondReporter.onCustomerTotals(second, now);
        if (regionsConnected) {
            firstReporter.onCustomerTotals(second, now);
            secondReporter.onCustomerTotals(first, now);
        }
        const CustomerTotals all = firstReporter.aggregateAll(now);
        firstReporter.onCustomerTotals(all, now);
        if (instanceConnected)
            instance.onCustomerTotals(all, now);
    }

    // A customer asks for 40 a second at each instance.
    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 250ms) {
            askAt(firstReporter, "c", 40);
            askAt(instance, "c", 40);
            askAt(secondReporter, "c", 40);
            report();
        }
    }

    double knownAt(DemandTotals &at)
    {
        const PoolDemand demand = at.demandFor("pool", now);
        const auto found = demand.customers.find(customerId("c"));
        return found == demand.customers.end() ? 0 : found->second;
    }
};

} // namespace

TEST_CASE_METHOD(DemandTotalsFixture, "demandTotals_allConnected_knowsTheDemandAtAllInstances")
{
    run(5s);
    CHECK(knownAt(instance) == Approx(120).epsilon(0.2));
    CHECK(instance.demandFor("pool", now).age == 250ms);
    CHECK(instance.demandFor("other", now).customers.empty());
}

// Failure: an instance is cut off from its region.
TEST_CASE_METHOD(DemandTotalsFixture, "demandTotals_instanceCutOff_knowsItsOwnDemandAfterASecond")
{
    run(5s);
    instanceConnected = false;
    run(750ms);
    CHECK(instance.demandFor("pool", now).age.has_value());
    run(500ms);
    CHECK_FALSE(instance.demandFor("pool", now).age.has_value());
    CHECK(knownAt(instance) == Approx(40).epsilon(0.2));
}

// Failure: a region is cut off.
TEST_CASE_METHOD(DemandTotalsFixture, "demandTotals_regionCutOff_forgetsItsDemandAfterASecond")
{
    run(5s);
    regionsConnected = false;
    run(2s);
    CHECK(knownAt(instance) == Approx(80).epsilon(0.2));
    CHECK(instance.demandFor("pool", now).age == 250ms);
    regionsConnected = true;
    run(500ms);
    CHECK(knownAt(instance) == Approx(120).epsilon(0.2));
}

// Failure: messages are delayed and arrive in another order.
TEST_CASE_METHOD(DemandTotalsFixture, "demandTotals_olderTotalsArriveLater_areIgnored")
{
    instance.onCustomerTotals({"", 100, {{customerId("c"), poolId("pool"), 7}}}, now);
    instance.onCustomerTotals({"", 300, {{customerId("c"), poolId("pool"), 9}}}, now);
    CHECK(knownAt(instance) == 7);
    CHECK(instance.demandFor("pool", now).age == 100ms);
    now += 901ms;
    CHECK_FALSE(instance.demandFor("pool", now).age.has_value());
}

// Failure: an instance restarts.
TEST_CASE_METHOD(DemandTotalsFixture, "demandTotals_restart_beginsEmptyAndLearnsWithTheNextReport")
{
    run(5s);
    DemandTotals restarted;
    CHECK(restarted.demandFor("pool", now) == PoolDemand{});
    restarted.onCustomerTotals(firstReporter.aggregateAll(now), now);
    CHECK(knownAt(restarted) == Approx(120).epsilon(0.2));
}

// Failure: an instance stops and reports no more.
TEST_CASE_METHOD(DemandTotalsFixture, "demandTotals_instanceStops_isForgottenByItsReporter")
{
    run(5s);
    instanceConnected = false;
    run(2s);
    CHECK(knownAt(firstReporter) == Approx(80).epsilon(0.2));
}

TEST_CASE_METHOD(DemandTotalsFixture, "demandTotals_customerStops_isOmittedFromReports")
{
    run(1s);
    now += 20s;
    CHECK(instance.localDemand(now).empty());
}
