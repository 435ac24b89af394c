#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "damaskgate/balance/ibalancer.h"
#include "damaskgate/core/error.h"
#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/limits/iadmission.h"
#include "damaskgate/settings/isettingsstore.h"

#include "damaskgate/entry/entryoptions.h"
#include "damaskgate/entry/ilookup.h"
#include "damaskgate/entry/irequestobserver.h"
#include "damaskgate/entry/iretrybudget.h"
#include "damaskgate/entry/iservinggate.h"

namespace damaskgate::entry {

/** What an entry needs from the rest of the process; all outlive it. */
struct EntryDependencies
{
    const core::IClock &clock;
    settings::ISettingsStore &settings;
    limits::IAdmission &admission;
    balance::IBalancer &balancer;
    core::IEventSink &events;
    ILookup &lookup;
    IRequestObserver &observer;
    const IServingGate *servingGate = nullptr; //!< null: always serving
    IRetryBudget *retryBudget = nullptr; //!< null: a budget of the entry's own
};

/**
 * HTTP data path: takes requests from callers and forwards them to endpoints.
 *
 * Lives on one thread, the data thread, that runs the io_context; every member is called there,
 * except the constructor and the destructor, which are called while the io_context does not run
 * or on its thread.
 */
class EntryServer
{
public:
    using DrainDone = std::function<void()>;

    EntryServer(boost::asio::io_context &ioContext, const EntryDependencies &dependencies,
                EntryOptions options);
    ~EntryServer();

    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /**
     * Starts to accept callers.
     *
     * @param address IP number to listen on
     * @param port zero for any free one
     * @return the port listened on, or Internal
     */
    core::Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /** Goes on serving, but each answer ends its connection, so that callers turn elsewhere. */
    void disableKeepAlive();

    /**
     * Stops accepting, lets running exchanges finish, refuses new requests with Draining.
     *
     * @param done called once on the data thread when no connection is left
     */
    void drain(DrainDone done);

    /** Closes everything at once; running exchanges are cut. */
    void stop();

    /** @return open connections of callers. */
    std::size_t connectionCount() const;

    /** @return requests being worked on. */
    std::size_t exchangeCount() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace damaskgate::entry
