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
#include "damaskgate/mirror/pullhistory.h"
#include "damaskgate/mirror/pullpolicy.h"
#include "damaskgate/mirror/readerelection.h"
#include "damaskgate/mirror/sourcereachability.h"

namespace damaskgate::mirror {

/**
 * Keeps this host's copy of the published items up to date. A reader reads the source. Any host
 * pulls changes from another host that announced a higher revision. Use it from one thread only.
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
     * @param peerPort TCP port on which the other hosts serve their changes
     * @param corePercent CPU quota of this host, in percent of one processor core
     * @param maxSourceGap see SourceReachability
     */
    MirrorService(const Dependencies &dependencies, std::uint16_t peerPort,
                  std::uint8_t corePercent, core::Duration maxSourceGap);

    /** Sets the function that is called after items changed. Call it before start(). */
    void setListener(Listener listener);

    /** @param maxSourceGap see SourceReachability */
    void setMaxSourceGap(core::Duration maxSourceGap);

    void start();
    void stop();

    const Mirror &mirror() const;

    /**
     * @return when this host last reached the source itself; nothing while it is not a reader,
     * before its first successful read and after a failed one
     */
    std::optional<core::Instant> sourceReachedAt() const;

    /**
     * @return since when at least one host has reached the source without interruption; nothing
     *         while none does. The value is updated at each tick.
     */
    std::optional<core::Instant> sourceReachableSince() const;

    /**
     * Answers another host that pulls changes.
     *
     * @param parameters query string of its request: `after`, the revision that it holds, and
     *        `held`, the revisions of the large items that it holds
     * @return the encoded changes
     */
    std::string makePullResponse(std::string_view parameters);

private:
    boost::asio::awaitable<void> readWhileElected();
    boost::asio::awaitable<bool> readOnce();
    boost::asio::awaitable<void> pull();
    boost::asio::awaitable<core::Result<Changes>> requestChanges(const core::HostName &host);
    std::string pullTarget() const;
    std::string encodeChanges(std::string_view parameters) const;
    void onMemberSeen(const fleet::Member &member);
    void onSourceReached();
    void onSourceFailed(const core::Error &error);
    /** @param readFrom when the read of @p changes began */
    void applyChanges(const Changes &changes, std::string_view origin, core::Instant readFrom);
    void applyPeerChanges(const Changes &changes, const core::HostName &host,
                          core::Instant readFrom);
    void startPullIfDue();
    bool isLocal(const core::HostName &host) const;
    void scheduleTick(std::chrono::milliseconds delay);
    void tick();
    std::vector<ReaderCandidate> otherHosts(core::Instant now) const;
    std::chrono::milliseconds timeToNextTick() const;
    void updateReachability(core::Instant now);

    boost::asio::io_context &context;
    const core::IClock &clock;
    core::IEventSink &events;
    fleet::FleetService &fleet;
    IMirrorSource &source;
    std::uint16_t peerPort;
    Listener listener;
    Mirror copy;
    ReaderElection election;
    PullPolicy pullPolicy;
    PullHistory pullHistory;
    SourceReachability reachability; //!< Whether any host of the fleet reaches the source
    http::HttpReader peerReader;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer pauseTimer;
    std::optional<core::Instant> reachedAt; //!< Last contact of this host with the source
    core::Instant announcedAt;
    std::map<core::HostName, core::Instant> sourceReachedAtByHost; //!< Other hosts only
    core::HostName connectedHost;
    /** Responses to pulls of changes up to pullResponsesRevision, by query string. */
    std::map<std::string, std::string, std::less<>> pullResponses;
    std::uint64_t pullResponsesRevision = 0;
    bool isWholePullNeeded = false; //!< the last response could not be restored
    int consecutiveFailures = 0; //!< Reads of the source that failed since the last success
    bool isReading = false;
    bool isPulling = false;
    bool isStopped = false;
};

} // namespace damaskgate::mirror
