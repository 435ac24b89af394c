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
    std::uint64_t incarnation = 0; //!< differs at each start of the process
    std::string secret; //!< key that signs operation tickets; the same on all hosts
    core::Duration ticketLifetime { std::chrono::minutes(5) };
    std::size_t capacity = 50000; //!< largest number of operations in the table
};

/** Outcome of an operation that was begun. */
enum class OperationOutcome {
    NotRun, //!< no upstream can have read the request; the operation may be begun again
    MayHaveRun, //!< an upstream may have executed the operation; it is not begun again
    Ran, //!< an upstream responded; the operation is not begun again
};

/** Identifies an operation that was begun and must be ended: hash of the operation key. */
using OperationId = core::Sha256;

/**
 * Runs each operation at most once.
 *
 * An operation key consists of an operation ticket and an ID chosen by the caller. Only the process
 * that issued the ticket may run the operation. It keeps the operation in its table until the
 * ticket expires. If a ticket is valid and the operation is not in the issuer's table, then the
 * operation has never run.
 */
class OperationTable
{
public:
    explicit OperationTable(OperationOptions options);

    /** @return an encoded operation ticket for callers of @p workspace. */
    std::string issueTicket(const core::WorkspaceName &workspace, core::Instant now) const;

    /**
     * Begins an operation.
     *
     * @param operationKey `<ticket>/<id>` as sent by the caller
     * @param workspace of the key that the request carries
     * @return the operation, which must be ended with end(); or OperationKeyInvalid,
     *         OperationElsewhere, OperationRepeated or QueueFull, whose verdict refers to the
     *         operation and not to this call
     */
    core::Result<OperationId> begin(std::string_view operationKey,
                                    const core::WorkspaceName &workspace, core::Instant now);

    /**
     * Ends an operation that begin() returned.
     *
     * @param status HTTP status of the upstream's response; used for OperationOutcome::Ran only
     */
    void end(const OperationId &operation, OperationOutcome outcome, int status);

    /** @return the host that issued the ticket; empty if its text or signature is invalid. */
    core::HostName ownerOf(std::string_view operationKey) const;

    /** @return the number of operations in the table. */
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
    //! Operations that are not running, ordered by the expiry of their tickets.
    OperationsByExpiry endedOperations;
};

} // namespace damaskgate::operations
