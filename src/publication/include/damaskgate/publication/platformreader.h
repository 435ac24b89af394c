#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/settings/hostsettings.h"
#include "damaskgate/settings/settingsstore.h"

namespace damaskgate::publication {

class IHostListListener;
class IPlatformListener;

/** How a reader follows the platform. */
struct ReadTiming
{
    std::chrono::milliseconds blockingWait {
        2000
    }; //!< longest wait of a blocking query; zero: poll
    std::chrono::milliseconds pollPause { 0 }; //!< between the calls of a reader that polls
};

struct PlatformReaderOptions
{
    std::vector<settings::SocketAddress> replicas;
    std::string prefix = "damaskgate/"; //!< of every key
    std::chrono::milliseconds callTimeout { 2000 }; //!< beyond the wait of a blocking query
    std::chrono::milliseconds firstBackoff { 100 };
    std::chrono::milliseconds maxBackoff { 2000 };
    std::uint64_t randomSeed = 0; //!< for the jitter; differs from host to host
};

/**
 * Reads and watches the platform: the manifest with its branches, and the list of hosts.
 * Every function is called on the thread that runs the io_context, the control thread.
 */
class PlatformReader
{
public:
    PlatformReader(boost::asio::io_context &context, PlatformReaderOptions options,
                   settings::SettingsStore &store, core::IEventSink &events,
                   const core::IClock &clock);
    ~PlatformReader();

    PlatformReader(const PlatformReader &) = delete;
    PlatformReader &operator=(const PlatformReader &) = delete;

    /** Names the receiver of the host list; before start(). */
    void setHostListListener(IHostListListener *listener);

    /** Names the receiver of evidence of freshness; before start(). */
    void setPlatformListener(IPlatformListener *listener);

    /** Changes how the platform is followed, from the next call on. */
    void setTiming(const ReadTiming &timing);

    void start();

    /** Ends every call at once; nothing is reported any more. */
    void stop();

private:
    class Session;
    std::shared_ptr<Session> session;
};

} // namespace damaskgate::publication
