#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/core/event.h"
#include "damaskgate/fleet/fleettable.h"
#include "damaskgate/fleet/inoteboard.h"
#include "damaskgate/peer/ipeernetwork.h"

namespace damaskgate::fleet {

class NoteQueues;

/** Finds the other hosts, follows their state and spreads notes. Lives on one thread. */
class FleetService final : public INoteBoard
{
public:
    struct Dependencies
    {
        boost::asio::io_context &context;
        const core::IClock &clock;
        core::IEventSink &events;
        peer::IPeerNetwork &network;
    };

    using KnownListener = std::function<void(const std::vector<core::HostName> &)>;
    using ChangeListener = std::function<void()>;
    using StateSource = std::function<HostState()>;

    FleetService(const Dependencies &dependencies, FleetTable table,
                 std::vector<core::HostName> seeds);
    ~FleetService() override;

    FleetService(const FleetService &) = delete;
    FleetService &operator=(const FleetService &) = delete;

    /** Sets what this host tells of itself; before start(). */
    void setStateSource(StateSource source);

    /** Sets who learns the names of all hosts, to be able to send to them; before start(). */
    void setKnownListener(KnownListener listener);

    /** Adds who learns that hosts came, left or changed their state; before start(). */
    void addChangeListener(ChangeListener listener);

    /** Adds who sees the state of a host each time that it is heard; before start(). */
    void addHeardListener(std::function<void(const Member &)> listener);

    void start();
    void stop();

    /** Tells every host the state of this one now. */
    void announce();

    /** Tells the hosts of this failure domain the state of this one now. */
    void announceNear();

    void publish(Note note) override;
    void addListener(Listener listener) override;

    const FleetTable &table() const;

private:
    void onDatagram(const peer::Datagram &datagram);
    void onBeat(const peer::Datagram &datagram, const Beat &beat);
    void takeNotes(const Beat &beat);
    void tellKnown(const core::HostName &to);
    void sendTo(std::span<const core::HostName> hosts, const Beat &beat);
    void flushNotes();
    void sendNotes(std::span<const Note> notes, std::span<const core::HostName> hosts,
                   Spread spread);
    void scheduleTick();
    void scheduleFlush();
    void tick();
    void vouchFar(core::Instant now);
    void askSeeds();
    Beat makeBeat() const;
    void notifyKnown();
    void notifyChanged();

    const core::IClock &clock;
    core::IEventSink &events;
    peer::IPeerNetwork &network;
    FleetTable fleet;
    std::vector<core::HostName> seeds;
    std::uint32_t selfTag;
    StateSource stateSource;
    KnownListener knownListener;
    std::vector<ChangeListener> changeListeners;
    std::vector<std::function<void(const Member &)>> heardListeners;
    std::vector<Listener> noteListeners;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer flushTimer;
    std::unique_ptr<NoteQueues> notes;
    std::mt19937_64 random { std::random_device {}() };
    std::size_t liveCount = 0;
    int ticks = 0;
    bool isFlushScheduled = false;
};

} // namespace damaskgate::fleet
