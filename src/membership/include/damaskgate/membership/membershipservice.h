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

/** Runs the MemberTable of this host over the network. Must be used on the control thread. */
class MembershipService
{
public:
    using ChangeListener = std::function<void()>;
    using RevisionListener =
        std::function<void(const core::HostName &, const settings::Revision &)>;

    MembershipService(boost::asio::io_context &context, const core::IClock &clock,
                      peer::IPeerNetwork &network, core::IEventSink &events, core::HostName self,
                      std::uint64_t incarnation);

    /** Starts probing the other hosts and handling their messages. */
    void start();

    /** Stops probing; messages that arrive later are ignored. */
    void stop();

    /** Sets the hosts of the fleet to @p hosts. Used until settings are known. */
    void applyHosts(std::span<const core::HostName> hosts);

    /** Sets the hosts of the fleet and the revision of this host from @p settings. */
    void applySettings(const settings::Settings &settings);

    /** Announces to other hosts that this host is leaving. */
    void announceLeaving();

    /** Adds @p listener, which is called when the state of a host or the roster has changed. */
    void addChangeListener(ChangeListener listener);

    /**
     * Sets @p listener, which receives the name of a host with newer settings and their revision.
     * It is called on every tick (50 ms) until applySettings() has applied a revision that is as
     * new.
     */
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
    std::uint64_t notifiedChanges = 0;
    bool isRunning = false;
};

} // namespace damaskgate::membership
