#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/peer/ipeernetwork.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/membership/membertable.h"

namespace damaskgate::membership {

/** Runs the member table of this host on the control thread. */
class MembershipService
{
public:
    using ChangeListener = std::function<void()>;
    using RevisionListener =
        std::function<void(const core::HostName &, const settings::Revision &)>;

    MembershipService(boost::asio::io_context &context, const core::IClock &clock,
                      peer::IPeerNetwork &network, core::IEventSink &events, core::HostName self,
                      std::uint64_t incarnation);

    /** Starts to probe. */
    void start();

    /** Stops to probe; messages that arrive are ignored. */
    void stop();

    /** Takes @p hosts as the fleet, before any settings are known. */
    void applyHosts(std::span<const core::HostName> hosts);

    /** Takes the hosts and the revision of @p settings. */
    void applySettings(const settings::Settings &settings);

    /** Tells the others that this host is leaving. */
    void announceLeaving();

    /** Adds @p listener for changes of any host's state. */
    void addChangeListener(ChangeListener listener);

    /** Sets @p listener for a host that has newer settings; repeated in each period until taken. */
    void setRevisionListener(RevisionListener listener);

    const MemberTable &table() const;

private:
    void scheduleTick();
    void onTick();
    void onDatagram(const peer::Datagram &datagram);
    void sendAll(const std::vector<OutgoingMessage> &messages);
    void notifyChanges();

    boost::asio::steady_timer timer;
    const core::IClock &clock;
    peer::IPeerNetwork &network;
    core::IEventSink &events;
    MemberTable members;
    std::vector<ChangeListener> changeListeners;
    RevisionListener revisionListener;
    std::uint64_t changesSeen = 0;
    bool isRunning = false;
};

} // namespace damaskgate::membership
