#include "lookupcache.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::load;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view ResponseText = R"({"ttl_seconds": 10, "entries": [
    {"host": "a", "address": "127.0.0.1", "port": 1, "domain": "d"},
    {"host": "b", "address": "127.0.0.2", "port": 2, "domain": "e"}],
    "operation_ticket": "t"})";

const Address QueriedHost { "127.0.0.9", 9 };

} // namespace

TEST(LookupCache_Tests, Entries_WithinTheTimeToLive_AreThoseOfTheResponse)
{
    // [GIVEN] A response with a time to live of 10 s
    LookupCache cache;
    core::Instant now { 1h };
    cache.store(QueriedHost, *parseLookupResponse(ResponseText), now);

    // [WHEN] Time passes
    // [THEN] Entries and ticket are valid for less than 10 s
    now += 9s;
    ASSERT_NE(cache.entries(now), nullptr);
    EXPECT_EQ(cache.entries(now)->front(), (Address { "127.0.0.1", 1 }));
    EXPECT_EQ(cache.ticketFor(QueriedHost, now), "t");
    now += 1s;
    EXPECT_EQ(cache.entries(now), nullptr);
    EXPECT_EQ(cache.ticketFor(QueriedHost, now), std::nullopt);
}

TEST(LookupCache_Tests, TicketFor_HostWithoutLookup_IsNone)
{
    // [GIVEN] A response of one host
    LookupCache cache;
    const core::Instant now { 1h };
    cache.store(QueriedHost, *parseLookupResponse(ResponseText), now);

    // [WHEN] A ticket is requested for another host, which the response lists
    // [THEN] There is none, since a ticket is valid only at the host that issued it
    EXPECT_EQ(cache.ticketFor({ "127.0.0.1", 1 }, now), std::nullopt);
}

TEST(LookupCache_Tests, ParseLookupResponse_MalformedResponses_AreRefused)
{
    // [GIVEN] Malformed look-up responses
    for (const char *text : { "", "[]", "{}", R"({"ttl_seconds": "x", "entries": []})" }) {
        // [WHEN] They are parsed
        // [THEN] Each is refused
        EXPECT_FALSE(parseLookupResponse(text)) << text;
    }
}
