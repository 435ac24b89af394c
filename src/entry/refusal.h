#pragma once

#include <string>
#include <string_view>

#include "damaskgate/core/error.h"
#include "damaskgate/entry/dialect.h"

namespace damaskgate::entry {

/** Error response of this host to a request that it does not serve. */
struct Refusal
{
    core::Error error;
    int status = 0;
    std::string_view traceId;
    std::string_view host; //!< host that owns the operation ticket; empty if unknown
    bool isClosing = false; //!< the connection closes after this response
    bool isHead = false; //!< response to a HEAD request: no body is sent
};

/** @return the HTTP status code of a refusal with @p error. */
int statusOf(const core::Error &error, const Dialect &dialect);

/** @return @p refusal as a complete HTTP response. */
std::string toMessage(const Refusal &refusal, const Dialect &dialect);

/** @return a complete HTTP response with status 200 and the JSON text @p body. */
std::string makeJsonResponse(std::string_view body, bool isClosing, bool isHead);

} // namespace damaskgate::entry
