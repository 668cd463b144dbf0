// A small configuration for tests: three regions, two customers, one service of each kind.
#pragma once

#include <string>

#include "ibisnotch/config.h"

namespace ibisnotch {

struct ConfigFixture
{
    ConfigDocument document;

    ConfigFixture()
    {
        document.version = 1;
        document.author = "test";
        document.base.name = "base.yaml";
        document.base.text = R"(deployment: test
regions:
  a: {dataCentres: [a1]}
  b: {dataCentres: [b1]}
  c: {dataCentres: [c1]}
services:
  digest: {kind: model, model: m, deadline: 10s, expected: 100ms}
  order: {kind: application, method: POST, path: /orders, idempotent: false}
customers:
  free: {tokenSha256: )"
            + sha256Hex("free-token") + R"(}
  homed: {tokenSha256: )"
            + sha256Hex("homed-token") + R"(, regions: [a]}
)";
        for (const std::string site : {"a", "b", "c"})
            document.overlays[site] = {"sites/" + site + ".yaml", siteText(site)};
    }

    static std::string siteText(const std::string &site)
    {
        return "backendServers:\n  " + site + "-m: {kind: model, dataCentre: " + site
            + "1, address: \"127.0.0.1:1\", slots: 4, models: [m]}\n  " + site
            + "-a: {kind: application, dataCentre: " + site
            + "1, address: \"127.0.0.1:2\", slots: 4, services: [order]}\n";
    }

    // Returns a copy with this version, whose note and overlay of site b differ from other
    // versions.
    ConfigDocument withVersion(std::uint64_t number) const
    {
        ConfigDocument copy = document;
        copy.version = number;
        copy.note = "version " + std::to_string(number);
        copy.overlays["b"].text += "# " + std::to_string(number) + "\n";
        return copy;
    }
};

} // namespace ibisnotch
