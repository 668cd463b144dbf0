// What the ports of pages do when there is no room.
#include "entry/gateway.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;

// Guards against long pages that are held for readers that never take them.
TEST_CASE("withinBuffers_noRoom_refusesLongPagesOnly")
{
    BufferLimits limits;
    limits.totalBytes = 1U << 20;
    const BufferAccounts buffers(true, limits);
    const HttpResponse longPage{200, {}, std::string(limits.exchangeBytesWhenShort + 1, 'x')};
    const HttpResponse shortPage{200, {}, std::string(limits.exchangeBytesWhenShort, 'x')};
    CHECK(withinBuffers(longPage, buffers) == longPage);
    *buffers.heldBytes() = limits.totalBytes + longPage.body.size();
    CHECK(withinBuffers(shortPage, buffers) == shortPage);
    const HttpResponse refusal = withinBuffers(longPage, buffers);
    CHECK(refusal.status == 503);
    CHECK(refusal.headers.get("Retry-After"));
}
