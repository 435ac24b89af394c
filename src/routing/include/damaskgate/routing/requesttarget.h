#pragma once

#include <string>
#include <string_view>

#include "damaskgate/core/error.h"

namespace damaskgate::routing {

/** The path and query of a request, in one form that router and upstream read alike. */
struct RequestTarget
{
    std::string path; //!< starts with a slash; only reserved characters are percent-encoded
    std::string query; //!< without the question mark, as the caller sent it
    std::string authority; //!< of an absolute form; empty otherwise
};

/**
 * Normalises the target of a request line, in origin or absolute form.
 *
 * Dot segments, empty segments, encoded or backward slashes, control characters, fragments and
 * broken percent-encoding are refused, because upstreams read them in different ways.
 *
 * @return the target, or BadRequest
 */
core::Result<RequestTarget> normalizeTarget(std::string_view target);

} // namespace damaskgate::routing
