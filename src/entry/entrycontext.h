#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "damaskgate/operations/operationtable.h"
#include "damaskgate/routing/routetable.h"

#include "damaskgate/entry/entryserver.h"

#include "retrybudget.h"
#include "upstreampool.h"

namespace damaskgate::entry {

/** State shared by all connections of an EntryServer; used on the data thread only. */
struct EntryContext
{
    EntryContext(boost::asio::io_context &ioContext, const EntryDependencies &dependencies,
                 EntryOptions options);

    core::Instant now() const;

    /** Begins to refuse requests if the drain is due. */
    void checkDrain();

    /** @return the budget passed in the dependencies, or this host's own. */
    IRetryBudget &retryBudget();

    /** @return a random trace id of 16 hexadecimal digits. */
    std::string makeTraceId();

    boost::asio::io_context &ioContext;
    EntryDependencies dependencies;
    EntryOptions options;
    routing::RouteTable routes;
    operations::OperationTable operations;
    UpstreamPool pool;
    RetryBudget ownRetryBudget;
    std::mt19937_64 random { std::random_device {}() };
    std::uint64_t lastExchange = 0;
    std::size_t exchanges = 0; //!< requests in progress
    bool isKeepAliveDisabled = false; //!< connections close after their response
    core::Instant drainDue = core::Instant::max(); //!< no request is accepted from then on
    bool isDraining = false;
    bool isStopped = false;
};

} // namespace damaskgate::entry
