// What the tests of crowds share: requests, an instance with lowered limits, and what must hold.
#pragma once

#include <functional>
#include <random>
#include <string>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd.h"
#include "fleet.h"

namespace ibisnotch {

constexpr std::size_t mib = 1U << 20;
constexpr std::size_t memoryMb = 80; // of the machine, as the instance is told
constexpr std::size_t maxBodyBytes = mib;
constexpr int maxConnections = 200;
constexpr std::size_t spareDescriptors = 60; // for the store, servers, ports, loops and logs
constexpr rlim_t fewDescriptors = 160;
constexpr const char *statusPath = "/v1/services/status";

inline std::string head(const std::string &fields,
                        const std::string &target = "/v1/chat/completions")
{
    return "POST " + target
        + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer free-token\r\n"
          "Content-Type: application/json\r\n"
        + fields + "\r\n";
}

// Returns the start of a request body; the rest of it is any text.
inline std::string chatBody(std::size_t size)
{
    const std::string begin
        = R"({"model":"m","max_tokens":4,"messages":[{"role":"user","content":")";
    const std::string end = R"("}]})";
    return begin + std::string(size - begin.size() - end.size(), 'x') + end;
}

inline std::string withoutLastByte(std::string text)
{
    text.pop_back();
    return text;
}

inline std::string wholeRequest(std::size_t size)
{
    return head(fmt::format("Content-Length: {}\r\n", size)) + chatBody(size);
}

inline std::string inChunks(const std::string &body, const std::function<std::size_t()> &nextSize)
{
    std::string text;
    for (std::size_t at = 0; at < body.size();) {
        const std::size_t size = std::min(nextSize(), body.size() - at);
        text += fmt::format("{:x}\r\n", size);
        text.append(body, at, size);
        text += "\r\n";
        at += size;
    }
    return text + "0\r\n\r\n";
}

inline std::string chunkedRequest(std::size_t size, const std::function<std::size_t()> &nextSize)
{
    return head("Transfer-Encoding: chunked\r\n") + inChunks(chatBody(size), nextSize);
}

// As many fields as fit: each costs far more memory than bytes.
inline std::string shortFields(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += "a:\r\n";
    return text;
}

inline FleetShape oneInstance()
{
    FleetShape shape;
    shape.instances = 1;
    shape.models = 1;
    shape.extraBaseText = fmt::format("limits: {{maxBodyBytes: {}}}\n", maxBodyBytes);
    // The idle limit is longer than the test's own calls wait, so that it doesn't help them.
    shape.extraSettings = fmt::format("workers: 1\nidleTimeout: 10m\nmaxConnections: {}\n"
                                      "features: {{bufferLimits: true}}\n"
                                      "buffers: {{memoryMb: {}}}\n",
                                      maxConnections, memoryMb);
    return shape;
}

inline Fleet startInstance()
{
    return Fleet(oneInstance());
}

struct CrowdFixture
{
    explicit CrowdFixture(Fleet (*startFleet)() = startInstance) : fleet(startFleet()) { }

    // The bound is the machine's memory. Called while the crowd is there and after it has left.
    void checkInstance(std::size_t descriptors = maxConnections + spareDescriptors)
    {
        REQUIRE(fleet.isRunning("a1"));
        CHECK(peakMemory(fleet.pid("a1")) < memoryMb * mib);
        CHECK(openDescriptors(fleet.pid("a1")) <= descriptors);
        int status = 0;
        eventually(
            "an ordinary request is answered",
            [&] { return (status = getOnNewConnection(fleet.callers("a1"), statusPath)) == 200; },
            [&] { return "the last status was " + std::to_string(status); });
        REQUIRE(fleet.isRunning("a1"));
    }

    int getOnNewConnection(const std::string &address, const std::string &path)
    {
        OutgoingRequest request;
        request.url = "http://" + address + path;
        request.headers = {{"Authorization", "Bearer free-token"}};
        request.useNewConnection = true;
        return fleet.send(request).status;
    }

    void meet(CrowdShape shape) { meet(fleet.callers("a1"), std::move(shape)); }
    void meet(const std::string &address, CrowdShape shape)
    {
        {
            const Crowd crowd(*parseAddress(address), std::move(shape));
            crowd.waitUntilStill();
            checkInstance();
        }
        checkInstance();
    }

    Fleet fleet;
};

// Draws crowds of any kind.
class CrowdDraw
{
public:
    explicit CrowdDraw(unsigned seed) : m_random(seed) { }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    CrowdShape shape()
    {
        std::string bytes = below(4) == 0 ? request(0) : "";
        for (std::size_t more = 1 + below(2); more > 0; --more)
            bytes += request(below(2 * maxBodyBytes));
        if (below(4) != 0)
            bytes.resize(bytes.size() - std::min(bytes.size(), 1 + below(1 + below(bytes.size()))));
        const int connections = static_cast<int>(1 + below(120));
        const std::size_t pieceBytes = std::size_t(256) << below(10);
        return {connections, bytes, pieceBytes, 1, below(10) == 0};
    }

private:
    std::string request(std::size_t size)
    {
        const std::size_t chunk = std::size_t(1) << below(18);
        switch (below(6)) {
        case 0:
            return head(fmt::format("Content-Length: {}\r\n", size + 100)) + chatBody(size + 100);
        case 1:
            return chunkedRequest(size + 100, [chunk] { return chunk; });
        case 2:
            return chunkedRequest(size + 100, [this, chunk] { return 1 + below(chunk); });
        case 3:
            return head(shortFields(below(80 * 1024)));
        case 4:
            return head("Upgrade: x\r\nConnection: Upgrade\r\n", "/metrics");
        default:
            return std::string(size, static_cast<char>(below(256)));
        }
    }

    std::mt19937 m_random;
};

} // namespace ibisnotch
