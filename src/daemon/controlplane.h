#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/core/error.h"
#include "damaskgate/core/event.h"
#include "damaskgate/lease/leaseservice.h"
#include "damaskgate/membership/membershipservice.h"
#include "damaskgate/peer/udppeernetwork.h"
#include "damaskgate/publication/ihostlistlistener.h"
#include "damaskgate/publication/iplatformlistener.h"
#include "damaskgate/publication/platformreader.h"
#include "damaskgate/publication/watchelection.h"
#include "damaskgate/relay/settingsrelay.h"
#include "damaskgate/settings/freshnessguard.h"
#include "damaskgate/settings/hostsettings.h"
#include "damaskgate/settings/settingsstore.h"
#include "damaskgate/settings/startgate.h"

#include "servinggate.h"

namespace damaskgate::daemon {

/** Manages settings, membership and leases of this host. Used on the control thread. */
class ControlPlane final : public publication::IHostListListener,
                           public publication::IPlatformListener
{
public:
    struct Dependencies
    {
        boost::asio::io_context &context;
        core::IClock &clock;
        core::IEventSink &events;
        ServingGate &gate;
    };

    using LiveHostsListener = std::function<void(std::vector<settings::Host>)>;

    ControlPlane(const Dependencies &dependencies, const settings::HostSettings &host,
                 std::uint64_t incarnation);
    ~ControlPlane() override;

    /**
     * Binds the addresses, starts to read the platform and joins the fleet.
     *
     * @return the error if an address cannot be bound
     */
    core::Result<void> start();

    /** Stops timers, readers and connections immediately. */
    void halt();

    /** Announces to the other hosts that this host is leaving, and hands its leases over. */
    void announceLeaving();

    /** Sets the function that receives the hosts that accept new requests. Call before start(). */
    void setLiveHostsListener(LiveHostsListener listener);

    settings::SettingsStore &settingsStore();
    const settings::SettingsStore &settingsStore() const;
    lease::LeaseService &leases();
    peer::UdpPeerNetwork &network();
    const peer::UdpPeerNetwork &network() const;
    const membership::MembershipService &membership() const;

    void onHostList(const std::vector<publication::ListedHost> &hosts) override;
    void onPlatformAnswered(core::Instant sentAt) override;

private:
    void applySettings(const settings::SettingsPtr &settings);
    void onMembersChanged();
    void onNewerRevision(const core::HostName &sender, const settings::Revision &revision);
    std::optional<settings::SocketAddress> peerAddressOf(const core::HostName &name) const;
    void updateReadTiming(const settings::Settings &settings);
    void updateServingState(const settings::Settings &settings);
    void updateFreshness();
    void publishLiveHosts(const settings::Settings &settings);
    void connectSeeds();
    void scheduleTick();

    core::IClock &clock;
    core::IEventSink &events;
    ServingGate &gate;
    settings::HostSettings host;
    settings::SettingsStore store;
    peer::UdpPeerNetwork peers;
    membership::MembershipService members;
    lease::LeaseService leaseService;
    publication::PlatformReader reader;
    publication::WatchElection watchElection;
    relay::SettingsRelay relay;
    settings::FreshnessGuard freshness;
    settings::StartGate startGate;
    boost::asio::steady_timer tickTimer;
    LiveHostsListener liveHostsListener;
    std::vector<publication::ListedHost> listedHosts;
    std::optional<core::Instant> outOfServiceSince;
};

} // namespace damaskgate::daemon
