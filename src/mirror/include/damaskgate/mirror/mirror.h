#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/mirror/mirrortypes.h"

namespace damaskgate::mirror {

/** This host's copy of the published items. Changes older than its revision are ignored. */
class Mirror
{
public:
    /** Largest number of removals that are kept to be sent to other hosts. */
    static constexpr std::size_t MaxRemovals = 1000;

    /** Applies @p changes. @return whether any item changed */
    bool apply(const Changes &changes);

    /** Largest number of jumps that are remembered one by one. */
    static constexpr std::size_t MaxJumps = 16;

    /**
     * @return the changes after revision @p after; a snapshot if @p after is zero or if removals
     *         after it may be unknown to this copy
     */
    Changes changesSince(std::uint64_t after) const;

    /** Size in bytes from which the former values of an item are kept; see valueAt(). */
    static constexpr std::size_t LargeValueBytes = 4096;
    /** Largest number of former values that are kept of an item. */
    static constexpr std::size_t MaxFormerValues = 8;
    /** Limit of the former values of all items, in bytes. The oldest ones are discarded first. */
    static constexpr std::size_t MaxFormerBytes = 8UL * 1024 * 1024;

    /**
     * @return the value that the item @p key had at its revision @p revision; nothing if it was not
     *         large or is no longer kept
     */
    std::optional<std::string_view> valueAt(std::string_view key, std::uint64_t revision) const;

    /** @return the revisions of the items whose current value is large. */
    std::vector<std::uint64_t> largeItemRevisions() const;

    /** @return the revision of the last applied changes; zero before any are applied. */
    std::uint64_t revision() const;

    /** @return the highest revision that changed an item; hosts with equal items have it equal. */
    std::uint64_t contentRevision() const;

    const std::map<std::string, Item, std::less<>> &items() const;

private:
    /**
     * A snapshot that moved this copy forward. Items that were added and removed between the two
     * revisions are unknown to this copy, but another copy may hold them.
     */
    struct Jump
    {
        std::uint64_t from = 0; //!< content revision before the snapshot
        std::uint64_t to = 0; //!< revision of the snapshot
    };

    bool areRemovalsKnownSince(std::uint64_t after) const;
    void recordJump(std::uint64_t from, std::uint64_t to);
    bool applyItem(const Item &item);
    bool applyRemoval(const std::string &key, std::uint64_t revision);
    bool removeMissingItems(const Changes &snapshot);
    void keepFormer(const Item &item);
    void discardOldestFormer();
    void discardFormer(const std::string &key);
    void discardOldRemovals();

    std::uint64_t appliedRevision = 0;
    std::uint64_t lastContentRevision = 0;
    std::uint64_t discardedRemovalRevision = 0; //!< Highest revision of a discarded removal
    std::deque<Jump> jumps; //!< oldest first
    std::map<std::string, Item, std::less<>> itemsByKey;
    std::map<std::string, std::uint64_t, std::less<>> removalRevisions;
    std::map<std::string, std::deque<Item>, std::less<>> formerItems; //!< large ones, oldest first
    std::size_t formerBytes = 0; //!< size of all values in formerItems
};

} // namespace damaskgate::mirror
