#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace damaskgate::mirror {

/** A published value. */
struct Item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0; //!< Revision of the last change of this item
    /** Revision in which the item was created after its last removal; zero if it is not known. */
    std::uint64_t createdRevision = 0;

    bool operator==(const Item &) const = default;
};

struct Removal
{
    std::string key;
    std::uint64_t revision = 0;

    bool operator==(const Removal &) const = default;
};

/** Changes that bring a copy of the published items to a given revision. */
struct Changes
{
    std::uint64_t revision = 0; //!< Revision of the copy after it applied these changes
    bool isSnapshot = false; //!< Whether all items are listed; a copy removes all others
    std::vector<Item> items;
    std::vector<Removal> removals;

    bool operator==(const Changes &) const = default;
};

} // namespace damaskgate::mirror
