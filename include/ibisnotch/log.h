// Structured log lines by log4cxx: a prefix for each part, a short sentence, then fields.
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

// A duration as a field's value, in whole milliseconds.
std::string millisecondsText(Duration duration);

// Lines go to standard output. `instance` is added to each line.
void startLog(const std::string &instance, const std::string &level);

void setLogLevel(const std::string &level);

// Neither request text nor prices nor keys may be passed as fields: partners share these logs.
void logLine(LogPart part, LogLevel level, std::string_view sentence,
             std::initializer_list<LogField> fields = {});

} // namespace ibisnotch
