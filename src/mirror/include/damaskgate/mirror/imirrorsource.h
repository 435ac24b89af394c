#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "damaskgate/core/error.h"
#include "damaskgate/mirror/mirrortypes.h"

namespace damaskgate::mirror {

/** Read-only access to the source, where settings and endpoints are published. */
class IMirrorSource
{
public:
    virtual ~IMirrorSource() = default;

    /** @return a snapshot of all items, or PlatformUnavailable. */
    virtual boost::asio::awaitable<core::Result<Changes>> readAll() = 0;

    /** @return the current revision of the source, by a call that does not wait; or an error. */
    virtual boost::asio::awaitable<core::Result<std::uint64_t>> readRevision() = 0;

    /**
     * Waits for changes after revision @p after.
     *
     * @param after revision of the local copy
     * @param wait longest wait, after which empty changes are returned
     * @return the changes; nothing if the history of the source no longer reaches back to
     *         @p after; or PlatformUnavailable
     */
    virtual boost::asio::awaitable<core::Result<std::optional<Changes>>>
    watch(std::uint64_t after, std::chrono::milliseconds wait) = 0;
};

} // namespace damaskgate::mirror
