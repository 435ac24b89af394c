#pragma once

#include <cstdint>
#include <variant>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"
#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::limits {

/** Asks the holder of a workspace's bucket for one token. */
struct TokenRequest
{
    std::uint64_t id = 0;
    core::Duration useWithin {}; //!< counted from when this was sent
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
    std::uint64_t incarnation = 0; //!< of the process that asked
    TokenOutcome outcome = TokenOutcome::Granted;
    std::chrono::milliseconds retryAfter {}; //!< when Empty
    core::HostName holder; //!< when NotHolder, the probable holder
};

/** Tokens that a holding had left when it was given up, for the holding after it. */
struct TokenHandover
{
    lease::PartitionId partition = 0;
    std::uint32_t epoch = 0; //!< of the holding that was given up
    core::WorkspaceName workspace;
    double tokens = 0;
};

using TokenMessage = std::variant<TokenRequest, TokenReply, TokenHandover>;

} // namespace damaskgate::limits
