#include "lookupcache.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::load;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Answer = R"({"ttl_seconds": 10, "entries": [
    {"host": "a", "address": "127.0.0.1", "port": 1, "domain": "d"},
    {"host": "b", "address": "127.0.0.2", "port": 2, "domain": "e"}],
    "operation_ticket": "t"})";

const Address Asked { "127.0.0.9", 9 };

} // namespace

TEST(LookupCache_Tests, Entries_WithinTheTimeToLive_AreThoseNamed)
{
    // [GIVEN] An answer that holds for 10 s
    LookupCache cache;
    core::Instant now { 1h };
    cache.store(Asked, *parseLookupAnswer(Answer), now);

    // [WHEN] Time passes
    // [THEN] Entries and ticket hold until then and not longer
    now += 9s;
    ASSERT_NE(cache.entries(now), nullptr);
    EXPECT_EQ(cache.entries(now)->front(), (Address { "127.0.0.1", 1 }));
    EXPECT_EQ(cache.ticketFor(Asked, now), "t");
    now += 1s;
    EXPECT_EQ(cache.entries(now), nullptr);
    EXPECT_EQ(cache.ticketFor(Asked, now), std::nullopt);
}

TEST(LookupCache_Tests, TicketFor_AHostThatWasNotAsked_IsNone)
{
    // [GIVEN] An answer of one host
    LookupCache cache;
    const core::Instant now { 1h };
    cache.store(Asked, *parseLookupAnswer(Answer), now);

    // [WHEN] A ticket for a host that it names is wanted
    // [THEN] There is none, since tickets bind to the host that gave them
    EXPECT_EQ(cache.ticketFor({ "127.0.0.1", 1 }, now), std::nullopt);
}

TEST(LookupCache_Tests, ParseLookupAnswer_BadAnswers_AreRefused)
{
    // [GIVEN] Answers that are none
    for (const char *text : { "", "[]", "{}", R"({"ttl_seconds": "x", "entries": []})" }) {
        // [WHEN] They are parsed
        // [THEN] Each is refused
        EXPECT_FALSE(parseLookupAnswer(text)) << text;
    }
}
