// Options, requests and commands of ibisnotch-load.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "ibisnotch/http-client.h"

namespace ibisnotch {

constexpr int exitUsage = 1;
constexpr int exitFailed = 2;

struct Options
{
    std::string command;
    std::string entry; // address of an entry instance for callers
    std::string engine; // address of a backend server
    std::string kind = "stream"; // of requests: stream, whole (not streamed) or lookup
    int concurrency = 32; // requests in flight at the same time
    int seconds = 5;
    int connections = 1000;
    int tokens = 16; // per response
    int pid = 0; // process of the entry instance
    int count = 200; // bookings or configuration changes
    std::string store;
    std::vector<std::string> entries; // peer addresses of entry instances
};

std::string chatBody(const std::string &model, const std::string &text, bool stream, int tokens);
OutgoingRequest chatRequest(const std::string &address, const std::string &token,
                            const std::string &service, const std::string &body);
OutgoingRequest serviceRequest(const std::string &address, const std::string &token,
                               const std::string &method, const std::string &service,
                               const std::string &key, const std::string &body);
// Returns "-" if the header is missing.
std::string headerValue(const BufferedResponse &reply, const char *name);

double secondsSince(std::chrono::steady_clock::time_point start);
double quantile(std::vector<double> values, double fraction);

// The commands of the program. Each returns the exit code.
int runDemo(const Options &options);
int measureThroughput(const Options &options);
int measureConnectionMemory(const Options &options, bool streams);
int measureBookings(const Options &options);
int measureConfigChanges(const Options &options);
int measureDraining(const Options &options);

} // namespace ibisnotch
