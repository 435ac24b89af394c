#include "damaskgate/load/exchange.h"

#include <gtest/gtest.h>

using namespace damaskgate::load;

TEST(Exchange_Tests, IsSafeToRetryElsewhere_EachOutcome_FollowsTheTable)
{
    // [GIVEN] Outcomes, and whether a repeatable and a non-repeatable request may be sent again
    struct Row
    {
        Outcome outcome;
        const char *reason;
        const char *verdict;
        bool isSafeToRepeat;
        bool isSafeOnce;
    };
    const Row rows[] = {
        { Outcome::Answered, "", "", false, false },
        { Outcome::NotConnected, "", "", true, true },
        { Outcome::Broken, "", "", true, false },
        { Outcome::Timeout, "", "", false, false },
        { Outcome::Overload, "", "", false, false },
        { Outcome::Refused, "draining", "not-run", true, true },
        { Outcome::Refused, "draining", "may-have-run", true, false },
        { Outcome::Refused, "settings-stale", "not-run", true, true },
        { Outcome::Refused, "rate-limited", "not-run", false, false },
        { Outcome::Refused, "key-unknown", "not-run", false, false },
        { Outcome::Refused, "upstream-failed", "may-have-run", false, false },
    };
    for (const Row &row : rows) {
        // [WHEN] The result is evaluated
        ExchangeResult result;
        result.outcome = row.outcome;
        result.reason = row.reason;
        result.verdict = row.verdict;

        // [THEN] The decision matches the table
        EXPECT_EQ(isSafeToRetryElsewhere(result, true), row.isSafeToRepeat) << row.reason;
        EXPECT_EQ(isSafeToRetryElsewhere(result, false), row.isSafeOnce) << row.reason;
    }
}
