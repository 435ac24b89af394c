#pragma once

#include "damaskgate/core/names.h"

namespace damaskgate::entry {

/** Bounds retries to a fraction of the requests, so that they cannot multiply an overload. */
class IRetryBudget
{
public:
    virtual ~IRetryBudget() = default;

    /** Counts a request to @p service that is forwarded for the first time. */
    virtual void onRequest(const core::ServiceName &service) = 0;

    /** @return whether a request to @p service may be sent again; nothing is taken. */
    virtual bool hasRetry(const core::ServiceName &service) = 0;

    /** @return whether one more retry may be made; takes it from the budget. */
    virtual bool tryConsume(const core::ServiceName &service) = 0;
};

} // namespace damaskgate::entry
