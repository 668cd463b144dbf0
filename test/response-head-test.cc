#include "ibisnotch/response-head.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ibisnotch;

namespace {

using Progress = ResponseHead::Progress;

// Returns the head read from these lines, each without its end.
ResponseHead read(const std::vector<std::string> &lines)
{
    ResponseHead head;
    for (const std::string &line : lines)
        head.addLine(line + "\r\n");
    return head;
}

HeadFault faultOf(const std::string &field)
{
    const ResponseHead head = read({"HTTP/1.1 200 OK", field, ""});
    CHECK(head.isComplete() == (head.fault() == HeadFault::none));
    return head.fault();
}

HeadFault faultOfStatusLine(const std::string &line)
{
    return read({line, ""}).fault();
}

} // namespace

TEST_CASE("responseHead_wholeHead_hasStatusAndFields")
{
    const ResponseHead head
        = read({"HTTP/1.1 404 Not Found", "A: b", "Empty:", "Blanks: \t c d \t", "A:e:f", ""});
    CHECK(head.isComplete());
    CHECK(head.status() == 404);
    CHECK(head.fields() == Headers{{"A", "b"}, {"Empty", ""}, {"Blanks", "c d"}, {"A", "e:f"}});
}

TEST_CASE("responseHead_interimHeads_areFollowedByTheFinalOne")
{
    ResponseHead head;
    CHECK(head.addLine("HTTP/1.1 100 Continue\r\n") == Progress::incomplete);
    CHECK(head.addLine("A: interim\r\n") == Progress::incomplete);
    CHECK(head.addLine("\r\n") == Progress::interim);
    CHECK_FALSE(head.isComplete());
    CHECK(head.addLine("HTTP/1.1 200 OK\n") == Progress::incomplete);
    CHECK(head.addLine("\n") == Progress::complete);
    CHECK(head.fields() == Headers{});
    CHECK(head.addLine("trailer\r\n") == Progress::complete);
}

// Guards against bytes that are no status line of HTTP/1.1 and that reach a caller as one.
TEST_CASE("responseHead_statusLineIsNone_isFaulty")
{
    for (const char *line :
         {"HTTP/1.1 200 OK", "HTTP/1.0 200 ", "HTTP/1.1 599", "HTTP/1.1 204 \xc3"})
        CHECK(faultOfStatusLine(line) == HeadFault::none);
    for (const char *line :
         {"", " HTTP/1.1 200 OK", "HTTP/2 200", "HTTP/1.1  200 OK", "HTTP/1.1 2000 OK",
          "HTTP/1.1 20", "HTTP/1.1 +20 OK", "HTTP/1.1200 OK", "HTTP/1. 200 OK", "ICY 200 OK",
          "HTTP/1.1 200 O\rK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 HTTP/1.1 404 Not Found",
          "HTTP/1.1 200 OHTTP/1.1 404 Not Found", "HTTP/1.1 200 OKHTTP/1.0 404 "})
        CHECK(faultOfStatusLine(line) == HeadFault::statusLine);
    for (const char *line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Other", "HTTP/1.1 600 OK"})
        CHECK(faultOfStatusLine(line) == HeadFault::status);
}

// Guards against a field that a caller would read in another way than this program.
TEST_CASE("responseHead_lineIsNoField_isFaulty")
{
    for (const char *field : {"A: \xe9", "A.b!: c", "A: b\tc"})
        CHECK(faultOf(field) == HeadFault::none);
    for (const std::string &field :
         {std::string("A : b"), std::string("A B: c"), std::string(" folded"),
          std::string("\tA: b"), std::string(" "), std::string(": b"), std::string("A"),
          std::string("A: b\rC: d"), std::string("A: b\0", 5), std::string("A\x7f: b"),
          std::string("HTTP/1.1 200 OK")})
        CHECK(faultOf(field) == HeadFault::field);
}

// Guards against a body that is taken to end elsewhere than its server means.
TEST_CASE("responseHead_lengthIsNone_isFaulty")
{
    for (const char *length : {"0", "7", "7, 7", "007", "9223372036854775807"})
        CHECK(faultOf("Content-Length: " + std::string(length)) == HeadFault::none);
    for (const char *length : {"", "-1", "+1", "1 2", "7x", "0x7", "7, 8", "7,",
                               "9223372036854775808", "12345678901234567890123"})
        CHECK(faultOf("content-length: " + std::string(length)) == HeadFault::length);
    CHECK(read({"HTTP/1.1 200 OK", "Content-Length: 7", "Content-Length: 8", ""}).fault()
          == HeadFault::length);
    CHECK(read({"HTTP/1.1 200 OK", "Content-Length: 7", "Content-Length: 7", ""}).isComplete());
}

// Guards against a line that is read on after a fault as if it were sound.
TEST_CASE("responseHead_anyLines_faultIsFinalAndFieldsAreSound")
{
    rc::prop("no line brings a field with a control character, or ends a fault", [] {
        ResponseHead head;
        head.addLine("HTTP/1.1 200 OK\r\n");
        bool wasFaulty = false;
        for (const std::string &line : *rc::gen::arbitrary<std::vector<std::string>>()) {
            const bool isFaulty = head.addLine(line + "\r\n") == Progress::faulty;
            RC_ASSERT(isFaulty || !wasFaulty);
            wasFaulty = isFaulty;
        }
        for (const auto &[name, value] : head.fields().fields()) {
            RC_ASSERT(!name.empty());
            RC_ASSERT((name + value).find_first_of(std::string("\r\n\0", 3)) == std::string::npos);
        }
    });
}
