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

/** Services that an EntryServer uses; all must outlive it. */
struct EntryDependencies
{
    const core::IClock &clock;
    settings::ISettingsStore &settings;
    limits::IAdmission &admission;
    balance::IBalancer &balancer;
    core::IEventSink &events;
    ILookup &lookup;
    IRequestObserver &observer;
    const IServingGate *servingGate = nullptr; //!< null: requests are always served
    IRetryBudget *retryBudget = nullptr; //!< null: the server uses its own, unshared budget
};

/**
 * HTTP data path: accepts requests from callers and forwards them to endpoints.
 *
 * Every member must be called on the data thread, which runs the io_context. The constructor and
 * the destructor may also be called while the io_context is not running.
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
     * Starts accepting connections.
     *
     * @param address IP address to listen on
     * @param port zero selects a free port
     * @return the bound port, or Internal
     */
    core::Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /** Changes the limit of open caller connections; open ones beyond it stay. */
    void setMaxConnections(std::size_t limit);

    /** Closes each connection after its next response, so that callers switch to other hosts. */
    void disableKeepAlive();

    /** Refuses requests from @p due on as drain() does, even if it is called late. */
    void scheduleDrain(core::Instant due);

    /**
     * Stops accepting connections, completes running requests and refuses new ones with Draining.
     *
     * @param done called once on the data thread when all connections are closed
     */
    void drain(DrainDone done);

    /** Closes all connections immediately, including those with running requests. */
    void stop();

    /** @return the number of open caller connections. */
    std::size_t connectionCount() const;

    /** @return whether no request is in progress, is being read or waits to be read. */
    bool isIdle() const;

    /** @return the number of requests in progress. */
    std::size_t exchangeCount() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace damaskgate::entry
