#pragma once

#include "damaskgate/entry/iretrybudget.h"

namespace damaskgate::entry {

/** Retry budget of one host, shared by all services. */
class RetryBudget final : public IRetryBudget
{
public:
    void onRequest(const core::ServiceName &service) override;
    bool hasRetry(const core::ServiceName &service) override;
    bool tryConsume(const core::ServiceName &service) override;
    void restore(const core::ServiceName &service) override;

private:
    static constexpr double RetriesPerRequest = 0.1;
    static constexpr double MaxRetries = 20;

    double available = MaxRetries;
};

} // namespace damaskgate::entry
