#include "ibisnotch/log.h"

#include <array>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace ibisnotch {

namespace {

// Some seconds of a busy instance's lines, at most about 2 MB.
constexpr int maxQueuedLines = 4096;

std::string &instanceName()
{
    static std::string name;
    return name;
}

const log4cxx::LoggerPtr &loggerOf(LogPart part)
{
    static const std::array<log4cxx::LoggerPtr, 7> loggers{
        log4cxx::Logger::getLogger("ibisnotch.entry"),
        log4cxx::Logger::getLogger("ibisnotch.request"),
        log4cxx::Logger::getLogger("ibisnotch.control"),
        log4cxx::Logger::getLogger("ibisnotch.config"),
        log4cxx::Logger::getLogger("ibisnotch.claims"),
        log4cxx::Logger::getLogger("ibisnotch.load"),
        log4cxx::Logger::getLogger("ibisnotch.store"),
    };
    return loggers[static_cast<std::size_t>(part)];
}

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::debug:
        return log4cxx::Level::getDebug();
    case LogLevel::info:
        return log4cxx::Level::getInfo();
    case LogLevel::warn:
        return log4cxx::Level::getWarn();
    case LogLevel::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\n") != std::string::npos;
}

void appendValue(std::string &line, const std::string &value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' ? ' ' : c;
    }
    line += '"';
}

} // namespace

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void startLog(const std::string &instance, const std::string &level)
{
    instanceName() = instance;
    const auto layout
        = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5p %c: %m%n");
    // The appender does not block, because a stalled reader of standard output would otherwise stop
    // requests. Lines are dropped while the queue is full, and the next line reports their number.
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxQueuedLines);
    queue->setBlocking(false);
    queue->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout));
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(queue);
    root->setLevel(log4cxx::Level::toLevel(level));
}

void setLogLevel(const std::string &level)
{
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

void logLine(LogPart part, LogLevel level, std::string_view sentence,
             std::initializer_list<LogField> fields)
{
    const auto &logger = loggerOf(part);
    const auto log4cxxLevel = levelOf(level);
    if (!logger->isEnabledFor(log4cxxLevel))
        return;
    std::string line(sentence);
    line += " instance=" + instanceName();
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    logger->forcedLog(log4cxxLevel, line);
}

} // namespace ibisnotch
