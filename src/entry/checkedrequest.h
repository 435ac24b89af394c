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

/** Data parsed from a request header, independent of routes and workspaces. */
struct RequestInfo
{
    routing::RequestTarget target;
    std::string routedPath; //!< path that selects the route: the one that the endpoint gets
    routing::KeyFilter keyFilter;
    std::string key; //!< empty if none was sent
    std::string method;
    std::string host; //!< requested host name; lower case, without port
    std::string sentTarget; //!< target as received in the request line
    std::string traceId; //!< empty if the caller sent none or an unusable one
    std::string operationKey; //!< empty if none was sent
    std::optional<std::chrono::milliseconds> callerDeadline;
    bool isExpectingContinue = false;
};

/** Route of a request and the workspace on whose behalf it runs. */
struct Permission
{
    routing::RouteIndexPtr index; //!< keeps the object that route points to alive
    const settings::Route *route = nullptr;
    core::WorkspaceName workspace; //!< empty on open routes
    std::uint32_t priority = 0; //!< of the workspace if it has one, otherwise of the route
};

/**
 * Parses a request header.
 *
 * @param dialect must outlive the result
 * @return the parsed data, or BadRequest, OperationKeyInvalid or an error of the target or key
 */
core::Result<RequestInfo> readRequestInfo(const RequestHeader &header, const Dialect &dialect);

/** @return route and workspace of the request according to @p index, or the reason of refusal. */
core::Result<Permission> findPermission(const RequestInfo &info, routing::RouteIndexPtr index);

/** @return request line and fields for the endpoint, without framing and final empty line. */
std::string makeForwardedHead(const RequestHeader &header, const RequestInfo &info,
                              const Permission &permission, const Dialect &dialect);

} // namespace damaskgate::entry
