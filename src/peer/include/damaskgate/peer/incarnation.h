#pragma once

#include <cstdint>

namespace damaskgate::peer {

/**
 * Creates a number that identifies this process among all processes that ever ran on its host.
 *
 * @return microseconds since 1970 by the wall clock in the upper 52 bits, random bits below; the
 *         number increases across restarts unless the wall clock is set back
 */
std::uint64_t makeIncarnation();

} // namespace damaskgate::peer
