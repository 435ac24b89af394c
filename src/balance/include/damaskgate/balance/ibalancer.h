#pragma once

#include <cstdint>
#include <functional>

#include "damaskgate/core/error.h"

#include "damaskgate/balance/balancetypes.h"

namespace damaskgate::balance {

/** Queues requests fairly in front of a service and chooses an endpoint for each. */
class IBalancer
{
public:
    using Done = std::function<void(core::Result<SlotGrant>)>;

    virtual ~IBalancer() = default;

    /**
     * Queues @p request until a slot of a suitable endpoint is free.
     *
     * @param done called exactly once on the data thread, possibly before this returns; fails with
     *        QueueFull, DeadlineTooShort or NoEndpoint, always NotRun
     * @return an id for cancel(); zero when @p done has been called already
     */
    virtual std::uint64_t acquire(const WorkRequest &request, Done done) = 0;

    /** Drops a queued request whose caller left; its `done` is not called any more. */
    virtual void cancel(std::uint64_t requestId) = 0;

    /** Gives back the slot @p grantId with what the exchange told about its endpoint. */
    virtual void release(std::uint64_t grantId, const ExchangeReport &report) = 0;
};

} // namespace damaskgate::balance
