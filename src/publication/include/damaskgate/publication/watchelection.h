#pragma once

#include <cstddef>
#include <span>

#include "damaskgate/core/names.h"
#include "damaskgate/publication/platformreader.h"

namespace damaskgate::publication {

/** A host that could watch the platform. */
struct WatchCandidate
{
    core::HostName host;
    core::DomainName domain;
};

/** Bounds the calls of all hosts together. */
struct WatchLimits
{
    std::size_t watchersPerDomain = 3;
    std::chrono::milliseconds blockingWait { 2000 };
    std::chrono::milliseconds minPollPause { 5000 }; //!< between the calls of other hosts
    double maxCallsPerSecond = 500; //!< of all hosts together while nothing changes
};

/** Decides which hosts watch the platform; the others poll slowly and learn from their peers. */
class WatchElection
{
public:
    WatchElection(core::HostName self, core::DomainName domain, WatchLimits limits = {});

    /**
     * @param live hosts that are believed to live, with this host or without it
     * @return how this host follows the platform
     */
    ReadTiming timingFor(std::span<const WatchCandidate> live) const;

private:
    bool isWatcher(std::span<const WatchCandidate> live) const;
    ReadTiming pollTiming(std::size_t hosts, std::size_t watchers) const;

    core::HostName self;
    core::DomainName domain;
    WatchLimits limits;
};

} // namespace damaskgate::publication
