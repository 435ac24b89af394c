#include "damaskgate/timeline/timeline.h"

#include <filesystem>
#include <sstream>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::timeline;

namespace {

constexpr const char *HostA = "time=x hlc=100.0 host=a incarnation=1 event=sent trace=t1\n"
                              "time=x hlc=300.0 host=a incarnation=1 event=done trace=t1\n";
constexpr const char *HostB = "time=x hlc=100.1 host=b incarnation=7 event=got trace=t1\n"
                              "no event at all\n"
                              "time=x hlc=200.0 host=b incarnation=7 event=other trace=t2\n";

std::vector<TimelineSource> readBoth()
{
    std::istringstream a(HostA);
    std::istringstream b(HostB);
    return { readSource(b), readSource(a) };
}

std::string namesOf(const std::vector<TimelineEntry> &entries)
{
    std::string names;
    for (const TimelineEntry &entry : entries) {
        names += entry.name + ' ';
    }
    return names;
}

} // namespace

TEST(Timeline_Tests, ParseLine_InvalidLines_AreRejected)
{
    // [GIVEN] Lines that are not valid events
    for (const char *line : {
             "",
             "plain text",
             "hlc=1.0 host=a",
             "hlc=1.0 event=x",
             "hlc=one host=a event=x",
             "hlc=1.0 host=a event=\"x",
             "hlc=1.0 host=a event=\"\\q\"",
             "hlc=1.0 host=a event=\"\\xg0\"",
             "hlc=1.0 host=a event=\"x\"y=z",
         }) {
        // [WHEN] They are parsed
        // [THEN] Each is rejected
        EXPECT_FALSE(parseLine(line)) << line;
    }
}

TEST(Timeline_Tests, Merge_SeveralSources_OrdersByHybridTime)
{
    // [GIVEN] The logs of two processes, one of which contains an invalid line
    const std::vector<TimelineSource> sources = readBoth();

    // [WHEN] They are merged
    const std::vector<TimelineEntry> merged = merge(sources, {});

    // [THEN] All events are in order, and the invalid line is counted
    EXPECT_EQ(namesOf(merged), "sent got other done ");
    EXPECT_EQ(sources.front().unreadableLines, 1U);
}

TEST(Timeline_Tests, Merge_EachFilter_KeepsMatchingEntries)
{
    // [GIVEN] Filters of each kind
    const std::pair<TimelineFilter, const char *> rows[] = {
        { { .trace = "t1" }, "sent got done " },
        { { .host = "b" }, "got other " },
        { { .event = "done" }, "done " },
        { { .from = HybridTime { 100, 1 } }, "got other done " },
        { { .until = HybridTime { 200, 0 } }, "sent got " },
        { { .trace = "t1", .host = "a", .until = HybridTime { 300, 0 } }, "sent " },
    };
    const std::vector<TimelineSource> sources = readBoth();
    for (const auto &[filter, expected] : rows) {
        // [WHEN] The sources are merged
        // [THEN] Only matching entries are kept
        EXPECT_EQ(namesOf(merge(sources, filter)), expected);
    }
}

TEST(Timeline_Tests, WritePage_ValuesWithMarkup_AreEscaped)
{
    // [GIVEN] An event whose value looks like markup
    std::istringstream input("hlc=1.0 host=a incarnation=1 event=x detail=<script>&\n");
    const std::vector<TimelineSource> sources { readSource(input) };

    // [WHEN] A page is written
    std::ostringstream page;
    writePage(page, merge(sources, {}));

    // [THEN] It contains a lane and a mark, but not the event's markup
    EXPECT_NE(page.str().find("a #1"), std::string::npos);
    EXPECT_NE(page.str().find("<circle"), std::string::npos);
    EXPECT_EQ(page.str().find("<script>"), std::string::npos);
}

TEST(Timeline_Tests, WritePage_NoEntries_WritesCompletePage)
{
    // [GIVEN] No entries
    std::ostringstream page;

    // [WHEN] A page is written
    writePage(page, {});

    // [THEN] The page is complete
    EXPECT_TRUE(page.str().ends_with("</html>\n"));
}

TEST(Timeline_Tests, RunCommand_MissingFile_FailsWithItsName)
{
    // [GIVEN] A path without a file
    std::ostringstream output;
    std::ostringstream errors;

    // [WHEN] The command runs
    const int code = runCommand({ .paths = { "/nonexistent.log" } }, output, errors);

    // [THEN] It fails, and the error message contains the path
    EXPECT_EQ(code, 1);
    EXPECT_NE(errors.str().find("/nonexistent.log"), std::string::npos);
}
