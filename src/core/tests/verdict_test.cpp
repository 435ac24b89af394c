#include "damaskgate/core/verdict.h"

#include <gtest/gtest.h>

#include "damaskgate/core/error.h"

using namespace damaskgate::core;

TEST(Verdict_Tests, Combine_TwoVerdicts_GivesTheOneNearerToRan)
{
    EXPECT_EQ(combine(Verdict::NotRun, Verdict::NotRun), Verdict::NotRun);
    EXPECT_EQ(combine(Verdict::NotRun, Verdict::MayHaveRun), Verdict::MayHaveRun);
    EXPECT_EQ(combine(Verdict::MayHaveRun, Verdict::Ran), Verdict::Ran);
}

TEST(Error_Tests, ToText_EveryReason_HasTextAndStatus)
{
    // [GIVEN] Every reason
    for (int value = 0; value <= static_cast<int>(Reason::Internal); ++value) {
        const auto reason = static_cast<Reason>(value);

        // [THEN] Only Internal has the text of the fallback entry
        EXPECT_EQ(toText(reason) == "internal", reason == Reason::Internal);
        EXPECT_GE(httpStatus(reason), 400);
    }
}
