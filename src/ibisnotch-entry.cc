// One entry instance. Serves callers, peers and operators until SIGINT or SIGTERM, then completes
// the requests in flight and exits.
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <memory>

#include <fmt/format.h>
#include <popt.h>

#include "entry/instance.h"
#include "ibisnotch/log.h"
#include "platform/interfaces.h"

using namespace ibisnotch;

namespace {

constexpr int exitInvalidSettings = 2;
constexpr int exitStartFailed = 3;

// Makes the allocator return large blocks to the system when they are freed. By default it keeps
// blocks as large as the largest one that was ever freed: after a crowd, all of its bodies.
void returnFreedMemory()
{
    constexpr int largeBlockBytes = 256 * 1024;
    constexpr int freeBytesKept = 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, freeBytesKept);
}

std::unique_ptr<InterfaceFactory> makeInterfaces(const ProcessSettings &settings)
{
    if (settings.interfaces == Interfaces::platform)
        return platform::makeInterfaces(settings);
    return makeBuiltInInterfaces(settings);
}

// Returns the path given by --settings; empty if it is missing or an option is invalid.
std::string parseSettingsPath(int argc, const char **argv)
{
    char *path = nullptr;
    const poptOption options[]
        = {{"settings", 's', POPT_ARG_STRING, &path, 0, "settings of this process", "FILE"},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
    const int end = poptGetNextOpt(context);
    std::string result = path == nullptr ? "" : path;
    free(path);
    if (end < -1)
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(end));
    poptFreeContext(context);
    return end < -1 ? "" : result;
}

absl::StatusOr<ProcessSettings> readSettings(const std::string &path)
{
    const auto text = readFile(path);
    return text.ok() ? parseProcessSettings(*text, path) : text.status();
}

void reloadSettings(Instance &instance, const std::string &path)
{
    const auto settings = readSettings(path);
    if (settings.ok())
        return instance.reload(*settings);
    logLine(LogPart::entry, LogLevel::error, "Reload failed; keeping the current settings.",
            {{"reason", std::string(settings.status().message())}});
}

// Reloads the settings on each SIGHUP; returns on SIGINT or SIGTERM.
void waitForStopSignal(const sigset_t &signals, Instance &instance, const std::string &path)
{
    for (;;) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal != SIGHUP)
            return;
        reloadSettings(instance, path);
    }
}

} // namespace

int main(int argc, const char **argv)
{
    const std::string path = parseSettingsPath(argc, argv);
    const auto settings = readSettings(path);
    if (!settings.ok()) {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return exitInvalidSettings;
    }
    // New threads inherit the signal mask, so the signals are blocked before any thread starts and
    // only sigwait() receives them.
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGINT, SIGTERM, SIGHUP})
        sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
    returnFreedMemory();
    startLog(settings->name, settings->logLevel);
    try {
        Instance instance(*settings, makeInterfaces(*settings));
        logLine(LogPart::entry, LogLevel::info, "Started.",
                {{"region", settings->region}, {"callers", settings->callerAddress.text()}});
        waitForStopSignal(signals, instance, path);
        const bool isDrained = instance.drain();
        logLine(LogPart::entry, isDrained ? LogLevel::info : LogLevel::error,
                isDrained ? "Stopped." : "Stopped with requests in flight.");
        return isDrained ? 0 : 1;
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}: {}\n", settings->name, error.what());
        return exitStartFailed;
    }
}
