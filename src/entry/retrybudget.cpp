#include "retrybudget.h"

#include <algorithm>

namespace damaskgate::entry {

void RetryBudget::onRequest()
{
    this->available = std::min(this->available + RetriesPerRequest, MaxRetries);
}

bool RetryBudget::tryTake()
{
    if (this->available < 1) {
        return false;
    }
    this->available -= 1;
    return true;
}

} // namespace damaskgate::entry
