#include <catch2/catch.hpp>

#include "ibisnotch/config.h"

using namespace ibisnotch;
using namespace std::chrono_literals;

namespace {

struct PathRuleFixture
{
    FleetConfig config;

    Service &add(const std::string &name, const std::string &host, const std::string &prefix)
    {
        Service &service = config.services[name];
        service.name = name;
        service.pathRule = PathRule{host, prefix};
        return service;
    }

    std::string find(const std::string &host, const std::string &path) const
    {
        const Service *service = findServiceByPath(config, host, path);
        return service == nullptr ? "" : service->name;
    }
};

} // namespace

TEST_CASE_METHOD(PathRuleFixture,
                 "findServiceByPath_severalPrefixes_returnsTheLongestMatchOfTheHost")
{
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    add("other", "b.example", "/x/y/z/");
    config.services["named"].name = "named";
    CHECK(find("a.example", "/x/1") == "short");
    CHECK(find("a.example", "/x/y/1") == "long");
    CHECK(find("a.example", "/x/y/z/1") == "long");
    CHECK(find("a.example", "/x").empty());
    CHECK(find("c.example", "/x/1").empty());
}

TEST_CASE_METHOD(PathRuleFixture, "selectPool_weights_divideTheRange")
{
    Service &service = add("s", "a", "/");
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
    add("free", "h", "/1/");
    add("bound", "h", "/2/").regions = {"b"};
    CHECK(countAllowedServices(config) == std::map<std::string, int>{{"a", 1}, {"b", 2}});
}

TEST_CASE_METHOD(PathRuleFixture,
                 "fillServiceDefaults_noExpectedDuration_usesHalfOfTheTargetLatency")
{
    add("s", "h", "/").targetLatency = 800ms;
    fillServiceDefaults(config);
    CHECK(config.services["s"].expectedDuration == 400ms);
}
