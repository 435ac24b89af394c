#pragma once

#include <functional>
#include <unordered_map>

#include "damaskgate/core/event.h"
#include "damaskgate/lease/leaseservice.h"
#include "damaskgate/peer/ipeernetwork.h"

#include "damaskgate/limits/iadmission.h"
#include "damaskgate/limits/limiterstatemachine.h"

namespace damaskgate::limits {

/**
 * Connects a LimiterStateMachine to the peer network and the lease service.
 *
 * Must be constructed before the threads start. admit() and tick() are called on the data thread;
 * applySettings() may be called on any thread.
 */
class LimiterService final : public IAdmission
{
public:
    /** Queues a function to run on the data thread. */
    using Post = std::function<void(std::function<void()>)>;

    static constexpr core::Duration TickInterval = std::chrono::milliseconds(5);

    /** @param postToData must not run queued functions after this object is destroyed */
    LimiterService(const lease::HolderId &self, lease::LeaseService &leases, core::IClock &clock,
                   peer::IPeerNetwork &network, core::IEventSink &events, Post postToData,
                   const LimiterPolicy &policy = {});

    void admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done) override;

    /** Must be called once per TickInterval. */
    void tick();

    void applySettings(settings::SettingsPtr newSettings);

private:
    void onDatagram(const peer::Datagram &datagram);
    void onReleasing(const lease::ReleaseNotice &notice, const std::function<void()> &done);
    void flush();

    lease::LeaseService &leases;
    core::IClock &clock;
    peer::IPeerNetwork &network;
    core::IEventSink &events;
    Post postToData;
    LimiterStateMachine stateMachine;
    std::unordered_map<std::uint64_t, Done> callbacks;
    std::unordered_multimap<lease::PartitionId, std::function<void()>> releaseCallbacks;
};

} // namespace damaskgate::limits
