#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

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

    /**
     * @return the changes after revision @p after; a snapshot if @p after is zero or older than a
     *         removal that is no longer kept
     */
    Changes changesSince(std::uint64_t after) const;

    /** @return the revision of the last applied changes; zero before any are applied. */
    std::uint64_t revision() const;

    /** @return the highest revision that changed an item; hosts with equal items have it equal. */
    std::uint64_t contentRevision() const;

    const std::map<std::string, Item, std::less<>> &items() const;

private:
    bool applyItem(const Item &item);
    bool applyRemoval(const std::string &key, std::uint64_t revision);
    bool removeMissingItems(const Changes &snapshot);
    void discardOldRemovals();

    std::uint64_t appliedRevision = 0;
    std::uint64_t lastContentRevision = 0;
    std::uint64_t discardedRemovalRevision = 0; //!< Highest revision of a discarded removal
    std::map<std::string, Item, std::less<>> itemsByKey;
    std::map<std::string, std::uint64_t, std::less<>> removalRevisions;
};

} // namespace damaskgate::mirror
