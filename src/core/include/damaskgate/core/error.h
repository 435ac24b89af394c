#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "damaskgate/core/verdict.h"

namespace damaskgate::core {

/**
 * Why a request or an operation was refused or failed. Each reason has one text and one HTTP
 * status.
 */
enum class Reason {
    BadRequest,
    KeyMissing,
    KeyUnknown,
    RouteUnknown,
    RateLimited,
    LimiterUnavailable,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    NoEndpoint,
    UpstreamShed,
    UpstreamUnreachable,
    UpstreamFailed,
    UpstreamTimeout,
    SettingsStale,
    Draining,
    OperationKeyInvalid,
    OperationElsewhere,
    OperationRepeated,
    SettingsInvalid,
    PlatformUnavailable,
    PeerUnreachable,
    CallerLeft,
    Internal,
};

/** An error, with the verdict whether an upstream may have executed the failed request. */
struct Error
{
    Reason reason = Reason::Internal;
    Verdict verdict = Verdict::NotRun;
    std::string detail;
    std::optional<std::chrono::milliseconds> retryAfter;
};

template <typename T>
using Result = tl::expected<T, Error>;

/** @return the value of the Damaskgate-Reason field for @p reason, such as `rate-limited`. */
std::string_view toText(Reason reason);

/** @return the HTTP status of a response that refuses a request with @p reason. */
int httpStatus(Reason reason);

/** @return an unexpected Result value with the verdict NotRun. */
tl::unexpected<Error> notRun(Reason reason, std::string detail);

/** @return an unexpected Result value with the verdict MayHaveRun. */
tl::unexpected<Error> mayHaveRun(Reason reason, std::string detail);

} // namespace damaskgate::core
