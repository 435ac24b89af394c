#include <gtest/gtest.h>

#include "damaskgate/mirror/mirror.h"

namespace damaskgate::mirror {

namespace {

Changes whole(std::uint64_t revision, std::vector<Item> items)
{
    return { revision, true, std::move(items), {} };
}

Changes part(std::uint64_t revision, std::vector<Item> items, std::vector<Removal> removals = {})
{
    return { revision, false, std::move(items), std::move(removals) };
}

} // namespace

TEST(Mirror_Tests, Apply_OlderChanges_AreIgnored)
{
    // [GIVEN] A copy of revision 9
    Mirror mirror;
    mirror.apply(whole(9, { { "a", "new", 8 } }));

    // [WHEN] An older whole copy arrives late
    const bool isChanged = mirror.apply(whole(5, { { "a", "old", 4 } }));

    // [THEN] Nothing goes back
    EXPECT_FALSE(isChanged);
    EXPECT_EQ(mirror.items().at("a").value, "new");
}

TEST(Mirror_Tests, Apply_WholeWithoutItem_RemovesIt)
{
    // [GIVEN] Two items
    Mirror mirror;
    mirror.apply(whole(3, { { "a", "1", 2 }, { "b", "1", 3 } }));

    // [WHEN] A later whole copy has one of them, after the history was lost
    EXPECT_TRUE(mirror.apply(whole(7, { { "a", "1", 2 } })));

    // [THEN] The other is gone, and another host that asks learns it
    EXPECT_FALSE(mirror.items().contains("b"));
    const Changes told = mirror.changesSince(3);
    ASSERT_EQ(told.removals.size(), 1U);
    EXPECT_EQ(told.removals.front().key, "b");
}

TEST(Mirror_Tests, Apply_ItemOlderThanItsRemoval_StaysRemoved)
{
    // [GIVEN] An item that was removed at revision 6
    Mirror mirror;
    mirror.apply(whole(3, { { "a", "1", 2 } }));
    mirror.apply(part(6, {}, { { "a", 6 } }));

    // [WHEN] A host that is behind tells its former value
    mirror.apply(part(6, { { "a", "1", 2 } }));

    // [THEN] It stays removed
    EXPECT_FALSE(mirror.items().contains("a"));
}

TEST(Mirror_Tests, ChangesSince_ContentRevision_BringsAnotherHostUpToDate)
{
    // [GIVEN] Two hosts with the same items
    Mirror first;
    Mirror second;
    first.apply(whole(3, { { "a", "1", 2 }, { "b", "1", 3 } }));
    second.apply(first.changesSince(0));

    // [WHEN] The first learns of changes
    first.apply(part(8, { { "a", "2", 5 } }, { { "b", 7 } }));
    second.apply(first.changesSince(second.contentRevision()));

    // [THEN] Both hold the same
    EXPECT_EQ(second.items(), first.items());
    EXPECT_EQ(second.contentRevision(), first.contentRevision());
}

TEST(Mirror_Tests, ChangesSince_WholeCopyWithALaterItem_LeavesNoGapAtAnotherHost)
{
    // [GIVEN] A copy of revision 5 whose later page held an item of revision 8, and a host told of
    // it
    Mirror reader;
    Mirror told;
    reader.apply(whole(5, { { "a", "1", 2 }, { "b", "2", 8 } }));
    told.apply(reader.changesSince(told.contentRevision()));

    // [WHEN] The reader learns what changed in between
    reader.apply(part(8, { { "a", "2", 6 }, { "b", "2", 8 } }));
    EXPECT_GT(reader.contentRevision(), told.contentRevision());
    told.apply(reader.changesSince(told.contentRevision()));

    // [THEN] The other host learns it too
    EXPECT_EQ(told.items(), reader.items());
}

TEST(Mirror_Tests, ContentRevision_WatchWithoutEvents_DoesNotMove)
{
    // [GIVEN] A copy
    Mirror mirror;
    mirror.apply(whole(3, { { "a", "1", 2 } }));
    const std::uint64_t before = mirror.contentRevision();

    // [WHEN] The source moves on without a change of these items
    EXPECT_FALSE(mirror.apply(part(20, {})));

    // [THEN] The watch continues from there, but no other host has to ask
    EXPECT_EQ(mirror.revision(), 20U);
    EXPECT_EQ(mirror.contentRevision(), before);
}

TEST(Mirror_Tests, ChangesSince_ForgottenRemovals_IsWhole)
{
    // [GIVEN] More removals than are remembered
    Mirror mirror;
    mirror.apply(whole(1, { { "kept", "1", 1 } }));
    std::uint64_t revision = 1;
    for (std::size_t i = 0; i < Mirror::MaxRemovals + 5; ++i) {
        ++revision;
        mirror.apply(part(revision, {}, { { "gone-" + std::to_string(i), revision } }));
    }

    // [THEN] A host from before gets everything, a later one the changes
    EXPECT_TRUE(mirror.changesSince(2).isSnapshot);
    EXPECT_FALSE(mirror.changesSince(revision - 1).isSnapshot);
}

} // namespace damaskgate::mirror
