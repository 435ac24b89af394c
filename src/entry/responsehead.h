#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/balance/balancetypes.h"
#include "damaskgate/entry/dialect.h"

#include "httptypes.h"

namespace damaskgate::entry {

/** Framing of the response body that is sent to the caller. */
enum class ResponseFraming {
    None, //!< no body
    Length,
    Chunked,
    UntilClose,
};

/** @return the framing for a caller of HTTP version @p callerVersion: 10 or 11. */
ResponseFraming chooseFraming(const ResponseParser &parser, bool isHeadRequest,
                              unsigned callerVersion);

/** @return the status line and the fields for the caller, without the framing. */
std::string makeResponseFields(const ResponseParser &parser, std::string_view traceId,
                               const Dialect &dialect);

/** @return the complete response header for the caller, with the final empty line. */
std::string makeResponseHead(const ResponseParser &parser, ResponseFraming framing,
                             std::string_view traceId, bool isClosing, const Dialect &dialect);

/**
 * @param fields status line and fields, from makeResponseFields()
 * @param length of the body; a response to HEAD has it without a body
 * @return a complete response
 */
std::string makeSizedResponse(std::string fields, std::string_view body, std::size_t length,
                              bool isClosing);

/** @return the load that the endpoint reported in @p header, or nothing. */
std::optional<balance::LoadReport> readLoad(const ResponseHeader &header, const Dialect &dialect);

/** @return what the endpoint announced about itself in @p header. */
balance::EndpointNotice readNotice(const ResponseHeader &header, const Dialect &dialect);

/** @return whether the endpoint explicitly reported that it did not run the request. */
bool isShed(const ResponseHeader &header, const Dialect &dialect);

} // namespace damaskgate::entry
