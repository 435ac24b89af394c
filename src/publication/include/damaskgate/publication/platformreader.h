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

/** Timing of a host's reads from the platform. */
struct ReadTiming
{
    std::chrono::milliseconds blockingWait { 2000 }; //!< longest blocking query; zero: poll
    std::chrono::milliseconds pollPause { 0 }; //!< pause between two calls when polling
};

struct PlatformReaderOptions
{
    std::vector<settings::SocketAddress> replicas;
    std::string prefix = "damaskgate/"; //!< prefix of every key
    std::chrono::milliseconds callTimeout { 2000 }; //!< added to the wait of a blocking query
    std::chrono::milliseconds firstBackoff { 100 };
    std::chrono::milliseconds maxBackoff { 2000 };
    std::uint64_t randomSeed = 0; //!< seed of the backoff jitter; differs between hosts
};

/**
 * Reads and watches the manifest with its branches and the host list on the platform.
 * All functions must be called on the control thread, which runs the io_context.
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

    /** Sets the receiver of the host list. Must be called before start(). */
    void setHostListListener(IHostListListener *listener);

    /** Sets the receiver of freshness confirmations. Must be called before start(). */
    void setPlatformListener(IPlatformListener *listener);

    /** Sets the timing that applies from the next call to the platform on. */
    void setTiming(const ReadTiming &timing);

    void start();

    /** Cancels all calls at once; listeners are not called afterwards. */
    void stop();

private:
    class Session;
    std::shared_ptr<Session> session;
};

} // namespace damaskgate::publication
