#pragma once

#include <optional>
#include <string_view>

#include "damaskgate/entry/dialect.h"

#include "httptypes.h"

namespace damaskgate::entry {

/** What is known of the connection on which a response header was received. */
struct HeadOrigin
{
    std::string_view raw; //!< the header as received, from the status line to the empty line
    bool isReused = false; //!< the connection has served earlier requests
};

/**
 * Checks that a response header comes from one response as a whole. An endpoint in trouble sends
 * statuses that do not exist, and bytes beyond a complete response. On a connection that is used
 * again, such bytes precede the next response and can parse together with it as one header, with
 * the status and the fields of both.
 *
 * @return why the header is no response to a request, or nothing
 */
std::optional<std::string_view> findHeadFault(const ResponseHeader &header,
                                              const HeadOrigin &origin, const Dialect &dialect);

} // namespace damaskgate::entry
