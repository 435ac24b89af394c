#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/core/error.h"
#include "damaskgate/mirror/mirrortypes.h"

namespace damaskgate::mirror {

/** A value of an item that the receiver of a new value holds; an empty one at revision zero. */
struct BaseValue
{
    std::uint64_t revision = 0;
    std::string_view value;
};

/** Returns the base to which a value is compressed, or nothing to send the value as it is. */
using FindBase = std::function<std::optional<BaseValue>(const Item &item)>;

/** Returns the value of the item with a key at a revision, or nothing if it is not known. */
using FindValue =
    std::function<std::optional<std::string_view>(std::string_view key, std::uint64_t revision)>;

/** @return @p changes as a packed Cap'n Proto message. */
std::string encode(const Changes &changes, const FindBase &findBase);

/** @return the changes encoded in @p bytes, or BadRequest if they are malformed. */
core::Result<Changes> decode(std::string_view bytes, const FindValue &findValue);

} // namespace damaskgate::mirror
