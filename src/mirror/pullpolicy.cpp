#include "damaskgate/mirror/pullpolicy.h"

namespace damaskgate::mirror {

void PullPolicy::setPullingRemotely(bool isPullingRemotely)
{
    this->isPullingRemotely = isPullingRemotely;
}

void PullPolicy::onRevisionAnnounced(const core::HostName &host, std::uint64_t revision,
                                     bool isNear, std::uint64_t held, core::Instant now)
{
    std::optional<Offer> &offer = isNear ? this->near : this->far;
    if (revision <= held || (offer && revision < offer->revision)) {
        return;
    }
    const bool isStillLacking = offer && offer->revision > held;
    offer = Offer { host, revision, isStillLacking ? offer->since : now };
}

void PullPolicy::onPullFailed(const core::HostName &host)
{
    for (std::optional<Offer> *offer : { &this->near, &this->far }) {
        if (*offer && (*offer)->host == host) {
            offer->reset();
        }
    }
}

std::optional<core::HostName> PullPolicy::hostToPullFrom(std::uint64_t held,
                                                         core::Instant now) const
{
    if (this->near && this->near->revision > held) {
        return this->near->host;
    }
    const bool isFarLacking = this->far && this->far->revision > held;
    if (isFarLacking && (this->isPullingRemotely || now - this->far->since >= RemotePullDelay)) {
        return this->far->host;
    }
    return std::nullopt;
}

} // namespace damaskgate::mirror
