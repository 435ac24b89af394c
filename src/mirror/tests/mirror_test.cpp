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

// Guards against hosts that go on using an endpoint after its removal, because they pulled the
// changes from a host that had started after the removal.
TEST(Mirror_Tests, ChangesSince_CopyStartedAfterARemoval_TellsOlderCopiesOfIt)
{
    // [GIVEN] A host that still holds an endpoint, and one that started after its removal
    Mirror behind;
    Mirror started;
    behind.apply(snapshot(3, { { "kept", "1", 2 }, { "endpoint", "1", 3 } }));
    started.apply(snapshot(9, { { "kept", "1", 2 }, { "other", "1", 8 } }));

    // [WHEN] The first one pulls the changes from the second one
    behind.apply(started.changesSince(behind.contentRevision()));

    // [THEN] It no longer holds the endpoint
    EXPECT_FALSE(behind.items().contains("endpoint"));
    EXPECT_EQ(behind.items(), started.items());
}

// Guards against the same loss when the host in between had no contact for a while.
TEST(Mirror_Tests, ChangesSince_CopySkippedAnItemByASnapshot_TellsCopiesThatHoldIt)
{
    // [GIVEN] A host that skipped revisions by a snapshot, and one that was in between
    Mirror skipped;
    Mirror between;
    skipped.apply(snapshot(3, { { "kept", "1", 3 } }));
    between.apply(snapshot(6, { { "kept", "1", 3 }, { "endpoint", "1", 6 } }));
    skipped.apply(snapshot(9, { { "kept", "1", 3 }, { "later", "1", 9 } }));

    // [THEN] The one in between learns of the removal, and one before the jump gets only changes
    between.apply(skipped.changesSince(between.contentRevision()));
    EXPECT_FALSE(between.items().contains("endpoint"));
    EXPECT_FALSE(skipped.changesSince(3).isSnapshot);
}

TEST(Mirror_Tests, ChangesSince_ManyJumps_OldCopiesGetASnapshot)
{
    // [GIVEN] A host that skipped revisions more often than it can remember one by one
    Mirror mirror;
    mirror.apply(snapshot(1, { { "kept", "1", 1 } }));
    std::uint64_t revision = 1;
    for (std::size_t i = 0; i < Mirror::MaxJumps + 2; ++i) {
        revision += 10;
        mirror.apply(snapshot(revision, { { "kept", "1", revision } }));
    }

    // [THEN] A copy from before the forgotten jumps gets a snapshot, a recent one the changes
    EXPECT_TRUE(mirror.changesSince(1).isSnapshot);
    EXPECT_FALSE(mirror.changesSince(revision - 10).isSnapshot);
}

// Guards against memory that grows with large items that another writer replaces.
TEST(Mirror_Tests, Apply_ManyLargeItemsReplaced_FormerValuesAreLimited)
{
    // [GIVEN] Eight items of 1 MB, each of which is replaced ten times
    constexpr std::uint64_t Items = 8;
    constexpr std::uint64_t Rounds = 10;
    constexpr std::size_t ValueBytes = 1000000;
    Mirror mirror;
    std::uint64_t revision = 0;
    for (std::uint64_t round = 0; round < Rounds; ++round) {
        for (std::uint64_t item = 0; item < Items; ++item) {
            ++revision;
            mirror.apply(
                { revision,
                  false,
                  { { "large" + std::to_string(item), std::string(ValueBytes, 'x'), revision } },
                  {} });
        }
    }

    // [THEN] The latest former values are kept, within the limit for all items
    std::size_t formerBytes = 0;
    for (std::uint64_t former = 1; former <= revision - Items; ++former) {
        const auto value = mirror.valueAt("large" + std::to_string((former - 1) % Items), former);
        formerBytes += value ? value->size() : 0;
    }
    EXPECT_LE(formerBytes, Mirror::MaxFormerBytes);
    EXPECT_GE(formerBytes, Mirror::MaxFormerBytes - ValueBytes);
    EXPECT_TRUE(mirror.valueAt("large7", revision - Items));

    // [WHEN] All items are removed
    Changes removals { ++revision, false, {}, {} };
    for (std::uint64_t item = 0; item < Items; ++item) {
        removals.removals.push_back({ "large" + std::to_string(item), revision });
    }
    mirror.apply(removals);

    // [THEN] Their former values are gone
    EXPECT_FALSE(mirror.valueAt("large7", revision - 1 - Items));
}

} // namespace damaskgate::mirror
