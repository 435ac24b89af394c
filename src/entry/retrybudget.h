#pragma once

namespace damaskgate::entry {

/** Bounds retries to a fraction of the requests, so that they cannot multiply an overload. */
class RetryBudget
{
public:
    /** Counts a request that is forwarded for the first time. */
    void onRequest();

    /** @return whether one more retry may be made; takes it from the budget. */
    bool tryTake();

private:
    static constexpr double RetriesPerRequest = 0.1;
    static constexpr double MaxRetries = 20;

    double available = MaxRetries;
};

} // namespace damaskgate::entry
