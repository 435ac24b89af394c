#include "damaskgate/settings/startgate.h"

#include <algorithm>

namespace damaskgate::settings {

StartGate::StartGate(core::Instant startedAt, core::Duration maxWait)
    : waitUntil(startedAt + maxWait)
{}

void StartGate::onPeerRevision(const Revision &revision)
{
    this->highestPeerRevision = std::max(this->highestPeerRevision, std::optional(revision));
}

void StartGate::onFleetContact()
{
    this->hasFleetContact = true;
}

void StartGate::onAccepted(const Revision &revision)
{
    this->inForce = revision;
}

bool StartGate::mayServe(core::Instant now)
{
    const bool isReady = this->hasCaughtUp() || now >= this->waitUntil;
    this->isOpen = this->isOpen || (this->inForce && isReady);
    return this->isOpen;
}

bool StartGate::hasCaughtUp() const
{
    return this->hasFleetContact && this->inForce >= this->highestPeerRevision;
}

} // namespace damaskgate::settings
