#pragma once

#include <cstddef>
#include <span>

#include "damaskgate/core/names.h"
#include "damaskgate/publication/platformreader.h"

namespace damaskgate::publication {

/** A host that may be elected to watch the platform. */
struct WatchCandidate
{
    core::HostName host;
    core::DomainName domain;
};

/** Limits of the calls that all hosts together make to the platform. */
struct WatchLimits
{
    std::size_t watchersPerDomain = 3;
    std::chrono::milliseconds blockingWait { 2000 }; //!< longest blocking query of a watcher
    /** Shortest pause between the calls of a polling host. */
    std::chrono::milliseconds minPollPause { 5000 };
    double maxCallsPerSecond = 500; //!< limit of the calls of all hosts while no key changes
};

/**
 * Elects the hosts that watch the platform with blocking queries. The other hosts poll slowly and
 * learn of new revisions from their peers.
 */
class WatchElection
{
public:
    WatchElection(core::HostName self, core::DomainName domain, WatchLimits limits = {});

    /**
     * @param live hosts considered live; may include this host
     * @return timing of this host's reads from the platform
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
