#include "damaskgate/load/exchange.h"

#include <gtest/gtest.h>

using namespace damaskgate::load;

TEST(Exchange_Tests, IsSafeElsewhere_EachEnding_FollowsTheTable)
{
    // [GIVEN] Endings, and whether a request that may or may not be repeated may follow them
    struct Row
    {
        Ending ending;
        const char *reason;
        const char *verdict;
        bool isSafeToRepeat;
        bool isSafeOnce;
    };
    const Row rows[] = {
        { Ending::Answered, "", "", false, false },
        { Ending::NotConnected, "", "", true, true },
        { Ending::Broken, "", "", true, false },
        { Ending::Timeout, "", "", false, false },
        { Ending::Overload, "", "", false, false },
        { Ending::Refused, "draining", "not-run", true, true },
        { Ending::Refused, "draining", "may-have-run", true, false },
        { Ending::Refused, "settings-stale", "not-run", true, true },
        { Ending::Refused, "rate-limited", "not-run", false, false },
        { Ending::Refused, "key-unknown", "not-run", false, false },
        { Ending::Refused, "upstream-failed", "may-have-run", false, false },
    };
    for (const Row &row : rows) {
        // [WHEN] The result is judged
        ExchangeResult result;
        result.ending = row.ending;
        result.reason = row.reason;
        result.verdict = row.verdict;

        // [THEN] It follows the table
        EXPECT_EQ(isSafeElsewhere(result, true), row.isSafeToRepeat) << row.reason;
        EXPECT_EQ(isSafeElsewhere(result, false), row.isSafeOnce) << row.reason;
    }
}
