#pragma once

#include <string>
#include <string_view>

#include "damaskgate/core/error.h"
#include "damaskgate/mirror/mirrortypes.h"

namespace damaskgate::mirror {

/** @return @p changes as bytes for another host. */
std::string encode(const Changes &changes);

/** @return the changes in @p bytes, or BadRequest when they are malformed. */
core::Result<Changes> decode(std::string_view bytes);

} // namespace damaskgate::mirror
