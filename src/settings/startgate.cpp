#include "damaskgate/settings/startgate.h"

#include <algorithm>

namespace damaskgate::settings {

StartGate::StartGate(core::Instant startedAt, core::Duration longestWait)
    : waitUntil(startedAt + longestWait)
{}

void StartGate::onRevisionHeard(const Revision &revision)
{
    this->highestHeard = std::max(this->highestHeard, std::optional(revision));
}

void StartGate::onFleetContact()
{
    this->hasContact = true;
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
    return this->hasContact && this->inForce >= this->highestHeard;
}

} // namespace damaskgate::settings
