#pragma once

#include <cstdint>
#include <functional>

#include "damaskgate/core/error.h"

#include "damaskgate/balance/balancetypes.h"

namespace damaskgate::balance {

/** Queues the requests of each service fairly and selects an endpoint for each request. */
class IBalancer
{
public:
    using Done = std::function<void(core::Result<SlotGrant>)>;

    virtual ~IBalancer() = default;

    /**
     * Queues @p request until a slot of a suitable endpoint is free.
     *
     * @param done called exactly once on the data thread, possibly before acquire() returns. Its
     *        errors are QueueFull, DeadlineTooShort and NoEndpoint, always with verdict NotRun.
     * @return id for cancel(); zero if @p done has been called already
     */
    virtual std::uint64_t acquire(const WorkRequest &request, Done done) = 0;

    /** Removes a queued request whose caller disconnected; its `done` is not called. */
    virtual void cancel(std::uint64_t requestId) = 0;

    /** Releases the slot @p grantId and records the result of the exchange. */
    virtual void release(std::uint64_t grantId, const ExchangeReport &report) = 0;
};

} // namespace damaskgate::balance
