#pragma once

#include <string>
#include <string_view>

#include "damaskgate/core/error.h"
#include "damaskgate/mirror/mirrortypes.h"

namespace damaskgate::mirror {

/** @return @p changes as a packed Cap'n Proto message. */
std::string encode(const Changes &changes);

/** @return the changes encoded in @p bytes, or BadRequest if they are malformed. */
core::Result<Changes> decode(std::string_view bytes);

} // namespace damaskgate::mirror
