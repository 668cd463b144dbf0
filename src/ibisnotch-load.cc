// Sends requests to a running system: one of each kind as a demonstration, or a load to measure.
//
//   ibisnotch-load demo --entry IP:PORT
//   ibisnotch-load run --entry IP:PORT --engine IP:PORT [--concurrency N] [--seconds N]
//   ibisnotch-load idle|streams --entry IP:PORT --connections N --pid PID
//   ibisnotch-load bookings --entry IP:PORT --engine IP:PORT --store IP:PORT [--count N]
//   ibisnotch-load inforce --store IP:PORT --entries IP:PORT,... [--count N]
//   ibisnotch-load leaving --entries IP:PORT,... --engine IP:PORT [--count N]
#include <cstdio>
#include <map>

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <popt.h>

#include "load/load.h"

using namespace ibisnotch;

namespace {

Options parseOptions(int argc, const char **argv)
{
    Options options;
    char *entry = nullptr;
    char *engine = nullptr;
    char *kind = nullptr;
    char *store = nullptr;
    char *entries = nullptr;
    const poptOption table[]
        = {{"entry", 0, POPT_ARG_STRING, &entry, 0, "an entry instance", "IP:PORT"},
           {"engine", 0, POPT_ARG_STRING, &engine, 0, "a backend server for direct requests",
            "IP:PORT"},
           {"store", 0, POPT_ARG_STRING, &store, 0, "the platform's store", "IP:PORT"},
           {"entries", 0, POPT_ARG_STRING, &entries, 0, "peers' ports", "IP:PORT,..."},
           {"count", 0, POPT_ARG_INT, &options.count, 0, "bookings or changes", "N"},
           {"kind", 0, POPT_ARG_STRING, &kind, 0, "stream, whole or lookup", "KIND"},
           {"concurrency", 0, POPT_ARG_INT, &options.concurrency, 0, "requests in flight", "N"},
           {"seconds", 0, POPT_ARG_INT, &options.seconds, 0, "length of the run", "N"},
           {"connections", 0, POPT_ARG_INT, &options.connections, 0, "connections to open", "N"},
           {"tokens", 0, POPT_ARG_INT, &options.tokens, 0, "tokens per response", "N"},
           {"pid", 0, POPT_ARG_INT, &options.pid, 0, "process of the entry instance", "PID"},
           POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
    poptSetOtherOptionHelp(context, "demo|run|idle|streams|bookings|inforce|leaving");
    while (poptGetNextOpt(context) > 0) { }
    if (const char *command = poptGetArg(context))
        options.command = command;
    options.entry = entry == nullptr ? "" : entry;
    options.engine = engine == nullptr ? "" : engine;
    options.kind = kind == nullptr ? options.kind : kind;
    options.store = store == nullptr ? "" : store;
    if (entries != nullptr)
        options.entries = absl::StrSplit(entries, ',');
    free(store);
    free(entries);
    free(entry);
    free(engine);
    free(kind);
    poptFreeContext(context);
    return options;
}

} // namespace

int main(int argc, const char **argv)
{
    const Options options = parseOptions(argc, argv);
    if (options.command == "demo")
        return runDemo(options);
    if (options.command == "run")
        return measureThroughput(options);
    if (options.command == "idle" || options.command == "streams")
        return measureConnectionMemory(options, options.command == "streams");
    if (options.command == "bookings")
        return measureBookings(options);
    if (options.command == "inforce")
        return measureConfigChanges(options);
    if (options.command == "leaving")
        return measureDraining(options);
    fmt::print(stderr, "unknown command; see --help\n");
    return exitUsage;
}
