#pragma once

#include "damaskgate/core/names.h"

namespace damaskgate::entry {

/** Limits retries to a fraction of the requests, so that retries cannot amplify an overload. */
class IRetryBudget
{
public:
    virtual ~IRetryBudget() = default;

    /** Counts the first attempt of a request to @p service. */
    virtual void onRequest(const core::ServiceName &service) = 0;

    /** @return whether a retry to @p service is available; does not consume it. */
    virtual bool hasRetry(const core::ServiceName &service) = 0;

    /** Consumes one retry. @return whether one was available */
    virtual bool tryConsume(const core::ServiceName &service) = 0;

    /** Returns a retry that was consumed for an attempt whose request reached no endpoint. */
    virtual void restore(const core::ServiceName &service) = 0;
};

} // namespace damaskgate::entry
