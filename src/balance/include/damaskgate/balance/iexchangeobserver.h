#pragma once

#include <cstdint>

#include "damaskgate/balance/balancetypes.h"

namespace damaskgate::balance {

/** Observer of the exchanges that the balancer starts; called on the data thread. */
class IExchangeObserver
{
public:
    virtual ~IExchangeObserver() = default;

    /**
     * Called before an exchange starts.
     *
     * @param isWarm whether the endpoint is warm, so that its latency is comparable with others
     */
    virtual void onStarted(const SlotGrant &grant, bool isWarm, core::Instant now) = 0;

    /** Called after the exchange under @p grantId has ended. */
    virtual void onEnded(std::uint64_t grantId, const ExchangeReport &report,
                         core::Instant now) = 0;
};

} // namespace damaskgate::balance
