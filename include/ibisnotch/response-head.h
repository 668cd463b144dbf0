// Reads the head of a response of HTTP/1.1 (RFC 9112) line by line and finds what isn't one.
#pragma once

#include <string>
#include <string_view>

#include "ibisnotch/http.h"

namespace ibisnotch {

// Why the bytes that were received are no head.
enum class HeadFault {
    none,
    statusLine,
    status, // not from 100 to 599, or a change of protocol that nobody asked for
    field,
    length, // no number, too large, or several that differ
};

// Returns the name used in logs.
std::string_view headFaultName(HeadFault fault);

// The heads of one response: interim ones, if any, and the final one.
class ResponseHead
{
public:
    enum class Progress {
        incomplete,
        interim, // a head of status 1xx is complete; another one follows
        complete, // further lines are trailers
        faulty,
    };

    // Takes the next line, with the line feed at its end. Lines after the end of the final head are
    // ignored. After a fault, all further lines are faulty.
    Progress addLine(std::string_view line);

    // The status and fields of the head that was begun last. Fields of interim heads are dropped.
    int status() const { return m_status; }
    const Headers &fields() const { return m_fields; }
    bool isComplete() const { return m_isComplete; }
    HeadFault fault() const { return m_fault; }

private:
    HeadFault readStatusLine(std::string_view line);
    HeadFault readField(std::string_view line);
    Progress end();

    int m_status = 0; // 0 before a status line
    Headers m_fields;
    bool m_isComplete = false;
    HeadFault m_fault = HeadFault::none;
};

} // namespace ibisnotch
