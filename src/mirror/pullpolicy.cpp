#include "damaskgate/mirror/pullpolicy.h"

namespace damaskgate::mirror {

void PullPolicy::setPullingRemotely(bool isPullingRemotely)
{
    this->isPullingRemotely = isPullingRemotely;
}

void PullPolicy::onRevisionAnnounced(const core::HostName &host, std::uint64_t revision,
                                     bool isLocal, std::uint64_t heldRevision, core::Instant now)
{
    std::optional<Announcement> &announcement =
        isLocal ? this->localAnnouncement : this->remoteAnnouncement;
    if (revision <= heldRevision || (announcement && revision < announcement->revision)) {
        return;
    }
    const bool isStillBehind = announcement && announcement->revision > heldRevision;
    announcement = Announcement { host, revision, isStillBehind ? announcement->behindSince : now };
}

void PullPolicy::onPullFailed(const core::HostName &host)
{
    for (std::optional<Announcement> *announcement :
         { &this->localAnnouncement, &this->remoteAnnouncement }) {
        if (*announcement && (*announcement)->host == host) {
            announcement->reset();
        }
    }
}

std::optional<core::HostName> PullPolicy::hostToPullFrom(std::uint64_t heldRevision,
                                                         core::Instant now) const
{
    if (this->localAnnouncement && this->localAnnouncement->revision > heldRevision) {
        return this->localAnnouncement->host;
    }
    const bool isRemoteNewer =
        this->remoteAnnouncement && this->remoteAnnouncement->revision > heldRevision;
    if (isRemoteNewer
        && (this->isPullingRemotely
            || now - this->remoteAnnouncement->behindSince >= RemotePullDelay)) {
        return this->remoteAnnouncement->host;
    }
    return std::nullopt;
}

} // namespace damaskgate::mirror
