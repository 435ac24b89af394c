#include "damaskgate/routing/requesttarget.h"

#include <string_view>

#include <gtest/gtest.h>

using namespace damaskgate;

namespace {

struct TargetCase
{
    std::string_view name;
    std::string_view target;
    std::string_view path;
    std::string_view query;
};

constexpr TargetCase Accepted[] {
    { "Plain", "/a/b", "/a/b", "" },
    { "Root", "/", "/", "" },
    { "Query", "/a?x=1&y=%20", "/a", "x=1&y=%20" },
    { "EmptyQuery", "/a?", "/a", "" },
    { "UnreservedDecoded", "/%61%2Db", "/a-b", "" },
    { "HexCaseRaised", "/a%c3%a9", "/a%C3%A9", "" },
    { "AbsoluteForm", "http://host:80/a?b", "/a", "b" },
    { "DotsWithinSegment", "/a..b/...", "/a..b/...", "" },
};

constexpr TargetCase Refused[] {
    { "Empty", "", "", "" },
    { "Asterisk", "*", "", "" },
    { "NoSlash", "a/b", "", "" },
    { "OtherScheme", "ftp://host/a", "", "" },
    { "Userinfo", "http://key@host/a", "", "" },
    { "NoPathInAbsolute", "http://host", "", "" },
    { "DotSegment", "/a/./b", "", "" },
    { "ParentSegment", "/a/../b", "", "" },
    { "ParentAtEnd", "/a/..", "", "" },
    { "EncodedParent", "/a/%2e%2E/b", "", "" },
    { "ParentWithParameter", "/a/..;x=1/b", "", "" },
    { "EncodedSlash", "/a%2fb", "", "" },
    { "EncodedBackslash", "/a%5Cb", "", "" },
    { "Backslash", "/a\\b", "", "" },
    { "EncodedNul", "/a%00", "", "" },
    { "EncodedLineFeed", "/a%0ab", "", "" },
    { "DoubleEncoded", "/a%252e%252e", "", "" },
    { "BrokenPercent", "/a%2", "", "" },
    { "NoHexDigits", "/a%zz", "", "" },
    { "EmptySegment", "/a//b", "", "" },
    { "Fragment", "/a#b", "", "" },
    { "FragmentInQuery", "/a?b#c", "", "" },
    { "SpaceInQuery", "/a?b c", "", "" },
};

} // namespace

TEST(RequestTarget_Tests, NormalizeTarget_Accepted_IsNormalized)
{
    for (const TargetCase &item : Accepted) {
        SCOPED_TRACE(item.name);
        // [WHEN] A target is normalized
        const auto target = routing::normalizeTarget(item.target);

        // [THEN] Path and query have the normalized form
        ASSERT_TRUE(target);
        EXPECT_EQ(target->path, item.path);
        EXPECT_EQ(target->query, item.query);
    }
}

TEST(RequestTarget_Tests, NormalizeTarget_Ambiguous_IsRefused)
{
    for (const TargetCase &item : Refused) {
        SCOPED_TRACE(item.name);
        // [WHEN] A target is normalized that upstreams may interpret in different ways
        const auto target = routing::normalizeTarget(item.target);

        // [THEN] It is refused, and the request has not run
        ASSERT_FALSE(target);
        EXPECT_EQ(target.error().reason, core::Reason::BadRequest);
        EXPECT_EQ(target.error().verdict, core::Verdict::NotRun);
    }
}
