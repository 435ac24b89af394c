#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "damaskgate/core/verdict.h"

namespace damaskgate::core {

/** Why a request or an operation was refused; each has one text, HTTP status and meaning. */
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
    Internal,
};

/** An error with the verdict that tells whether the request it concerns may have run. */
struct Error
{
    Reason reason = Reason::Internal;
    Verdict verdict = Verdict::NotRun;
    std::string detail;
    std::optional<std::chrono::milliseconds> retryAfter;
};

template <typename T>
using Result = tl::expected<T, Error>;

/** @return the reason as it stands in the Damaskgate-Reason field, such as `rate-limited`. */
std::string_view toText(Reason reason);

/** @return the HTTP status that a refusal with @p reason is sent with. */
int httpStatus(Reason reason);

/** @return an unexpected value for a Result: the request has not run. */
tl::unexpected<Error> notRun(Reason reason, std::string detail);

/** @return an unexpected value for a Result: the request may have run. */
tl::unexpected<Error> mayHaveRun(Reason reason, std::string detail);

} // namespace damaskgate::core
