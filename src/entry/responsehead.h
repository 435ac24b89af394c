#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/balance/balancetypes.h"
#include "damaskgate/entry/dialect.h"

#include "httptypes.h"

namespace damaskgate::entry {

/** How the body of an answer is delimited towards the caller. */
enum class ResponseFraming {
    None, //!< no body follows
    Length,
    Chunked,
    UntilClose,
};

/** @return how the answer of @p parser is sent to a caller of @p callerVersion, such as 11. */
ResponseFraming chooseFraming(const ResponseParser &parser, bool isHeadRequest,
                              unsigned callerVersion);

/** @return the header of the answer for the caller, whole. */
std::string makeResponseHead(const ResponseParser &parser, ResponseFraming framing,
                             std::string_view traceId, bool isClosing, const Dialect &dialect);

/** @return the load that the endpoint reports in its answer, or nothing. */
std::optional<balance::LoadReport> readLoad(const ResponseHeader &header, const Dialect &dialect);

/** @return whether the endpoint says explicitly that it did not run the request. */
bool isShed(const ResponseHeader &header, const Dialect &dialect);

} // namespace damaskgate::entry
