#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/fleet/fleetservice.h"
#include "damaskgate/http/httpreader.h"
#include "damaskgate/mirror/imirrorsource.h"
#include "damaskgate/mirror/mirror.h"
#include "damaskgate/mirror/pullpolicy.h"
#include "damaskgate/mirror/readerelection.h"
#include "damaskgate/mirror/sourcereachability.h"

namespace damaskgate::mirror {

/**
 * Keeps this host's copy of the published items up to date: from the source when this host is a
 * reader, else from another host that tells of a higher revision. Lives on one thread.
 */
class MirrorService
{
public:
    struct Dependencies
    {
        boost::asio::io_context &context;
        const core::IClock &clock;
        core::IEventSink &events;
        fleet::FleetService &fleet;
        IMirrorSource &source;
    };

    using Listener = std::function<void()>;

    /**
     * @param peerPort TCP port where other hosts answer with their changes
     * @param corePercent of a processor core that this host may use
     */
    MirrorService(const Dependencies &dependencies, std::uint16_t peerPort,
                  std::uint8_t corePercent);

    /** Sets who learns that items changed; before start(). */
    void setListener(Listener listener);

    void start();
    void stop();

    const Mirror &mirror() const;

    /** @return when this host last reached the source itself. */
    std::optional<core::Instant> sourceReachedAt() const;

    /**
     * @return since when some host has reached the source without a gap; nothing while none does.
     *         As of the last tick.
     */
    std::optional<core::Instant> sourceReachableSince() const;

    /** @return the answer to another host that holds @p after. */
    std::string encodeChangesSince(std::uint64_t after) const;

private:
    boost::asio::awaitable<void> readWhileOnDuty();
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> pull();
    boost::asio::awaitable<core::Result<Changes>> askHost(const core::HostName &host);
    void onHeard(const fleet::Member &member);
    void onSourceReached();
    void onSourceFailed(const core::Error &error);
    void take(const Changes &changes, std::string_view from);
    void takeFromHost(const Changes &changes, const core::HostName &host);
    void startPull();
    bool isNear(const core::HostName &host) const;
    void scheduleTick(std::chrono::milliseconds delay);
    void tick();
    std::vector<ReaderCandidate> otherHosts(core::Instant now) const;
    std::vector<ReaderCandidate> nearOf(std::vector<ReaderCandidate> hosts) const;
    void updateSettled(core::Instant now);

    boost::asio::io_context &context;
    const core::IClock &clock;
    core::IEventSink &events;
    fleet::FleetService &fleet;
    IMirrorSource &source;
    std::uint16_t peerPort;
    Listener listener;
    Mirror copy;
    ReaderElection duty;
    PullPolicy plan;
    SourceReachability contact; //!< of all hosts
    http::HttpReader peerReader;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer pauseTimer;
    std::optional<core::Instant> reachedAt;
    core::Instant announcedAt;
    std::map<core::HostName, core::Instant> seenAtByHost; //!< when others reached the source
    core::HostName connectedTo;
    int failures = 0; //!< of the source, in a row
    bool isReading = false;
    bool isPulling = false;
    bool isStopped = false;
};

} // namespace damaskgate::mirror
