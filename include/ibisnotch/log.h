// Structured logging by log4cxx. A line consists of a prefix that names the part of the program, a
// short sentence and fields.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "ibisnotch/clock.h"

namespace ibisnotch {

enum class LogPart { entry, request, control, config, claims, load, store };

enum class LogLevel { debug, info, warn, error };

struct LogField
{
    std::string_view name;
    std::string value;
};

// Returns a duration in whole milliseconds as the value of a field.
std::string millisecondsText(Duration duration);

// Starts to log to standard output. Each line contains `instance` as a field.
void startLog(const std::string &instance, const std::string &level);

void setLogLevel(const std::string &level);

// Writes a line. Fields must not contain request text, prices or keys, because these logs are
// shared with partners.
void logLine(LogPart part, LogLevel level, std::string_view sentence,
             std::initializer_list<LogField> fields = {});

} // namespace ibisnotch
