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
    std::uint64_t revision = 0; //!< of its last change

    bool operator==(const Item &) const = default;
};

struct Removal
{
    std::string key;
    std::uint64_t revision = 0;

    bool operator==(const Removal &) const = default;
};

/** What changed up to a revision. */
struct Changes
{
    std::uint64_t revision = 0; //!< that the receiver holds afterwards
    bool isSnapshot = false; //!< the items are all there are; what is not among them is gone
    std::vector<Item> items;
    std::vector<Removal> removals;

    bool operator==(const Changes &) const = default;
};

} // namespace damaskgate::mirror
