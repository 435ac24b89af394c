#pragma once

#include <string>
#include <string_view>

#include "damaskgate/core/error.h"
#include "damaskgate/entry/dialect.h"

namespace damaskgate::entry {

/** An answer of this host itself to a request that it does not serve. */
struct Refusal
{
    core::Error error;
    int status = 0;
    std::string_view traceId;
    std::string_view host; //!< that the request should go to; empty where none is known
    bool isClosing = false; //!< the connection ends with this answer
    bool isHead = false; //!< the request asked for the header only
};

/** @return the status that a refusal with @p error is sent with. */
int statusOf(const core::Error &error, const Dialect &dialect);

/** @return @p refusal as an HTTP message. */
std::string toMessage(const Refusal &refusal, const Dialect &dialect);

/** @return an answer of status 200 with @p body as JSON. */
std::string makeJsonResponse(std::string_view body, bool isClosing, bool isHead);

} // namespace damaskgate::entry
