#include "ibisnotch/config.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "config-fixture.h"

using namespace ibisnotch;

namespace {

struct InvalidSettingsFixture : ConfigFixture
{
    // Returns the errors reported after replacing a text in the base file; empty if there are none.
    std::string messageFor(const std::string &from, const std::string &to)
    {
        ConfigDocument draft = document;
        std::string &text = draft.base.text;
        const std::size_t at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
        const auto sites = validateDocument(draft, &document);
        return sites.ok() ? "" : std::string(sites.status().message());
    }
};

} // namespace

TEST_CASE_METHOD(ConfigFixture, "validateDocument_validDocument_returnsEachSite")
{
    const auto sites = validateDocument(document, nullptr);
    REQUIRE(sites.ok());
    CHECK(sites->size() == 3);
    CHECK(sites->at("b").servers.count("b-m") == 1);
    CHECK(sites->at("b").servers.count("a-m") == 0);
}

TEST_CASE_METHOD(InvalidSettingsFixture,
                 "validateDocument_invalidSettings_nameFileLineKeyAndRemedy")
{
    CHECK(messageFor("deadline: 10s", "deadline: 10")
              .find("base.yaml:7: services.digest.deadline: expected a duration with a unit")
          != std::string::npos);
    CHECK(messageFor("deployment: test", "deploymnt: test")
              .find("base.yaml:1: deploymnt: unknown key")
          != std::string::npos);
    CHECK(messageFor("kind: model,", "kind: modle,").find("expected one of model, application")
          != std::string::npos);
    CHECK(messageFor("deadline: 10s", "worth: much").find("expected a number from 0")
          != std::string::npos);
    CHECK(messageFor("regions: [a]", "regions: [x]").find("unknown region \"x\"")
          != std::string::npos);
    CHECK(messageFor("regions: [a]", "regions: a").find("expected a list") != std::string::npos);
    CHECK(messageFor("expected: 100ms", "expected: 20s").find("longer than the deadline")
          != std::string::npos);
    CHECK(messageFor("method: POST", "method: GET").find("takes POST") != std::string::npos);
    CHECK(messageFor("  a: {dataCentres: [a1]}", "  a: {dataCentres: [a1]}\n  a: {}")
              .find("key given twice")
          != std::string::npos);
    CHECK(messageFor("  c: {dataCentres: [c1]}\n", "").find("no region \"c\"")
          != std::string::npos);
    CHECK(messageFor("services:\n", "limits: {bookingShards: 4}\nservices:\n")
              .find("may not change while keys live")
          != std::string::npos);
    CHECK(messageFor("  a: {dataCentres: [a1]}", "  a: {dataCentres: [a1]").find("broken YAML")
          != std::string::npos);
}

TEST_CASE_METHOD(ConfigFixture, "validateDocument_residencyWithoutServer_isRejected")
{
    document.overlays["a"].text = "backendServers: {}\n";
    const auto sites = validateDocument(document, nullptr);
    REQUIRE_FALSE(sites.ok());
    CHECK(sites.status().message().find("customers.homed.regions: residency leaves service digest "
                                        "nowhere to run")
          != std::string::npos);
}

// Guards against data that leaves its region: if an overlay changed a residency rule for one site
// only, the sender and the receiver of a request would check different rules.
TEST_CASE_METHOD(ConfigFixture, "validateDocument_residencyDiffersBetweenSites_isRejected")
{
    document.overlays["b"].text += "customers:\n  homed: {regions: [a, b]}\n";
    const auto sites = validateDocument(document, nullptr);
    REQUIRE_FALSE(sites.ok());
    CHECK(sites.status().message().find("residency differs between sites") != std::string::npos);
}

TEST_CASE_METHOD(ConfigFixture, "parseDocument_serializedDocument_returnsTheOriginal")
{
    CHECK(*parseDocument(serializeDocument(document)) == document);
    CHECK_FALSE(parseDocument("{\"version\":1}").ok());
    CHECK_FALSE(parseDocument("").ok());
}

TEST_CASE_METHOD(ConfigFixture, "allowedRegions_anyRules_satisfyCustomerAndService")
{
    rc::prop("each allowed region is in both lists", [this] {
        const auto config = *parseFleetConfig(document, "a");
        const auto lists = rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("a", "b", "c", "elsewhere"));
        Customer customer;
        Service service;
        customer.regions = *lists;
        service.regions = *lists;
        for (const std::string &region : allowedRegions(config, customer, service)) {
            const auto in = [&](const std::vector<std::string> &list) {
                return list.empty() || std::find(list.begin(), list.end(), region) != list.end();
            };
            RC_ASSERT(in(customer.regions));
            RC_ASSERT(in(service.regions));
            RC_ASSERT(region != "elsewhere");
        }
    });
}

TEST_CASE_METHOD(ConfigFixture, "effectiveSettings_anySite_nameTheOriginOfEachValue")
{
    const std::string printed = printSettings(*effectiveSettings(document, "b"));
    CHECK(printed.find("deployment = test  # base.yaml:1") != std::string::npos);
    CHECK(printed.find("backendServers.b-m.slots = 4  # sites/b.yaml:2") != std::string::npos);
}

// Guards against keys and usage caps that are ambiguous or have no effect.
TEST_CASE_METHOD(InvalidSettingsFixture, "validateDocument_invalidKeysAndCaps_nameTheField")
{
    const std::string free = "free: {tokenSha256: " + sha256Hex("free-token");
    const std::string homed = sha256Hex("homed-token");
    CHECK(messageFor(free, "free: {tokenSha256: " + homed).find("already one of customer")
          != std::string::npos);
    CHECK(messageFor(free, "free: {tokenSha256: abc").find("64 lower-case hex digits")
          != std::string::npos);
    CHECK(messageFor(free, "free: {share: 1").find("expected it, or tokensSha256")
          != std::string::npos);
    CHECK(messageFor(free, free + ", usageCap: {perSecond: 0}").find("usageCap.perSecond: above 0")
          != std::string::npos);
    CHECK(messageFor(free, free + ", usageCap: {perSecond: 5, plainTokens: 9}")
              .find("only with unit: tokens")
          != std::string::npos);
    CHECK(messageFor(free, free + ", priority: 12").find("priority: expected a whole number")
          != std::string::npos);
}

TEST_CASE_METHOD(ConfigFixture, "validateDocument_customerWithTwoKeysAndACap_readsAll")
{
    const std::string free = "free: {tokenSha256: " + sha256Hex("free-token");
    std::string &text = document.base.text;
    text.replace(text.find(free), free.size(),
                 "free: {tokensSha256: [" + sha256Hex("old") + ", " + sha256Hex("new")
                     + "], priority: 2, usageCap: {unit: tokens, perSecond: 100, plainTokens: 7}");
    const auto sites = validateDocument(document, nullptr);
    REQUIRE(sites.ok());
    const FleetConfig &config = sites->at("a");
    CHECK(findCustomerByKey(config, "old") == &config.customers.at("free"));
    CHECK(findCustomerByKey(config, "new") == &config.customers.at("free"));
    CHECK(findCustomerByKey(config, "free-token") == nullptr);
    CHECK(config.customers.at("free").usageCap == UsageCap{true, 100, 100, 7});
    CHECK(requestPriority(config.customers.at("free"), config.services.at("digest")) == 7);
    CHECK(requestPriority(config.customers.at("homed"), config.services.at("digest")) == 1);
}

TEST_CASE_METHOD(ConfigFixture, "validateDocument_limitsOfRequests_areRead")
{
    document.base.text += "limits: {maxBodyBytes: 4096, maxHeaderBytes: 2048, headerTimeout: 5s}\n";
    const auto sites = validateDocument(document, nullptr);
    REQUIRE(sites.ok());
    const Limits &limits = sites->at("a").limits;
    CHECK(limits.maxBodyBytes == 4096);
    CHECK(limits.maxHeaderBytes == 2048);
    CHECK(limits.headerTimeout == std::chrono::seconds(5));
}
