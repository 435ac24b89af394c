#pragma once

#include "damaskgate/balance/ibalancer.h"

namespace damaskgate::entry {

/** Releases a slot exactly once, also if the exchange throws. */
class SlotGuard
{
public:
    SlotGuard(balance::IBalancer &balancer, std::uint64_t grantId)
        : balancer(balancer), grantId(grantId)
    {}

    ~SlotGuard()
    {
        this->balancer.release(this->grantId, this->report);
    }

    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

    /** Sets the report passed on release; without it the outcome is Cancelled. */
    void setReport(const balance::ExchangeReport &next)
    {
        this->report = next;
    }

    /** Adds to the report that the request is sent to another endpoint. */
    void setRetried()
    {
        this->report.isRetried = true;
    }

private:
    balance::IBalancer &balancer;
    std::uint64_t grantId;
    balance::ExchangeReport report { balance::Outcome::Cancelled, {}, {} };
};

} // namespace damaskgate::entry
