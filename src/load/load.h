// What the parts of the load tool share.
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
    std::string entry;
    std::string engine;
    std::string kind = "stream";
    int concurrency = 32;
    int seconds = 5;
    int connections = 1000;
    int tokens = 16;
    int pid = 0;
    int count = 200;
    std::string store;
    std::vector<std::string> entries;
};

std::string chatBody(const std::string &model, const std::string &text, bool stream, int tokens);
OutgoingRequest chat(const std::string &address, const std::string &token,
                     const std::string &service, const std::string &body);
OutgoingRequest call(const std::string &address, const std::string &token,
                     const std::string &method, const std::string &service, const std::string &key,
                     const std::string &body);
std::string field(const BufferedResponse &answer, const char *name);

double secondsSince(std::chrono::steady_clock::time_point start);
double quantile(std::vector<double> values, double part);

// The commands; each returns the program's exit code.
int runDemo(const Options &options);
int runLoad(const Options &options);
int holdOpen(const Options &options, bool streams);
int runBookings(const Options &options);
int runInForce(const Options &options);
int runLeaving(const Options &options);

} // namespace ibisnotch
