#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/routing/keyfilter.h"
#include "damaskgate/routing/requesttarget.h"
#include "damaskgate/routing/routeindex.h"

#include "damaskgate/entry/dialect.h"

#include "httptypes.h"

namespace damaskgate::entry {

/** What a request's header says, apart from routes and keys. */
struct RequestInfo
{
    routing::RequestTarget target;
    routing::KeyFilter keyFilter;
    std::string key; //!< empty when none was sent
    std::string method;
    std::string host; //!< that the request is addressed to; lower case, no port
    std::string sentTarget; //!< as it stands in the request line
    std::string traceId; //!< empty when the caller sent none that may be passed on
    std::string operationKey; //!< empty when none was sent
    std::optional<std::chrono::milliseconds> callerDeadline;
    bool isExpectingContinue = false;
};

/** A request's route and the workspace that it runs for. */
struct Permission
{
    routing::RouteIndexPtr index; //!< keeps the route alive
    const settings::Route *route = nullptr;
    core::WorkspaceName workspace; //!< empty on open routes
};

/**
 * @param dialect outlives the facts
 * @return what @p header says, or BadRequest
 */
core::Result<RequestInfo> readRequestInfo(const RequestHeader &header, const Dialect &dialect);

/** @return the permission of a request under @p index, or why it has none. */
core::Result<Permission> findPermission(const RequestInfo &info, routing::RouteIndexPtr index);

/**
 * @return the request line and the fields that the upstream gets, without framing and without the
 *         end of the header
 */
std::string makeForwardedHead(const RequestHeader &header, const RequestInfo &info,
                              const Permission &permission, const Dialect &dialect);

} // namespace damaskgate::entry
