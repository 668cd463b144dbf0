#include "ibisnotch/metrics.h"

#include <catch2/catch.hpp>

using namespace ibisnotch;
using namespace std::chrono_literals;

TEST_CASE("metrics_recordedRequests_arePrintedBySeries")
{
    Metrics metrics;
    RequestRecord record{"s", "c", ResultCode::served, 20ms, 10ms, 1, true, false, 0.5, 3};
    metrics.onRequest(record);
    record.code = ResultCode::overloaded;
    metrics.onRequest(record);
    metrics.onRetry();
    metrics.setGauge("g", 4);
    const std::string text = metrics.prometheusText();
    const std::string labels = "{service=\"s\",customer=\"c\"";
    CHECK(text.find("ibisnotch_requests_total" + labels + ",code=\"1000\"} 1\n")
          != std::string::npos);
    CHECK(text.find("ibisnotch_requests_total" + labels + ",code=\"3001\"} 1\n")
          != std::string::npos);
    CHECK(text.find("ibisnotch_cost_total" + labels + "} 1.000000\n") != std::string::npos);
    CHECK(text.find("ibisnotch_request_seconds_count" + labels + "} 1\n") != std::string::npos);
    const std::string bucket = "ibisnotch_first_byte_seconds_bucket" + labels;
    CHECK(text.find(bucket + ",le=\"0.005\"} 0\n") != std::string::npos);
    CHECK(text.find(bucket + ",le=\"0.025\"} 1\n") != std::string::npos);
    CHECK(text.find(bucket + ",le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find("ibisnotch_retries_total 1\n") != std::string::npos);
    CHECK(text.find("g 4\n") != std::string::npos);
}

TEST_CASE("metrics_latencyBeyondTheLastBound_isInTheLastBucketOnly")
{
    Metrics metrics;
    metrics.onRequest({"s", "c", ResultCode::served, 20s, 10ms, 1, false, false, 0.5, 3});
    metrics.onAttempt("silent");
    const std::string text = metrics.prometheusText();
    const std::string bucket = "ibisnotch_request_seconds_bucket{service=\"s\",customer=\"c\"";
    CHECK(text.find(bucket + ",le=\"15\"} 0\n") != std::string::npos);
    CHECK(text.find(bucket + ",le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find("ibisnotch_attempts_total{end=\"silent\"} 1\n") != std::string::npos);
}

TEST_CASE("metrics_requestFromAPeer_countsItsCostOnly")
{
    Metrics metrics;
    metrics.onRequest({"s", "c", ResultCode::served, 20ms, 10ms, 1, false, true, 0.5, 3});
    const std::string text = metrics.prometheusText();
    CHECK(text.find("ibisnotch_requests_total") == std::string::npos);
    CHECK(text.find("ibisnotch_cost_total{service=\"s\",customer=\"c\"} 0.500000\n")
          != std::string::npos);
}

// Guards against memory that grows with the number of customers.
TEST_CASE("metrics_moreCustomersThanSeries_areCountedAsOthers")
{
    Metrics metrics;
    RequestRecord record;
    record.service = "s";
    for (int i = 0; i < 3000; ++i) {
        record.customer = "c" + std::to_string(i);
        metrics.onRequest(record);
    }
    const std::string text = metrics.prometheusText();
    CHECK(text.find("customer=\"others\",code=\"1000\"} 952") != std::string::npos);
}

TEST_CASE("metrics_sharedTokens_areSummedUp")
{
    Metrics metrics;
    metrics.onSharedTokens(6300, 2520.4);
    metrics.onSharedTokens(198, 198);
    const std::string text = metrics.prometheusText();
    CHECK(text.find("ibisnotch_shared_tokens_sent_total 6498\n") != std::string::npos);
    CHECK(text.find("ibisnotch_shared_tokens_expected_kept_total 2718\n") != std::string::npos);
}
