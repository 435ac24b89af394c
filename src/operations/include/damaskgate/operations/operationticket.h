#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::operations {

/** Permits the callers of a workspace to run operations in the process that issued it. */
struct OperationTicket
{
    core::HostName host;
    std::uint64_t incarnation = 0; //!< incarnation of the issuing process
    core::Instant expiry; //!< on the monotonic clock of the issuing process
    core::WorkspaceName workspace;
};

/** @return the text form of @p ticket, signed with @p secret. */
std::string encodeTicket(const OperationTicket &ticket, std::string_view secret);

/** @return the ticket, or std::nullopt if @p text is malformed or not signed with @p secret. */
std::optional<OperationTicket> decodeTicket(std::string_view text, std::string_view secret);

} // namespace damaskgate::operations
