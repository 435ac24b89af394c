#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "damaskgate/core/error.h"
#include "damaskgate/mirror/mirrortypes.h"

namespace damaskgate::mirror {

/** Where settings and endpoints are published; can only be read. */
class IMirrorSource
{
public:
    virtual ~IMirrorSource() = default;

    /** @return every item, or PlatformUnavailable. */
    virtual boost::asio::awaitable<core::Result<Changes>> readAll() = 0;

    /**
     * Waits for a change.
     *
     * @param after revision that the caller holds
     * @param wait until an empty answer is given
     * @return the changes, nothing when the history no longer reaches back to @p after, or
     *         PlatformUnavailable
     */
    virtual boost::asio::awaitable<core::Result<std::optional<Changes>>>
    watch(std::uint64_t after, std::chrono::milliseconds wait) = 0;
};

} // namespace damaskgate::mirror
