#include "damaskgate/load/report.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace damaskgate;
using namespace damaskgate::load;
using namespace std::chrono_literals;

namespace {

ExchangeResult answered(unsigned status)
{
    ExchangeResult result;
    result.status = status;
    result.hasRequestId = true;
    return result;
}

ExchangeResult refused()
{
    ExchangeResult result;
    result.outcome = Outcome::Refused;
    result.reason = "rate-limited";
    result.verdict = "not-run";
    return result;
}

} // namespace

TEST(RunReport_Tests, ToJson_MixedResults_CountsEachKind)
{
    // [GIVEN] Results of each kind for one stream
    RunReport report;
    const RunReport::Key key { "p", "w", "r" };
    ExchangeResult wrong = answered(200);
    wrong.isOwnResponse = false;
    report.add(key, answered(200), 10ms, true, 1);
    report.add(key, answered(500), 10ms, true, 1);
    report.add(key, refused(), 1ms, true, 3);
    report.add(key, refused(), 1ms, false, 1);
    report.add(key, wrong, 1ms, true, 1);

    // [WHEN] The report is made
    const nlohmann::json stream = report.toJson()["streams"][0];

    // [THEN] Each kind is counted, and only good responses have a latency
    EXPECT_EQ(stream["requests"], 5);
    EXPECT_EQ(stream["good"], 1);
    EXPECT_EQ(stream["refusals"]["rate-limited/not-run"], 2);
    EXPECT_EQ(stream["wrongful_refusals"], 1);
    EXPECT_EQ(stream["wrong_answers"], 1);
    EXPECT_EQ(stream["attempts_elsewhere"], 2);
    EXPECT_NEAR(stream["p50_ms"].get<double>(), 10, 0.2);
}

TEST(RunReport_Tests, ToJson_TwoWorkspaces_NamesTheWorstServed)
{
    // [GIVEN] A workspace whose request is refused and one with a slow response
    RunReport report;
    report.add({ "p", "refused", "r" }, refused(), 1ms, true, 1);
    report.add({ "p", "slow", "r" }, answered(200), 900ms, true, 1);

    // [WHEN] The report is made
    // [THEN] The workspace with the refusal is reported as the worst, not the one with the slow
    // response
    EXPECT_EQ(report.toJson()["worst_workspace"]["p"]["workspace"], "refused");
}

TEST(RunReport_Tests, FormatComparison_SameStreams_GivesTheAddedTime)
{
    // [GIVEN] A direct run and one through the fleet
    RunReport direct;
    RunReport fleet;
    direct.add({ "p", "w", "r" }, answered(200), 10ms, true, 1);
    fleet.add({ "p", "w", "r" }, answered(200), 30ms, true, 1);

    // [WHEN] They are compared
    const std::string text = formatComparison(direct.toJson(), fleet.toJson());

    // [THEN] The text contains the difference of 20 ms
    EXPECT_NE(text.find("p/w/r"), std::string::npos);
    EXPECT_TRUE(text.find(" 20.") != std::string::npos || text.find(" 19.") != std::string::npos)
        << text;
}
