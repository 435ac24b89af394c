#include "damaskgate/metrics/registry.h"

#include <thread>

#include <gtest/gtest.h>

using namespace damaskgate::metrics;

TEST(Registry_Tests, Exposition_EachKind_FollowsTheTextFormat)
{
    // [GIVEN] A metric of each kind
    Registry registry;
    registry.counter("requests_total", "Requests.", { { "service", "vit\"rin" } }).add(3);
    registry.gauge("in_flight", "Requests under way.").set(2);
    registry.histogram("latency_seconds", "Latency.", {}, { 0.1, 10, 2 }).record(0.5);

    // [WHEN] They are written
    const std::string text = registry.exposition();

    // [THEN] The text is in the Prometheus text format
    EXPECT_EQ(text,
              "# HELP in_flight Requests under way.\n"
              "# TYPE in_flight gauge\n"
              "in_flight 2\n"
              "# HELP latency_seconds Latency.\n"
              "# TYPE latency_seconds histogram\n"
              "latency_seconds_bucket{le=\"0.1\"} 0\n"
              "latency_seconds_bucket{le=\"1\"} 1\n"
              "latency_seconds_bucket{le=\"10\"} 1\n"
              "latency_seconds_bucket{le=\"+Inf\"} 1\n"
              "latency_seconds_sum 0.5\n"
              "latency_seconds_count 1\n"
              "# HELP requests_total Requests.\n"
              "# TYPE requests_total counter\n"
              "requests_total{service=\"vit\\\"rin\"} 3\n");
}

TEST(Registry_Tests, Counter_SameNameAndLabels_IsTheSame)
{
    // [GIVEN] A counter with labels
    Registry registry;
    Counter &first = registry.counter("c", "C.", { { "a", "1" } });

    // [WHEN] It is looked up again, and one with other labels
    Counter &again = registry.counter("c", "C.", { { "a", "1" } });
    Counter &other = registry.counter("c", "C.", { { "a", "2" } });

    // [THEN] Only the first two are the same
    EXPECT_EQ(&first, &again);
    EXPECT_NE(&first, &other);
}

TEST(Histogram_Tests, Quantile_ManyValues_IsWithinOneBin)
{
    // [GIVEN] Values 1 to 1000 ms
    Histogram histogram({ 0.0001, 10, 200 });
    for (int i = 1; i <= 1000; ++i) {
        histogram.record(i / 1000.0);
    }

    // [WHEN] Quantiles are read
    // [THEN] They are exact to the width of a bin, which is 6% of the value
    EXPECT_NEAR(histogram.quantile(0.5), 0.5, 0.03);
    EXPECT_NEAR(histogram.quantile(0.99), 0.99, 0.06);
    EXPECT_EQ(histogram.count(), 1000U);
}

TEST(Histogram_Tests, Record_ValuesOutsideTheRange_AreCounted)
{
    // [GIVEN] A histogram with a narrow range
    Histogram histogram({ 0.1, 1, 4 });

    // [WHEN] Values below and above it are recorded
    for (const double value : { 0.0, 0.01, 5.0 }) {
        histogram.record(value);
    }

    // [THEN] All values are counted
    EXPECT_EQ(histogram.count(), 3U);
    EXPECT_EQ(histogram.bins().front().cumulativeCount, 2U);
}

TEST(Histogram_Tests, Record_SeveralThreads_LosesNothing)
{
    // [GIVEN] Threads that record at the same time
    Histogram histogram({});
    constexpr int ThreadCount = 4;
    constexpr int Records = 10'000;

    // [WHEN] All threads have ended
    {
        std::vector<std::jthread> threads;
        threads.reserve(ThreadCount);
        for (int i = 0; i < ThreadCount; ++i) {
            threads.emplace_back([&histogram] {
                for (int j = 0; j < Records; ++j) {
                    histogram.record(0.01);
                }
            });
        }
    }

    // [THEN] Every record is counted
    EXPECT_EQ(histogram.count(), static_cast<std::uint64_t>(ThreadCount * Records));
}
