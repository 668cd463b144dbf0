// Crowds of clients that stay outside the limits, or that stop inside them, against a real process:
// it lives, keeps to its memory and its descriptors, and answers an ordinary caller.
#include <algorithm>
#include <csignal>
#include <cstring>
#include <deque>
#include <memory>
#include <thread>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "crowd-fixture.h"
#include "ibisnotch/peer-link.h"

using namespace ibisnotch;

// Guards against a process that is killed for its memory as many callers stop just before the end
// of a body of legal size.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdStopsBeforeTheEndOfItsBodies_staysWithinItsMemory")
{
    meet({100, withoutLastByte(wholeRequest(maxBodyBytes)), 2 * mib});
}

// The same, with bodies that arrive side by side.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsItsBodiesPieceByPiece_staysWithinItsMemory")
{
    meet({100, withoutLastByte(wholeRequest(maxBodyBytes)), 1024});
}

// Guards against a record for each chunk, of which one body of legal size may have a million.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsChunksOfOneByte_staysWithinItsMemory")
{
    meet({8, withoutLastByte(chunkedRequest(maxBodyBytes, [] { return 1; }))});
}

// Guards against chunked bodies that are counted nowhere as they have no length.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsChunksOfManySizes_staysWithinItsMemory")
{
    std::size_t step = 0;
    const auto size = [&step] { return 1 + (step += 241) % 700; };
    meet({100, withoutLastByte(chunkedRequest(maxBodyBytes, size))});
}

// The same with chunks as large as proxies send them.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsLargeChunks_staysWithinItsMemory")
{
    meet({100, withoutLastByte(chunkedRequest(maxBodyBytes, [] { return 64 * 1024; }))});
}

// Guards against bodies that are read to the port's own limit, far above the configured one.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsChunkedBodiesAboveTheLimit_staysWithinItsMemory")
{
    const std::string begin = head("Transfer-Encoding: chunked\r\n");
    const std::string chunk = "100000\r\n" + std::string(mib, 'x') + "\r\n";
    std::string bytes = begin;
    for (int i = 0; i < 12; ++i)
        bytes += chunk;
    meet({20, bytes});
}

// The same for a length that is announced, which allows the refusal of the head alone.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdAnnouncesBodiesAboveTheLimit_staysWithinItsMemory")
{
    meet({20, withoutLastByte(wholeRequest(12 * mib))});
}

// Guards against bodies that are counted only after they were parsed and checked: all of them are
// whole here, and each is legal.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsWholeBodies_staysWithinItsMemory")
{
    meet({100, wholeRequest(maxBodyBytes)});
}

// Guards against bodies that are read while the answer to an earlier request of their connection is
// in progress.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdPipelinesUnfinishedBodies_staysWithinItsMemory")
{
    const std::string first = R"({"model":"m","stream":true,"max_tokens":4000,"messages":[]})";
    const std::string text = head(fmt::format("Content-Length: {}\r\n", first.size())) + first
        + withoutLastByte(wholeRequest(maxBodyBytes));
    meet({100, text});
}

// Guards against heads whose many short fields take far more memory than bytes.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsHeadsOfShortFields_staysWithinItsMemory")
{
    meet({100, "GET /v1/services/status HTTP/1.1\r\nHost: a\r\n" + shortFields(70 * 1024)});
}

// Guards against heads that are kept, counted nowhere, by connections whose requests are answered.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdStaysIdleAfterLongHeads_keepsNoneOfThem")
{
    constexpr std::size_t headBytes = 60 * 1024;
    constexpr int connections = 180;
    const Address address = *parseAddress(fleet.callers("a1"));
    asio::io_context io;
    std::deque<asio::ip::tcp::socket> sockets;
    const std::string request
        = "GET /readyz HTTP/1.1\r\nHost: a\r\nX: " + std::string(headBytes, 'x') + "\r\n\r\n";
    const std::size_t before = residentMemory(fleet.pid("a1"));
    for (int i = 0; i < connections; ++i) {
        sockets.emplace_back(io).connect({asio::ip::make_address(address.host), address.port});
        asio::write(sockets.back(), asio::buffer(request));
        char byte = 0;
        asio::read(sockets.back(), asio::buffer(&byte, 1));
    }
    const std::size_t after = residentMemory(fleet.pid("a1"));
    CHECK(after - std::min(before, after) < connections * headBytes / 2);
    checkInstance();
}

// The same for fields after the last chunk.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdSendsTrailersOfShortFields_staysWithinItsMemory")
{
    meet({100, head("Transfer-Encoding: chunked\r\n") + "0\r\n" + shortFields(70 * 1024)});
}

// Guards against a port that isn't limited as the callers' one is.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdUsesThePortOfPeers_staysWithinItsMemory")
{
    meet(fleet.peers("a1"), {100, withoutLastByte(wholeRequest(maxBodyBytes))});
}

// Guards against a port that accepts nobody while all its connections are taken by clients that
// send nothing.
TEST_CASE_METHOD(CrowdFixture, "instance_silentCrowdTakesAllConnections_answersOthers")
{
    meet({maxConnections + 60, ""});
}

// The same with clients that stop in their head, or in a short body.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdStopsInItsHeads_answersOthers")
{
    meet({maxConnections + 60, "POST /v1/chat/completions HTTP/1.1\r\nHost"});
}

TEST_CASE_METHOD(CrowdFixture, "instance_crowdStopsInShortBodies_answersOthers")
{
    meet({maxConnections + 60, withoutLastByte(wholeRequest(200))});
}

// The same for a silent crowd at the port of peers and operators.
TEST_CASE_METHOD(CrowdFixture, "instance_silentCrowdAtThePortOfPeers_answersOthers")
{
    const Crowd crowd(*parseAddress(fleet.peers("a1")), {maxConnections + 60, ""});
    crowd.waitUntilStill();
    CHECK(getOnNewConnection(fleet.peers("a1"), "/admin/status") == 200);
    checkInstance();
}

// Guards against a port that takes each connection for its own that is reset before it is
// accepted, and accepts nobody once it counts as many as it may have.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdResetsItsConnections_answersOthers")
{
    fleet.signal("a1", SIGSTOP);
    {
        const Crowd crowd(*parseAddress(fleet.callers("a1")),
                          {maxConnections + 60, "", 1, 1, true});
        crowd.waitUntilStill();
        fleet.signal("a1", SIGCONT);
    }
    checkInstance();
}

// Guards against a port of the peers' protocol that sets aside what the first bytes of a frame
// announce.
TEST_CASE_METHOD(CrowdFixture, "instance_crowdAnnouncesFramesOfPeers_staysWithinItsMemory")
{
    const std::string almostEightMebibytes{'\0', '\x7f', '\xff', '\xff'};
    meet(fleet.address("a1", 2), {40, almostEightMebibytes});
}

// Guards against a datagram of a few hundred bytes for whose lists, by the number of entries that
// it announces, gigabytes are set aside: the checksum is right, as it is the sender's.
TEST_CASE_METHOD(CrowdFixture, "instance_datagramsAnnounceLongLists_staysWithinItsMemory")
{
    constexpr std::uint64_t entries = 1U << 22;
    constexpr std::size_t checksumBytes = 8;
    GossipMessage message;
    message.probe.sender.name = "a9";
    const std::string body = encodeGossip(message).substr(checksumBytes);
    asio::io_context io;
    asio::ip::udp::socket socket(io, asio::ip::udp::v4());
    const Address address = *parseAddress(fleet.address("a1", 2));
    const asio::ip::udp::endpoint instance(asio::ip::make_address(address.host), address.port);
    // One after the other, each of these bytes may be the first one of a list's length.
    for (std::size_t at = 0; at + sizeof entries <= body.size(); ++at) {
        std::string changed = body;
        std::memcpy(changed.data() + at, &entries, sizeof entries);
        socket.send_to(asio::buffer(withChecksum(changed)), instance);
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    checkInstance();
}

// Guards against silent connections at that port, which are counted nowhere.
TEST_CASE_METHOD(CrowdFixture, "instance_silentCrowdAtThePortOfGossip_keepsToItsDescriptors")
{
    meet(fleet.address("a1", 2), {2 * maxConnections, ""});
}

// Guards against a port that never accepts again once an accept has failed.
TEST_CASE_METHOD(CrowdFixture, "instance_descriptorsRunOutForAWhile_answersOthers")
{
    {
        const DescriptorLimit limit(3, fleet.pid("a1"));
        const Crowd callers(*parseAddress(fleet.callers("a1")), {5, ""});
        const Crowd peers(*parseAddress(fleet.peers("a1")), {5, ""});
        callers.waitUntilStill();
        peers.waitUntilStill();
    }
    checkInstance();
    CHECK(getOnNewConnection(fleet.peers("a1"), "/admin/status") == 200);
}

namespace {

// The system allows fewer descriptors than the settings allow connections.
Fleet startWithFewDescriptors()
{
    FleetShape shape = oneInstance();
    shape.extraSettings = fmt::format("workers: 1\nidleTimeout: 10m\nmaxConnections: 20000\n"
                                      "features: {{bufferLimits: true}}\n"
                                      "buffers: {{memoryMb: {}}}\n",
                                      memoryMb);
    const DescriptorLimit limit(fewDescriptors);
    return Fleet(shape);
}

struct FewDescriptorsFixture : CrowdFixture
{
    FewDescriptorsFixture() : CrowdFixture(startWithFewDescriptors) { }
};

} // namespace

// Guards against a port that never accepts again once the process has had no descriptor left,
// also after the crowd has gone.
TEST_CASE_METHOD(FewDescriptorsFixture, "instance_crowdTakesAllDescriptors_answersOthers")
{
    {
        const Crowd crowd(*parseAddress(fleet.callers("a1")), {2 * int(fewDescriptors), ""});
        crowd.waitUntilStill();
        checkInstance(fewDescriptors);
    }
    checkInstance(fewDescriptors);
}

namespace {

Fleet startWithLongBodies()
{
    FleetShape shape = oneInstance();
    shape.extraBaseText = fmt::format("limits: {{maxBodyBytes: {}}}\n", 4 * mib);
    return Fleet(shape);
}

struct LongBodiesFixture : CrowdFixture
{
    LongBodiesFixture() : CrowdFixture(startWithLongBodies) { }
};

} // namespace

// Guards against a body of which a whole tree is built for three of its fields: one alone, of legal
// size, took thirty times its bytes.
TEST_CASE_METHOD(LongBodiesFixture, "instance_bodyOfEmptyArrays_staysWithinItsMemory")
{
    std::string body = R"({"model":"m","max_tokens":4,"messages":[[])";
    while (body.size() + 5 < 4 * mib)
        body += ",[]";
    body += "]}";
    meet({1, head(fmt::format("Content-Length: {}\r\n", body.size())) + body});
}

// Guards against crowds that nobody has thought of: several at once, at all ports, that come and
// go. Other seeds by hand: --rng-seed N.
TEST_CASE_METHOD(CrowdFixture, "instance_anyCrowdsOverlap_staysWithinItsMemory")
{
    constexpr int rounds = 6;
    CrowdDraw draw(Catch::rngSeed());
    std::deque<std::unique_ptr<Crowd>> crowds;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t more = 1 + draw.below(3); more > 0; --more) {
            const int port = static_cast<int>(draw.below(3));
            crowds.push_back(
                std::make_unique<Crowd>(*parseAddress(fleet.address("a1", port)), draw.shape()));
        }
        crowds.back()->waitUntilStill();
        checkInstance(2 * maxConnections);
        while (!crowds.empty() && draw.below(2) == 0)
            crowds.pop_front();
    }
    crowds.clear();
    checkInstance(2 * maxConnections);
}

namespace {

constexpr std::size_t controlMemory = 64 * mib; // what a node may take for control

Fleet startWithMoreMemory()
{
    FleetShape shape = oneInstance();
    shape.extraBaseText = fmt::format("limits: {{maxBodyBytes: {}}}\n", 4 * mib);
    shape.extraSettings = "workers: 1\nidleTimeout: 10m\nfeatures: {bufferLimits: true}\n"
                          "buffers: {memoryMb: 160}\n";
    return Fleet(shape);
}

struct MoreMemoryFixture : CrowdFixture
{
    MoreMemoryFixture() : CrowdFixture(startWithMoreMemory) { }
};

} // namespace

// Guards against memory that a crowd took and that its process keeps when all have left.
TEST_CASE_METHOD(MoreMemoryFixture, "instance_crowdHasLeft_givesItsMemoryBack")
{
    const auto oneByte = [] { return 1; };
    const auto someBytes = [] { return 700; };
    for (const CrowdShape &shape :
         {CrowdShape{100, withoutLastByte(wholeRequest(4 * mib))},
          CrowdShape{60, withoutLastByte(chunkedRequest(4 * mib, someBytes))},
          CrowdShape{10, withoutLastByte(chunkedRequest(4 * mib, oneByte))},
          CrowdShape{100, withoutLastByte(wholeRequest(4 * mib))}}) {
        const Crowd crowd(*parseAddress(fleet.callers("a1")), shape);
        crowd.waitUntilStill();
    }
    eventually(
        "the memory is given back", [&] { return residentMemory(fleet.pid("a1")) < controlMemory; },
        [&] { return std::to_string(residentMemory(fleet.pid("a1"))) + " bytes are left"; });
}

// Guards against limits that keep out a single legal request in calm, in whatever form its body
// comes.
TEST_CASE_METHOD(LongBodiesFixture, "instance_singleBodyOfLegalSize_isServedInAnyForm")
{
    const auto answerTo = [this](const std::string &request) {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        const Address address = *parseAddress(fleet.callers("a1"));
        socket.connect({asio::ip::make_address(address.host), address.port});
        asio::write(socket, asio::buffer(request));
        std::string answer(16, '\0');
        answer.resize(asio::read(socket, asio::buffer(answer)));
        return answer;
    };
    CHECK(answerTo(wholeRequest(4 * mib)).starts_with("HTTP/1.1 200"));
    CHECK(answerTo(chunkedRequest(4 * mib, [] { return 64 * 1024; })).starts_with("HTTP/1.1 200"));
    CHECK(answerTo(chunkedRequest(4 * mib, [] { return 1; })).starts_with("HTTP/1.1 200"));
    checkInstance();
}

// Guards against a limit that keeps out a single legal request, of the size and the form that cost
// most.
TEST_CASE_METHOD(CrowdFixture, "instance_longestBodyInChunksOfOneByte_isServed")
{
    const std::string body = chatBody(maxBodyBytes);
    OutgoingRequest request = fleet.chatRequest("a1", false, 4, "", "free-token");
    request.body = body;
    CHECK(fleet.send(request).status == 200);
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    const Address address = *parseAddress(fleet.callers("a1"));
    socket.connect({asio::ip::make_address(address.host), address.port});
    asio::write(socket, asio::buffer(head("Transfer-Encoding: chunked\r\n") + inChunks(body, [] {
                                         return 1;
                                     })));
    std::string answer(16, '\0');
    answer.resize(asio::read(socket, asio::buffer(answer)));
    CHECK(answer.starts_with("HTTP/1.1 200"));
    checkInstance();
}
