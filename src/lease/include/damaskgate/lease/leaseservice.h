#pragma once

#include <functional>
#include <mutex>
#include <span>
#include <vector>

#include "damaskgate/core/event.h"
#include "damaskgate/peer/ipeernetwork.h"

#include "damaskgate/lease/ileaseview.h"
#include "damaskgate/lease/leasetable.h"

namespace damaskgate::lease {

/** A holding that is being given up. */
struct ReleaseNotice
{
    PartitionId partition = 0;
    std::uint32_t epoch = 0;
    std::optional<core::HostName> successor;
};

/**
 * Runs a LeaseTable over a peer network. The view and requestTakeover() may be used from any
 * thread, the rest is called on the control thread.
 */
class LeaseService final : public ILeaseView
{
public:
    /**
     * Stops what uses the holding, then calls `done` once, on any thread. Until all listeners have
     * done so the grantors are not told.
     */
    using ReleaseListener = std::function<void(const ReleaseNotice &, std::function<void()> done)>;

    static constexpr core::Duration TickInterval = std::chrono::milliseconds(20);

    LeaseService(const HolderId &self, core::IClock &clock, peer::IPeerNetwork &network,
                 core::IEventSink &events, std::uint64_t seed, const LeasePolicy &policy = {});

    /** Listeners are added while the process starts. */
    void addReleaseListener(ReleaseListener listener);

    /** To be called at every TickInterval. */
    void tick();

    void applySettings(const settings::Settings &settings);

    /** @param hosts that run and are not leaving */
    void setLiveHosts(std::span<const core::HostName> hosts);

    /** Notes that work for @p partition finds no holder. */
    void requestTakeover(PartitionId partition);

    /** Gives up every holding and seeks no other; the grantor side goes on. */
    void leave();

    std::optional<HeldLease> heldLease(PartitionId partition, core::Instant now) const override;
    std::optional<core::HostName> holderHint(PartitionId partition) const override;
    std::vector<core::HostName> preferredHosts(PartitionId partition) const override;

private:
    void onDatagram(const peer::Datagram &datagram);
    void flush();
    void announce(const LeaseChange &change);
    void confirmRelease(PartitionId partition);

    core::IClock &clock;
    peer::IPeerNetwork &network;
    core::IEventSink &events;
    mutable std::mutex mutex; //!< guards the table
    LeaseTable table;
    std::vector<ReleaseListener> releaseListeners;
    RosterId rosterId;
};

} // namespace damaskgate::lease
