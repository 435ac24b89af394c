#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/settings/settingsstore.h"

namespace damaskgate::relay {

/**
 * Transfers settings between hosts by Cap'n Proto RPC over TCP, on a dedicated thread.
 * All functions must be called on the control thread.
 */
class SettingsRelay
{
public:
    using Done = std::function<void(core::Result<settings::OfferResult>)>;

    /**
     * @param executor executor of the control thread; runs the `done` callbacks
     * @param store provides the bundle to serve and receives the fetched bundles
     * @param events receives an event for each failed fetch
     */
    SettingsRelay(boost::asio::any_io_executor executor, settings::SettingsStore &store,
                  core::IEventSink &events);
    ~SettingsRelay();

    SettingsRelay(const SettingsRelay &) = delete;
    SettingsRelay &operator=(const SettingsRelay &) = delete;

    /**
     * Serves the bundle in force at @p address.
     *
     * @param port TCP port; zero selects a free one
     * @return the bound port, or PeerUnreachable when the address cannot be bound
     */
    core::Result<std::uint16_t> serve(const std::string &address, std::uint16_t port);

    /**
     * Fetches @p revision from a peer and offers it to the store. Branches that are already in the
     * local bundle are not fetched. The content must match the hash of @p revision, which comes
     * from the peer's authenticated heartbeat. Fails immediately with PeerUnreachable while a fetch
     * of the same or a higher revision is under way.
     *
     * @param done called once on the executor, unless stop() comes first
     */
    void fetch(const core::HostName &host, const std::string &address, std::uint16_t port,
               const settings::Revision &revision, Done done);

    /** Ends the thread; `done` callbacks of unfinished fetches are not called. */
    void stop();

private:
    class Worker;
    settings::SettingsStore &store;
    std::shared_ptr<Worker> worker;
};

} // namespace damaskgate::relay
