#include "hostlist.h"

#include <gtest/gtest.h>

using namespace damaskgate::publication;

TEST(HostList_Tests, Parse_InvalidEntries_AreSkipped)
{
    // [GIVEN] A list with two valid entries among invalid ones
    const auto hosts = parseHostList(R"([
        { "host": "a", "address": "127.0.0.1", "domain": "north", "state": "live" },
        { "host": "b", "address": "127.0.0.2", "domain": "north", "state": "gone" },
        { "host": 3, "address": "127.0.0.3", "domain": "north", "state": "live" },
        null, 7, {},
        { "host": "c", "address": "127.0.0.4", "domain": "south", "state": "leaving",
          "incarnation": 12, "note": "x" } ])");

    // [THEN] Only the valid entries are returned
    ASSERT_TRUE(hosts.has_value());
    ASSERT_EQ(hosts->size(), 2U);
    EXPECT_EQ(hosts->front().state, ListedHost::State::Live);
    EXPECT_EQ(hosts->back().state, ListedHost::State::Leaving);
    EXPECT_EQ(hosts->back().incarnation, 12U);
}

TEST(HostList_Tests, Parse_NotAnArray_ReturnsNothing)
{
    for (const char *text : { "", "{}", "[", "null" }) {
        EXPECT_FALSE(parseHostList(text).has_value()) << text;
    }
}
