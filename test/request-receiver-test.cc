// Requests as they are received, whatever the pieces in which they arrive.
#include "net/request-receiver.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace ibisnotch;

namespace {

struct Received
{
    std::vector<std::string> heads;
    std::vector<std::string> bodies;
    ReceiveFault fault = ReceiveFault::none;

    bool operator==(const Received &) const = default;
};

// Receives the bytes in pieces of these sizes, in turn.
Received receive(const std::string &bytes, const std::vector<std::size_t> &sizes,
                 const MessageLimits &limits = {})
{
    RequestReceiver receiver(limits);
    Received result;
    std::size_t turn = 0;
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t size = std::min(sizes[turn++ % sizes.size()], bytes.size() - at);
        const std::size_t taken = receiver.add(std::string_view(bytes).substr(at, size));
        at += taken;
        if (receiver.fault() != ReceiveFault::none) {
            result.fault = receiver.fault();
            return result;
        }
        if (!receiver.isComplete())
            continue;
        result.bodies.push_back(receiver.takeBody());
        result.heads.push_back(receiver.takeHead());
        receiver.begin(limits);
    }
    return result;
}

Received receiveWhole(const std::string &bytes, const MessageLimits &limits = {})
{
    return receive(bytes, {bytes.size()}, limits);
}

const std::string plain = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string withLength
    = "POST /a HTTP/1.1\r\nHost: h\r\ncontent-LENGTH: 5\r\nX: y\r\n\r\nhello";
const std::string inChunks
    = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-Fourteen-Cha: 1\r\n\r\n"
      "1\r\nh\r\n4;x=y\r\nello\r\n0\r\nTrailer-Field: z\r\n\r\n";

} // namespace

TEST_CASE("receiver_framedBodies_handsOverBodiesAndMasksWhatFramesThem")
{
    const Received received = receiveWhole(plain + withLength + inChunks);
    REQUIRE(received.heads.size() == 3);
    CHECK(received.heads[0] == plain);
    CHECK(received.heads[1]
          == "POST /a HTTP/1.1\r\nHost: h\r\n" + std::string(maskedContentLength)
              + ": 5\r\nX: y\r\n\r\n");
    CHECK(received.heads[2]
          == "POST /a HTTP/1.1\r\nHost: h\r\n" + std::string(maskedTransferEncoding)
              + ": chunked\r\nX-Fourteen-Cha: 1\r\n\r\n");
    CHECK(received.bodies == std::vector<std::string>{"", "hello", "hello"});
}

// Guards against bytes of one request that are taken for another's, or lost, where pieces end.
TEST_CASE("receiver_anyPieces_receivesTheSame")
{
    const std::string bytes = withLength + plain + inChunks + plain + inChunks + withLength;
    const Received whole = receiveWhole(bytes);
    REQUIRE(whole.heads.size() == 6);
    rc::check([&] {
        const auto sizes = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 40)));
        RC_ASSERT(receive(bytes, sizes) == whole);
    });
}

TEST_CASE("receiver_bodyAtTheLimit_isReceivedAndOneByteMoreIsNot")
{
    MessageLimits limits;
    limits.bodyBytes = 5;
    CHECK(receiveWhole(withLength, limits).bodies.size() == 1);
    CHECK(receiveWhole(inChunks, limits).bodies.size() == 1);
    limits.bodyBytes = 4;
    CHECK(receiveWhole(withLength, limits).fault == ReceiveFault::bodyTooLarge);
    CHECK(receiveWhole(inChunks, limits).fault == ReceiveFault::bodyTooLarge);
}

// Guards against a body that is read although its head announces that it is too long.
TEST_CASE("receiver_announcedLengthAboveTheLimit_isRefusedByTheHeadAlone")
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000000\r\n\r\n";
    CHECK(receiveWhole(head).fault == ReceiveFault::bodyTooLarge);
}

TEST_CASE("receiver_headAtTheLimit_isReceivedAndOneByteMoreIsNot")
{
    MessageLimits limits;
    limits.headBytes = plain.size();
    CHECK(receiveWhole(plain, limits).heads.size() == 1);
    --limits.headBytes;
    CHECK(receiveWhole(plain, limits).fault == ReceiveFault::headTooLarge);
}

TEST_CASE("receiver_bytesThatAreNoRequest_areMalformed")
{
    for (const char *bytes :
         {"\x16\x03\x01", "GET\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n"}) {
        CAPTURE(bytes);
        CHECK(receiveWhole(bytes).fault == ReceiveFault::malformed);
    }
}

TEST_CASE("receiver_headOfShortFields_costsMoreThanItsBytes")
{
    RequestReceiver receiver(MessageLimits{});
    receiver.add("GET / HTTP/1.1\r\na:\r\nb:\r\nc:");
    CHECK(receiver.headCost() > 3 * 100);
}

TEST_CASE("receiver_requestIsRefusedInItsHead_tellsTheFieldsThatAreWhole")
{
    RequestReceiver receiver(MessageLimits{});
    receiver.add("GET / HTTP/1.1\r\nX-Request-Id: 7\r\nX-Other: ab");
    const Headers fields = receiver.fieldsSoFar();
    CHECK(fields.get("X-Request-Id") == "7");
    CHECK_FALSE(fields.get("X-Other"));
}
