#pragma once

#include <string>
#include <string_view>

#include "damaskgate/core/error.h"

namespace damaskgate::routing {

/** The target of a request, normalized so that router and upstream interpret it in the same way. */
struct RequestTarget
{
    std::string path; //!< Path with a leading slash; unreserved characters are decoded
    std::string sentPath; //!< Path as the caller sent it
    std::string query; //!< Query as the caller sent it, without the question mark
    std::string authority; //!< Authority of a target in absolute form; else empty
};

/**
 * Normalizes the target of a request line, in origin or absolute form.
 *
 * Dot segments, empty segments, encoded slashes, backslashes, encoded percent signs, control
 * characters, fragments and invalid percent-encoding are rejected, because upstreams interpret them
 * in different ways.
 *
 * @return the normalized target, or BadRequest
 */
core::Result<RequestTarget> normalizeTarget(std::string_view target);

} // namespace damaskgate::routing
