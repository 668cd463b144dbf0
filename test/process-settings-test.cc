#include "ibisnotch/process-settings.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;

namespace {

const std::string validSettings
    = "name: a1\nregion: a\ndataCentre: a-1\ncallers: \"127.0.0.1:1\"\n"
      "peers: \"127.0.0.1:2\"\ngossip: \"127.0.0.1:3\"\nstore: \"127.0.0.1:4\"\n";

std::string errorMessage(const std::string &text)
{
    return std::string(parseProcessSettings(text, "a1.yaml").status().message());
}

} // namespace

TEST_CASE("parseProcessSettings_validFile_setsDefaults")
{
    const auto settings = parseProcessSettings(validSettings, "a1.yaml");
    REQUIRE(settings.ok());
    CHECK(settings->callerAddress == Address{"127.0.0.1", 1});
    CHECK(settings->workers == 2);
    CHECK(settings->seeds.empty());
}

TEST_CASE("parseProcessSettings_invalidFiles_nameFileAndLine")
{
    CHECK(errorMessage(validSettings + "workers: 0\n")
              .find("a1.yaml:8: workers: expected a whole number from 1")
          == 0);
    CHECK(errorMessage(validSettings + "speed: 3\n").find("a1.yaml:8: speed: unknown key") == 0);
    CHECK(errorMessage("name: a@1\n").find("may not hold a space") != std::string::npos);
    CHECK(errorMessage("name: a1\n").find("callers: missing; give a value") != std::string::npos);
}

TEST_CASE("parseAddress_text_requiresHostAndPort")
{
    CHECK(parseAddress("10.0.0.1:80")->text() == "10.0.0.1:80");
    for (const char *text : {"", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000"})
        CHECK_FALSE(parseAddress(text).ok());
}

TEST_CASE("parseProcessSettings_buffers_haveDefaultsAndBounds")
{
    CHECK(parseProcessSettings(validSettings, "a1.yaml")->buffers == BufferLimits());
    const auto given = parseProcessSettings(
        validSettings
            + "buffers: {totalBytes: 20000000, exchangeBytes: 200000, slowReadTime: 3s}\n",
        "a1.yaml");
    REQUIRE(given.ok());
    CHECK(given->buffers.totalBytes == 20000000);
    CHECK(given->buffers.exchangeBytes == 200000);
    CHECK(given->buffers.slowReadTime == std::chrono::seconds(3));
    const auto byMemory
        = parseProcessSettings(validSettings + "buffers: {memoryMb: 160}\n", "a1.yaml");
    REQUIRE(byMemory.ok());
    CHECK(byMemory->buffers.totalBytes == (64U << 20));
    CHECK(errorMessage(validSettings + "buffers: {totalBytes: 10}\n")
              .find("a1.yaml:8: buffers.totalBytes: expected a whole number from 65536")
          == 0);
    CHECK(errorMessage(validSettings + "buffers: {totalBytes: 70000, exchangeBytes: 80000}\n")
              .find("is above totalBytes")
          != std::string::npos);
}

// Guards against listeners that together take the descriptors that connections to servers need.
TEST_CASE("receiveLimits_fewDescriptors_leaveAThirdToOthers")
{
    ProcessSettings settings;
    settings.buffers.totalBytes = 100U << 20;
    CHECK(receiveLimits(settings, 1U << 20).totalBytes == 50U << 20);
    CHECK(receiveLimits(settings, 1U << 20).maxConnections == 20000);
    settings.maxConnections = 3000;
    CHECK(receiveLimits(settings, 8192).maxConnections == 3000);
    for (const std::size_t descriptors : {100U, 1024U, 4100U}) {
        CAPTURE(descriptors);
        CHECK(3 * receiveLimits(settings, descriptors).maxConnections <= 2 * descriptors);
    }
    CHECK(receiveLimits(settings, 4100).maxConnections > 2000);
    CHECK(receiveLimits(settings, 10).maxConnections == 1);
}
