#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "damaskgate/core/error.h"
#include "damaskgate/core/hash.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/operations/operationticket.h"

namespace damaskgate::operations {

/** Identity and limits of an OperationTable. */
struct OperationOptions
{
    core::HostName host;
    std::uint64_t incarnation = 0; //!< differs with each start of the process
    std::string secret; //!< signs tickets; equal on all hosts
    core::Duration ticketLifetime { std::chrono::minutes(5) };
    std::size_t capacity = 50000; //!< operations remembered at the same time
};

/** How an operation that was begun ended. */
enum class OperationOutcome {
    NotRun, //!< no upstream can have read it; it may be begun again
    MayHaveRun, //!< an upstream may have executed it; never begun again
    Ran, //!< an upstream answered it; never begun again
};

/** Names an operation that was begun and must be ended. */
using OperationId = core::Sha256;

/**
 * Runs each operation at most once.
 *
 * An operation is named by a ticket and the caller's own id. Only the process that issued the
 * ticket may run it, and that process remembers it until the ticket expires. A process that does
 * not know the operation of a valid ticket of its own has therefore never run it.
 */
class OperationTable
{
public:
    explicit OperationTable(OperationOptions options);

    /** @return a ticket for callers of @p workspace, as text. */
    std::string issueTicket(const core::WorkspaceName &workspace, core::Instant now) const;

    /**
     * Begins an operation.
     *
     * @param operationKey `<ticket>/<id>` as the caller sent it
     * @param workspace whose key came with the request
     * @return the operation, which must be ended; or OperationKeyInvalid, OperationElsewhere,
     *         OperationRepeated or QueueFull with the verdict on the operation, not on this attempt
     */
    core::Result<OperationId> begin(std::string_view operationKey,
                                    const core::WorkspaceName &workspace, core::Instant now);

    /**
     * Ends an operation that begin() returned.
     *
     * @param status of the upstream's answer; only for OperationOutcome::Ran
     */
    void end(const OperationId &operation, OperationOutcome outcome, int status);

    /** @return the host named by a ticket that is signed rightly; empty for any other. */
    core::HostName ownerOf(std::string_view operationKey) const;

    /** @return operations remembered now. */
    std::size_t size() const;

private:
    enum class State {
        Running,
        MayHaveRun,
        Ran,
    };
    struct Entry
    {
        State state = State::Running;
        int status = 0;
        core::Instant expiry;
    };
    struct IdHash
    {
        std::size_t operator()(const OperationId &id) const noexcept;
    };
    using OperationsByExpiry = std::multimap<core::Instant, OperationId>;

    core::Result<void> checkOwner(const OperationTicket &ticket,
                                  const core::WorkspaceName &workspace) const;
    static core::Error repeatError(const Entry &entry);
    void removeExpired(core::Instant now);

    OperationOptions options;
    std::unordered_map<OperationId, Entry, IdHash> entries;
    OperationsByExpiry
        endedOperations; //!< operations that are not running, by the expiry of their tickets
};

} // namespace damaskgate::operations
