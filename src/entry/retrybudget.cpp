#include "retrybudget.h"

#include <algorithm>

namespace damaskgate::entry {

void RetryBudget::onRequest(const core::ServiceName & /*service*/)
{
    this->available = std::min(this->available + RetriesPerRequest, MaxRetries);
}

bool RetryBudget::hasRetry(const core::ServiceName & /*service*/)
{
    return this->available >= 1;
}

bool RetryBudget::tryConsume(const core::ServiceName &service)
{
    if (!this->hasRetry(service)) {
        return false;
    }
    this->available -= 1;
    return true;
}

void RetryBudget::restore(const core::ServiceName & /*service*/)
{
    this->available = std::min(this->available + 1, MaxRetries);
}

} // namespace damaskgate::entry
