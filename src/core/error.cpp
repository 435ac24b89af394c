#include "damaskgate/core/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace damaskgate::core {

namespace {

struct ReasonEntry
{
    Reason reason;
    std::string_view text;
    int httpStatus;
};

constexpr std::array ReasonTable {
    ReasonEntry { Reason::BadRequest, "bad-request", 400 },
    ReasonEntry { Reason::KeyMissing, "key-missing", 401 },
    ReasonEntry { Reason::KeyUnknown, "key-unknown", 401 },
    ReasonEntry { Reason::RouteUnknown, "route-unknown", 404 },
    ReasonEntry { Reason::RateLimited, "rate-limited", 429 },
    ReasonEntry { Reason::LimiterUnavailable, "limiter-unavailable", 503 },
    ReasonEntry { Reason::QueueFull, "queue-full", 503 },
    ReasonEntry { Reason::DeadlineTooShort, "deadline-too-short", 503 },
    ReasonEntry { Reason::DeadlineExceeded, "deadline-exceeded", 504 },
    ReasonEntry { Reason::NoEndpoint, "no-endpoint", 503 },
    ReasonEntry { Reason::UpstreamShed, "upstream-shed", 503 },
    ReasonEntry { Reason::UpstreamUnreachable, "upstream-unreachable", 502 },
    ReasonEntry { Reason::UpstreamFailed, "upstream-failed", 502 },
    ReasonEntry { Reason::UpstreamTimeout, "upstream-timeout", 504 },
    ReasonEntry { Reason::SettingsStale, "settings-stale", 503 },
    ReasonEntry { Reason::Draining, "draining", 503 },
    ReasonEntry { Reason::OperationKeyInvalid, "operation-key-invalid", 400 },
    ReasonEntry { Reason::OperationElsewhere, "operation-elsewhere", 409 },
    ReasonEntry { Reason::OperationRepeated, "operation-repeated", 409 },
    ReasonEntry { Reason::SettingsInvalid, "settings-invalid", 500 },
    ReasonEntry { Reason::PlatformUnavailable, "platform-unavailable", 503 },
    ReasonEntry { Reason::PeerUnreachable, "peer-unreachable", 503 },
    // Appears in logs and metrics only: there is no caller left to answer.
    ReasonEntry { Reason::CallerLeft, "caller-left", 499 },
    ReasonEntry { Reason::Internal, "internal", 500 },
};

const ReasonEntry &entryFor(Reason reason)
{
    const auto *found = std::ranges::find(ReasonTable, reason, &ReasonEntry::reason);
    return found == ReasonTable.end() ? ReasonTable.back() : *found;
}

} // namespace

std::string_view toText(Reason reason)
{
    return entryFor(reason).text;
}

int httpStatus(Reason reason)
{
    return entryFor(reason).httpStatus;
}

tl::unexpected<Error> notRun(Reason reason, std::string detail)
{
    return tl::unexpected(Error { reason, Verdict::NotRun, std::move(detail), std::nullopt });
}

tl::unexpected<Error> mayHaveRun(Reason reason, std::string detail)
{
    return tl::unexpected(Error { reason, Verdict::MayHaveRun, std::move(detail), std::nullopt });
}

} // namespace damaskgate::core
