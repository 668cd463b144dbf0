// What a backend server says of itself in the head of a response.
#pragma once

#include <string>

#include "ibisnotch/clock.h"

namespace ibisnotch {

// The rest that a server asks for when it turns a request away: the time for which it wants no
// requests of the instance that it answers.
struct NamedRest
{
    Duration time{}; // 0 if it asks for none
    std::string invalidText; // the time as sent, if it is not a number that can be used
    bool operator==(const NamedRest &) const = default;
};

struct ServerStatement
{
    bool leaving = false; // the server will exit
    NamedRest rest;
    bool operator==(const ServerStatement &) const = default;
};

} // namespace ibisnotch
