#include <catch2/catch.hpp>

#include "ibisnotch/config.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct PathRuleFixture
{
    FleetConfig config;

    Service &addService(const std::string &name, const std::string &host, const std::string &prefix)
    {
        Service &service = config.services[name];
        service.name = name;
        service.pathRule = PathRule{host, prefix};
        return service;
    }

    std::string findName(const std::string &host, const std::string &path) const
    {
        const Service *service = findServiceByPath(config, host, path);
        return service == nullptr ? "" : service->name;
    }
};

} // namespace

TEST_CASE_METHOD(PathRuleFixture,
                 "findServiceByPath_severalPrefixes_returnsTheLongestMatchOfTheHost")
{
    addService("short", "a.example", "/x/");
    addService("long", "a.example", "/x/y/");
    addService("other", "b.example", "/x/y/z/");
    config.services["named"].name = "named";
    CHECK(findName("a.example", "/x/1") == "short");
    CHECK(findName("a.example", "/x/y/1") == "long");
    CHECK(findName("a.example", "/x/y/z/1") == "long");
    CHECK(findName("a.example", "/x").empty());
    CHECK(findName("c.example", "/x/1").empty());
}

TEST_CASE_METHOD(PathRuleFixture, "selectPool_weights_divideTheRange")
{
    Service &service = addService("s", "a", "/");
    CHECK(selectPool(service, 0.5).empty());
    service.pools = {{"p", 90}, {"q", 10}};
    CHECK(selectPool(service, 0) == "p");
    CHECK(selectPool(service, 0.899) == "p");
    CHECK(selectPool(service, 0.901) == "q");
    service.pools = {{"p", 0}, {"q", 0}};
    CHECK(selectPool(service, 0.5) == "q");
}

TEST_CASE_METHOD(PathRuleFixture, "countAllowedServices_servicesBoundToRegions_countOnlyThere")
{
    config.regions = {{"a", {}}, {"b", {}}};
    addService("free", "h", "/1/");
    addService("bound", "h", "/2/").regions = {"b"};
    CHECK(countAllowedServices(config) == std::map<std::string, int>{{"a", 1}, {"b", 2}});
}

TEST_CASE_METHOD(PathRuleFixture,
                 "fillServiceDefaults_noExpectedDuration_usesHalfOfTheTargetLatency")
{
    addService("s", "h", "/").targetLatency = 800ms;
    fillServiceDefaults(config);
    CHECK(config.services["s"].expectedDuration == 400ms);
}
