#include "damaskgate/mirror/pullhistory.h"

namespace damaskgate::mirror {

void PullHistory::onPulled(const core::HostName &host)
{
    this->failedAt.erase(host);
}

void PullHistory::onFailed(const core::HostName &host, core::Instant now)
{
    std::erase_if(this->failedAt,
                  [now](const auto &failure) { return now - failure.second > FailureMemory; });
    this->failedAt.insert_or_assign(host, now);
}

bool PullHistory::isReadable(const core::HostName &host, core::Instant now) const
{
    const auto found = this->failedAt.find(host);
    return found == this->failedAt.end() || now - found->second > FailureMemory;
}

} // namespace damaskgate::mirror
