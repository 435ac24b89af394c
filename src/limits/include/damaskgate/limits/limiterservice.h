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
 * Runs a LimiterStateMachine over a peer network. Constructed before the threads start; admit() and
 * tick() are called on the data thread, applySettings() on any.
 */
class LimiterService final : public IAdmission
{
public:
    /** Runs a function on the data thread, later. */
    using Post = std::function<void(std::function<void()>)>;

    static constexpr core::Duration TickInterval = std::chrono::milliseconds(5);

    /** @param postToData must not run functions any more once this is destroyed */
    LimiterService(const lease::HolderId &self, lease::LeaseService &leases, core::IClock &clock,
                   peer::IPeerNetwork &network, core::IEventSink &events, Post postToData,
                   const LimiterPolicy &policy = {});

    void admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done) override;

    /** To be called at every TickInterval. */
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
