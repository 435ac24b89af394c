#include "damaskgate/operations/operationtable.h"

#include <string>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace std::chrono_literals;
using core::Reason;
using core::Verdict;
using operations::OperationOutcome;
using operations::OperationTable;

namespace {

const core::WorkspaceName Parents("parents");
const core::Instant Start { 1h };
constexpr core::Duration Lifetime = 60s;

OperationTable makeTable(const char *host, std::uint64_t incarnation, std::size_t capacity = 100,
                         const char *secret = "secret")
{
    return OperationTable({ core::HostName(host), incarnation, secret, Lifetime, capacity });
}

struct RepeatCase
{
    const char *name;
    std::optional<OperationOutcome> outcome; //!< std::nullopt: the operation is still running
    core::Duration wait;
    bool mayRun;
    Reason reason;
    Verdict verdict;
};

const RepeatCase RepeatCases[] {
    { "Running", {}, 1s, false, Reason::OperationRepeated, Verdict::MayHaveRun },
    { "RunningPastExpiry", {}, 61s, false, Reason::OperationRepeated, Verdict::MayHaveRun },
    { "Ran", OperationOutcome::Ran, 1s, false, Reason::OperationRepeated, Verdict::Ran },
    { "Lost", OperationOutcome::MayHaveRun, 1s, false, Reason::OperationRepeated,
      Verdict::MayHaveRun },
    { "Refused", OperationOutcome::NotRun, 1s, true, Reason::Internal, Verdict::NotRun },
    { "RefusedThenExpired", OperationOutcome::NotRun, 60s, false, Reason::OperationKeyInvalid,
      Verdict::MayHaveRun },
    { "RanThenExpired", OperationOutcome::Ran, 60s, false, Reason::OperationKeyInvalid,
      Verdict::MayHaveRun },
    { "RanLongAgo", OperationOutcome::Ran, 10h, false, Reason::OperationKeyInvalid,
      Verdict::MayHaveRun },
};

} // namespace

TEST(OperationTable_Tests, Begin_Repeated_RunsOnlyWhatHasNotRun)
{
    for (const RepeatCase &item : RepeatCases) {
        SCOPED_TRACE(item.name);
        // [GIVEN] An operation that was begun and, in some cases, ended
        auto table = makeTable("ves-01", 1);
        const auto key = table.issueTicket(Parents, Start) + "/order-7";
        const auto operation = table.begin(key, Parents, Start);
        ASSERT_TRUE(operation);
        if (item.outcome) {
            table.end(*operation, *item.outcome, 201);
        }

        // [WHEN] The caller repeats it
        const auto repeated = table.begin(key, Parents, Start + item.wait);

        // [THEN] It runs again only if it has not run; otherwise the verdict is correct
        ASSERT_EQ(repeated.has_value(), item.mayRun);
        if (!repeated) {
            EXPECT_EQ(repeated.error().reason, item.reason);
            EXPECT_EQ(repeated.error().verdict, item.verdict);
        }
    }
}

TEST(OperationTable_Tests, Begin_RanBefore_NamesTheStatus)
{
    // [GIVEN] An operation whose upstream returned status 201
    auto table = makeTable("ves-01", 1);
    const auto key = table.issueTicket(Parents, Start) + "/order-7";
    table.end(*table.begin(key, Parents, Start), OperationOutcome::Ran, 201);

    // [THEN] The error of a repeated operation contains the status
    EXPECT_NE(table.begin(key, Parents, Start).error().detail.find("201"), std::string::npos);
}

TEST(OperationTable_Tests, Begin_OtherProcess_NeverRuns)
{
    // [GIVEN] A ticket issued by one process
    const auto key = makeTable("ves-01", 1).issueTicket(Parents, Start) + "/order-7";

    // [WHEN] Another host and a later process of the same host receive the operation
    auto other = makeTable("bre-01", 1);
    auto restarted = makeTable("ves-01", 2);
    const auto elsewhere = other.begin(key, Parents, Start);
    const auto later = restarted.begin(key, Parents, Start);

    // [THEN] Neither runs it, and both return verdict MayHaveRun
    EXPECT_EQ(elsewhere.error().reason, Reason::OperationElsewhere);
    EXPECT_EQ(elsewhere.error().verdict, Verdict::MayHaveRun);
    EXPECT_EQ(other.ownerOf(key).text(), "ves-01");
    EXPECT_EQ(later.error().reason, Reason::OperationElsewhere);
    EXPECT_EQ(later.error().verdict, Verdict::MayHaveRun);
}

TEST(OperationTable_Tests, Begin_BadKey_IsRefused)
{
    // [GIVEN] Keys that the fleet did not issue, and invalid IDs
    auto table = makeTable("ves-01", 1);
    const auto ticket = table.issueTicket(Parents, Start);
    auto forged = ticket;
    forged[3] = forged[3] == '1' ? '2' : '1';
    const auto foreign = makeTable("ves-01", 1, 100, "other").issueTicket(Parents, Start);
    const std::string keys[] { "",
                               "/",
                               "x/y",
                               ticket,
                               ticket + "/",
                               ticket + "/a b",
                               ticket + "/" + std::string(129, 'a'),
                               forged + "/a",
                               foreign + "/a",
                               ticket + "0/a" };
    for (const std::string &key : keys) {
        SCOPED_TRACE(key);

        // [THEN] None is begun
        const auto begun = table.begin(key, Parents, Start);
        ASSERT_FALSE(begun);
        EXPECT_EQ(begun.error().reason, Reason::OperationKeyInvalid);
    }
    EXPECT_EQ(table.size(), 0);
}

TEST(OperationTable_Tests, Begin_TicketOfOtherWorkspace_IsRefused)
{
    // [GIVEN] A ticket issued to one workspace
    auto table = makeTable("ves-01", 1);
    const auto key = table.issueTicket(Parents, Start) + "/a";

    // [THEN] Callers of another workspace cannot use it
    const auto begun = table.begin(key, core::WorkspaceName("schools"), Start);
    EXPECT_EQ(begun.error().reason, Reason::OperationKeyInvalid);
}

TEST(OperationTable_Tests, Begin_TableFull_RefusesAndForgetsNothing)
{
    // [GIVEN] A full table
    auto table = makeTable("ves-01", 1, 2);
    const auto ticket = table.issueTicket(Parents, Start);
    table.end(*table.begin(ticket + "/1", Parents, Start), OperationOutcome::Ran, 200);
    table.end(*table.begin(ticket + "/2", Parents, Start), OperationOutcome::MayHaveRun, 0);

    // [WHEN] Another operation is begun
    const auto refused = table.begin(ticket + "/3", Parents, Start);

    // [THEN] It is refused with verdict NotRun, and the table keeps the others
    EXPECT_EQ(refused.error().reason, Reason::QueueFull);
    EXPECT_EQ(refused.error().verdict, Verdict::NotRun);
    EXPECT_EQ(table.begin(ticket + "/1", Parents, Start).error().verdict, Verdict::Ran);
    EXPECT_EQ(table.size(), 2);

    // [THEN] Operations can be begun again after the tickets have expired
    const auto later = Start + Lifetime;
    EXPECT_TRUE(table.begin(table.issueTicket(Parents, later) + "/3", Parents, later));
    EXPECT_EQ(table.size(), 1);
}
