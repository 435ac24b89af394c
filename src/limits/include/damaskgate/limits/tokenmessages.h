#pragma once

#include <cstdint>
#include <variant>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"
#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::limits {

/** Requests one token from the holder of a workspace's bucket. */
struct TokenRequest
{
    std::uint64_t id = 0;
    core::Duration useWithin {}; //!< time from sending within which the token will be used
    core::WorkspaceName workspace;
};

enum class TokenOutcome : std::uint16_t {
    Granted,
    Empty,
    NotHolder,
};

struct TokenReply
{
    std::uint64_t id = 0;
    std::uint64_t incarnation = 0; //!< incarnation of the requester
    TokenOutcome outcome = TokenOutcome::Granted;
    std::chrono::milliseconds retryAfter {}; //!< for outcome Empty: time until a token is available
    core::HostName holder; //!< for outcome NotHolder: the probable holder, may be empty
};

/** Hands the tokens left at the release of a lease to the next holder. */
struct TokenHandover
{
    lease::PartitionId partition = 0;
    std::uint32_t epoch = 0; //!< epoch of the released lease
    core::WorkspaceName workspace;
    double tokens = 0;
};

using TokenMessage = std::variant<TokenRequest, TokenReply, TokenHandover>;

} // namespace damaskgate::limits
