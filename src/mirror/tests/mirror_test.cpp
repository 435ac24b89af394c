#include <gtest/gtest.h>

#include "damaskgate/mirror/mirror.h"

namespace damaskgate::mirror {

namespace {

Changes snapshot(std::uint64_t revision, std::vector<Item> items)
{
    return { revision, true, std::move(items), {} };
}

Changes update(std::uint64_t revision, std::vector<Item> items, std::vector<Removal> removals = {})
{
    return { revision, false, std::move(items), std::move(removals) };
}

} // namespace

TEST(Mirror_Tests, Apply_OlderChanges_AreIgnored)
{
    // [GIVEN] A copy of revision 9
    Mirror mirror;
    mirror.apply(snapshot(9, { { "a", "new", 8 } }));

    // [WHEN] An older snapshot arrives late
    const bool isChanged = mirror.apply(snapshot(5, { { "a", "old", 4 } }));

    // [THEN] The copy keeps the newer item
    EXPECT_FALSE(isChanged);
    EXPECT_EQ(mirror.items().at("a").value, "new");
}

TEST(Mirror_Tests, Apply_SnapshotWithoutItem_RemovesIt)
{
    // [GIVEN] Two items
    Mirror mirror;
    mirror.apply(snapshot(3, { { "a", "1", 2 }, { "b", "1", 3 } }));

    // [WHEN] The source lost its history and a later snapshot lists only one of them
    EXPECT_TRUE(mirror.apply(snapshot(7, { { "a", "1", 2 } })));

    // [THEN] The other is removed, and its removal is reported to other hosts
    EXPECT_FALSE(mirror.items().contains("b"));
    const Changes changes = mirror.changesSince(3);
    ASSERT_EQ(changes.removals.size(), 1U);
    EXPECT_EQ(changes.removals.front().key, "b");
}

TEST(Mirror_Tests, Apply_ItemOlderThanItsRemoval_StaysRemoved)
{
    // [GIVEN] An item that was removed at revision 6
    Mirror mirror;
    mirror.apply(snapshot(3, { { "a", "1", 2 } }));
    mirror.apply(update(6, {}, { { "a", 6 } }));

    // [WHEN] A host with an older copy sends the former value
    mirror.apply(update(6, { { "a", "1", 2 } }));

    // [THEN] It stays removed
    EXPECT_FALSE(mirror.items().contains("a"));
}

TEST(Mirror_Tests, ChangesSince_ContentRevision_BringsAnotherHostUpToDate)
{
    // [GIVEN] Two hosts with the same items
    Mirror first;
    Mirror second;
    first.apply(snapshot(3, { { "a", "1", 2 }, { "b", "1", 3 } }));
    second.apply(first.changesSince(0));

    // [WHEN] The first host receives changes and the second one pulls them
    first.apply(update(8, { { "a", "2", 5 } }, { { "b", 7 } }));
    second.apply(first.changesSince(second.contentRevision()));

    // [THEN] Both hold the same items
    EXPECT_EQ(second.items(), first.items());
    EXPECT_EQ(second.contentRevision(), first.contentRevision());
}

TEST(Mirror_Tests, ChangesSince_SnapshotWithALaterItem_LeavesNoGapAtAnotherHost)
{
    // [GIVEN] A snapshot of revision 5 whose later page holds an item of revision 8, and a host
    // that received it from the reader
    Mirror reader;
    Mirror receiver;
    reader.apply(snapshot(5, { { "a", "1", 2 }, { "b", "2", 8 } }));
    receiver.apply(reader.changesSince(receiver.contentRevision()));

    // [WHEN] The reader receives the changes up to revision 8
    reader.apply(update(8, { { "a", "2", 6 }, { "b", "2", 8 } }));
    EXPECT_GT(reader.contentRevision(), receiver.contentRevision());
    receiver.apply(reader.changesSince(receiver.contentRevision()));

    // [THEN] The other host receives it too
    EXPECT_EQ(receiver.items(), reader.items());
}

TEST(Mirror_Tests, ContentRevision_WatchWithoutEvents_DoesNotMove)
{
    // [GIVEN] A copy
    Mirror mirror;
    mirror.apply(snapshot(3, { { "a", "1", 2 } }));
    const std::uint64_t before = mirror.contentRevision();

    // [WHEN] The source moves on without a change of these items
    EXPECT_FALSE(mirror.apply(update(20, {})));

    // [THEN] The watch continues from there, but no other host has to pull
    EXPECT_EQ(mirror.revision(), 20U);
    EXPECT_EQ(mirror.contentRevision(), before);
}

TEST(Mirror_Tests, ChangesSince_DiscardedRemovals_IsSnapshot)
{
    // [GIVEN] More removals than are kept
    Mirror mirror;
    mirror.apply(snapshot(1, { { "kept", "1", 1 } }));
    std::uint64_t revision = 1;
    for (std::size_t i = 0; i < Mirror::MaxRemovals + 5; ++i) {
        ++revision;
        mirror.apply(update(revision, {}, { { "gone-" + std::to_string(i), revision } }));
    }

    // [THEN] A host older than the discarded removals gets a snapshot, a newer one the changes
    EXPECT_TRUE(mirror.changesSince(2).isSnapshot);
    EXPECT_FALSE(mirror.changesSince(revision - 1).isSnapshot);
}

} // namespace damaskgate::mirror
