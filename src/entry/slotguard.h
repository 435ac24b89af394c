#pragma once

#include "damaskgate/balance/ibalancer.h"

namespace damaskgate::entry {

/** Gives a slot back exactly once, also when the exchange fails in between. */
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

    /** Sets what the exchange told about the endpoint. */
    void setReport(const balance::ExchangeReport &next)
    {
        this->report = next;
    }

private:
    balance::IBalancer &balancer;
    std::uint64_t grantId;
    balance::ExchangeReport report { balance::Outcome::Cancelled, {}, {} };
};

} // namespace damaskgate::entry
