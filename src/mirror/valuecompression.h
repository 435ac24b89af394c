#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "damaskgate/core/error.h"

namespace damaskgate::mirror {

/**
 * Compresses @p value.
 *
 * @param base another value; content that both share takes next to no space. The same base is
 *        needed to restore the value; it may be empty.
 * @return a zstd frame with a checksum; nothing of it if the library fails
 */
std::string compress(std::string_view value, std::string_view base);

/**
 * Restores a value that compress() has compressed.
 *
 * @param size size of the value in bytes
 * @param base the base that was given to compress()
 * @return the value, or BadRequest if @p frame is damaged or @p base is another one
 */
core::Result<std::string> decompress(std::string_view frame, std::size_t size,
                                     std::string_view base);

} // namespace damaskgate::mirror
