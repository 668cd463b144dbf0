#include "ibisnotch/load-metrics.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;

TEST_CASE("parseLoadMetrics_vllmMetrics_fillsTheReport")
{
    const LoadReport report = parseLoadMetrics("e",
                                               "# HELP vllm:num_requests_running x\n"
                                               "vllm:num_requests_running{model_name=\"a\"} 3.0\n"
                                               "vllm:num_requests_running{model_name=\"b\"} 4\n"
                                               "vllm:num_requests_running_other 9\n"
                                               "vllm:num_requests_waiting 2\n"
                                               "process_start_time_seconds 1796000000.25\n");
    CHECK(report.running == 7);
    CHECK(report.waiting == 2);
    CHECK_FALSE(report.leaving);
    CHECK(report.incarnation == 1796000000250ULL);
}

TEST_CASE("parseLoadMetrics_invalidText_reportsZero")
{
    for (const char *text : {"", "vllm:num_requests_running", "vllm:num_requests_running abc"})
        CHECK(parseLoadMetrics("e", text).running == 0);
}
