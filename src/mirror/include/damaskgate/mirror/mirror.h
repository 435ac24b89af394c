#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "damaskgate/mirror/mirrortypes.h"

namespace damaskgate::mirror {

/** This host's copy of the published items. Never goes back to an older revision. */
class Mirror
{
public:
    static constexpr std::size_t MaxRemovals = 1000; //!< remembered, to tell other hosts

    /** Takes @p changes in. @return whether any item changed */
    bool apply(const Changes &changes);

    /** @return what a host that holds revision @p after lacks. */
    Changes changesSince(std::uint64_t after) const;

    /** @return the revision that the copy is up to date with; zero before the first. */
    std::uint64_t revision() const;

    /** @return the highest revision that changed an item, equal on hosts with equal items. */
    std::uint64_t contentRevision() const;

    const std::map<std::string, Item, std::less<>> &items() const;

private:
    bool put(const Item &item);
    bool remove(const std::string &key, std::uint64_t revision);
    bool removeOthers(const Changes &whole);
    void forgetOldRemovals();

    std::uint64_t current = 0;
    std::uint64_t changedAt = 0;
    std::uint64_t removalsFrom = 0; //!< removals up to this revision are not remembered
    std::map<std::string, Item, std::less<>> held;
    std::map<std::string, std::uint64_t, std::less<>> removed;
};

} // namespace damaskgate::mirror
