#pragma once

#include <cstdint>

#include "damaskgate/balance/balancetypes.h"

namespace damaskgate::balance {

/** Sees the exchanges that the balancer starts; called on the data thread. */
class IExchangeObserver
{
public:
    virtual ~IExchangeObserver() = default;

    /**
     * An exchange is about to start.
     *
     * @param isWarm whether its latency may be compared with that of other endpoints
     */
    virtual void onStarted(const SlotGrant &grant, bool isWarm, core::Instant now) = 0;

    /** The exchange under @p grantId ended. */
    virtual void onEnded(std::uint64_t grantId, const ExchangeReport &report,
                         core::Instant now) = 0;
};

} // namespace damaskgate::balance
