#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/core/event.h"
#include "damaskgate/fleet/fleettable.h"
#include "damaskgate/fleet/igossipchannel.h"
#include "damaskgate/peer/ipeernetwork.h"

namespace damaskgate::fleet {

class GossipFlushSchedule;
class GossipQueues;

/**
 * Discovers the other hosts, observes their state and distributes gossip items. Must be used on one
 * thread.
 */
class FleetService final : public IGossipChannel
{
public:
    struct Dependencies
    {
        boost::asio::io_context &context;
        const core::IClock &clock;
        core::IEventSink &events;
        peer::IPeerNetwork &network;
    };

    using HostListListener = std::function<void(const std::vector<core::HostName> &)>;
    using ChangeListener = std::function<void()>;
    using StateSource = std::function<HostState()>;

    FleetService(const Dependencies &dependencies, FleetTable table,
                 std::vector<core::HostName> seeds);
    ~FleetService() override;

    FleetService(const FleetService &) = delete;
    FleetService &operator=(const FleetService &) = delete;

    /** Sets the source of the state that this host reports. Must be called before start(). */
    void setStateSource(StateSource source);

    /**
     * Sets @p listener, which receives the names of all known hosts when a host is added, so that
     * messages can be sent to them. Must be called before start().
     */
    void setHostListListener(HostListListener listener);

    /**
     * Adds @p listener, which is called when a host joins, leaves or changes its state. Must be
     * called before start().
     */
    void addChangeListener(ChangeListener listener);

    /**
     * Adds @p listener, which receives the state of a host with each message from that host. Must
     * be called before start().
     */
    void addContactListener(std::function<void(const Member &)> listener);

    /** Replaces the hosts that are asked for the hosts that they know. */
    void setSeeds(std::vector<core::HostName> names);

    void start();
    void stop();

    /** Sends the state of this host to all known hosts now. */
    void announce();

    /** Sends the state of this host to the live hosts of its failure domain now. */
    void announceLocally();

    void publish(GossipItem item) override;
    void setSnapshotSource(SnapshotSource source) override;
    void addListener(Listener listener) override;

    const FleetTable &table() const;

private:
    void onDatagram(const peer::Datagram &datagram);
    void onHeartbeat(const peer::Datagram &datagram, const Heartbeat &heartbeat);
    void handleGossip(const Heartbeat &heartbeat);
    void sendHostList(const core::HostName &to);
    void sendSnapshot(const core::HostName &to);
    void sendTo(std::span<const core::HostName> hosts, const Heartbeat &heartbeat);
    void flushGossip();
    void sendGossip(std::span<const GossipItem> gossipItems, std::span<const core::HostName> hosts,
                    GossipScope scope);
    void scheduleTick();
    void scheduleFlush(bool isUrgent);
    void tick();
    void sendIndirectHeartbeats(core::Instant now);
    void requestHostLists();
    Heartbeat makeHeartbeat() const;
    void notifyHostList();
    void notifyChanged();

    const core::IClock &clock;
    core::IEventSink &events;
    peer::IPeerNetwork &network;
    FleetTable fleet;
    std::vector<core::HostName> seeds;
    std::uint32_t selfHash;
    StateSource stateSource;
    HostListListener hostListListener;
    std::vector<ChangeListener> changeListeners;
    std::vector<std::function<void(const Member &)>> contactListeners;
    std::vector<Listener> gossipListeners;
    SnapshotSource snapshotSource;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer flushTimer;
    std::unique_ptr<GossipQueues> gossipQueues;
    std::unique_ptr<GossipFlushSchedule> flushSchedule;
    std::size_t liveCount = 0;
    int ticks = 0;
};

} // namespace damaskgate::fleet
