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

/** Hands settings on between hosts, by Cap'n Proto RPC over TCP in a thread of its own. */
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

    /** Serves the bundle in force at @p address; fails when the address cannot be bound. */
    core::Result<void> serve(const std::string &address, std::uint16_t port);

    /**
     * Fetches @p revision from a peer, only the branches that are not held, and offers it to the
     * store. The content must match the hash of @p revision, which the peer's authenticated
     * heartbeat told. A fetch of the same or a higher revision under way is not repeated.
     *
     * @param done called once on the executor
     */
    void fetch(const core::HostName &host, const std::string &address, std::uint16_t port,
               const settings::Revision &revision, Done done);

    /** Ends the thread; fetches under way fail with PeerUnreachable. */
    void stop();

private:
    class Worker;
    std::shared_ptr<Worker> worker;
};

} // namespace damaskgate::relay
