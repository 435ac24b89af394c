#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::operations {

/** Right to run operations on one process, issued to the callers of a workspace. */
struct OperationTicket
{
    core::HostName host;
    std::uint64_t incarnation = 0; //!< of the only process that may run the operations
    core::Instant expiry; //!< on the monotonic clock of that process
    core::WorkspaceName workspace;
};

/** @return @p ticket as text, signed with @p secret. */
std::string encodeTicket(const OperationTicket &ticket, std::string_view secret);

/** @return the ticket, or nothing when @p text is malformed or not signed with @p secret. */
std::optional<OperationTicket> decodeTicket(std::string_view text, std::string_view secret);

} // namespace damaskgate::operations
