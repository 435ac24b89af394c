#pragma once

#include <cstdint>

namespace damaskgate::peer {

/**
 * Makes the number that tells this process from every other process that ever ran at its host.
 *
 * @return microseconds of wall-clock time since 1970 in the upper 52 bits, random below; it rises
 *         across restarts as long as the wall clock does
 */
std::uint64_t makeIncarnation();

} // namespace damaskgate::peer
