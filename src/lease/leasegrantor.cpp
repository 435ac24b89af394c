#include "damaskgate/lease/leasegrantor.h"

#include <algorithm>

namespace damaskgate::lease {

LeaseGrantor::LeaseGrantor(core::Instant startedAt, const LeasePolicy &policy,
                           const LeaseGuards &guards)
    : policy(policy), guards(guards), startedAt(startedAt)
{}

void LeaseGrantor::applyRoster(const RosterId &newRoster)
{
    this->roster = newRoster;
}

LeaseReply LeaseGrantor::onRequest(const HolderId &from, const RosterId &fromRoster,
                                   const LeaseRequest &request, core::Instant now)
{
    LeaseReply reply {
        request.partition, LeaseOutcome::Granted, request.sequence, from.incarnation, {}
    };
    if (this->isStarting(now)) {
        reply.outcome = LeaseOutcome::Starting;
        return reply;
    }
    if (this->isStale(fromRoster)) {
        reply.outcome = LeaseOutcome::StaleRoster;
        return reply;
    }
    Promise &promise = this->promises[request.partition];
    const bool isSameHolder = promise.leaseId.holder == from;
    if (now < promise.until && !isSameHolder) {
        reply.outcome = LeaseOutcome::HeldByOther;
        reply.lease = promise.leaseId;
        return reply;
    }
    if (isSameHolder && request.sequence < promise.lastSequence) {
        reply.outcome = LeaseOutcome::HeldByOther;
        return reply;
    }
    grant(promise, { from, request.epoch });
    promise.lastSequence = request.sequence;
    promise.until = now + this->promiseTime();
    reply.lease = promise.predecessor;
    return reply;
}

void LeaseGrantor::onRelease(const HolderId &from, const LeaseRelease &release, core::Instant now)
{
    const auto found = this->promises.find(release.partition);
    if (found == this->promises.end() || found->second.leaseId.holder != from) {
        return;
    }
    Promise &promise = found->second;
    if (this->guards.ordersReleases && release.sequence < promise.lastSequence) {
        return;
    }
    promise.lastSequence = release.sequence;
    promise.until = std::min(promise.until, now);
}

bool LeaseGrantor::isStarting(core::Instant now) const
{
    return this->guards.waitsAfterStart && now < this->startedAt + this->promiseTime();
}

bool LeaseGrantor::isStale(const RosterId &other) const
{
    return other.hash != this->roster.hash && other.revision < this->roster.revision;
}

core::Duration LeaseGrantor::promiseTime() const
{
    return this->guards.allowsForDrift ? this->policy.promiseTime() : this->policy.leaseTime;
}

void LeaseGrantor::grant(Promise &promise, const LeaseId &leaseId)
{
    if (promise.leaseId == leaseId) {
        return;
    }
    promise.predecessor = promise.leaseId;
    promise.leaseId = leaseId;
}

} // namespace damaskgate::lease
