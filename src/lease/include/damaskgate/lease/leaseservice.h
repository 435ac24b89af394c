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

/** A lease that is being released. */
struct ReleaseNotice
{
    PartitionId partition = 0;
    std::uint32_t epoch = 0;
    std::optional<core::HostName> successor;
};

/**
 * Runs a LeaseTable over a peer network. The functions of ILeaseView and requestTakeover() are
 * thread-safe; the others must be called on the control thread.
 */
class LeaseService final : public ILeaseView
{
public:
    /**
     * Stops every use of the lease, then calls `done` exactly once, on any thread. The grantors are
     * notified of the release only after all listeners have called `done`.
     */
    using ReleaseListener = std::function<void(const ReleaseNotice &, std::function<void()> done)>;

    static constexpr core::Duration TickInterval = std::chrono::milliseconds(20);

    LeaseService(const HolderId &self, core::IClock &clock, peer::IPeerNetwork &network,
                 core::IEventSink &events, std::uint64_t seed, const LeasePolicy &policy = {});

    /** Must be called while the process starts; the list of listeners is not synchronized. */
    void addReleaseListener(ReleaseListener listener);

    /** Must be called once per TickInterval. */
    void tick();

    void applySettings(const settings::Settings &settings);

    /** @param hosts that are alive and not leaving */
    void setLiveHosts(std::span<const core::HostName> hosts);

    /** Requests that this host take over @p partition, because its holder does not reply. */
    void requestTakeover(PartitionId partition);

    /** Releases every lease and acquires no more. The grantor continues to reply to other hosts. */
    void leave();

    std::optional<HeldLease> heldLease(PartitionId partition, core::Instant now) const override;
    std::optional<core::HostName> holderHint(PartitionId partition) const override;
    std::vector<core::HostName> preferredHosts(PartitionId partition) const override;

private:
    void onDatagram(const peer::Datagram &datagram);
    void flush();
    void publishChange(const LeaseChange &change);
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
