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
 * Hands settings on between hosts, by Cap'n Proto RPC over TCP in a thread of its own.
 * Every function is called on the control thread.
 */
class SettingsRelay
{
public:
    using Done = std::function<void(core::Result<settings::OfferResult>)>;

    /**
     * @param executor runs each `done`: that of the control thread
     * @param store whose bundle is served, and that takes what was fetched
     */
    SettingsRelay(boost::asio::any_io_executor executor, settings::SettingsStore &store,
                  core::IEventSink &events);
    ~SettingsRelay();

    SettingsRelay(const SettingsRelay &) = delete;
    SettingsRelay &operator=(const SettingsRelay &) = delete;

    /**
     * Serves the bundle in force at @p address.
     *
     * @param port zero: any free one
     * @return the port; fails with PeerUnreachable when the address cannot be bound
     */
    core::Result<std::uint16_t> serve(const std::string &address, std::uint16_t port);

    /**
     * Fetches @p revision from a peer, only the branches that are not held, and offers it to the
     * store. The content must match the hash of @p revision, which the peer's authenticated
     * heartbeat told. Fails with PeerUnreachable at once while a fetch of the same or a higher
     * revision is under way.
     *
     * @param done called once on the executor, unless stop() comes first
     */
    void fetch(const core::HostName &host, const std::string &address, std::uint16_t port,
               const settings::Revision &revision, Done done);

    /** Ends the thread; `done` of the fetches under way is not called any more. */
    void stop();

private:
    class Worker;
    settings::SettingsStore &store;
    std::shared_ptr<Worker> worker;
};

} // namespace damaskgate::relay
