#include "backoff.h"

#include <gtest/gtest.h>

using namespace damaskgate::publication;
using namespace std::chrono_literals;

TEST(Backoff_Tests, Next_Repeated_GrowsUpToTheMaximum)
{
    Backoff backoff(100ms, 400ms, 7);
    for (const auto step : { 100ms, 200ms, 400ms, 400ms }) {
        const auto pause = backoff.next();
        EXPECT_GE(pause, step / 2);
        EXPECT_LE(pause, step);
    }
    backoff.reset();
    EXPECT_LE(backoff.next(), 100ms);
}
