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

/** What all connections of an entry share; used on the data thread only. */
struct EntryContext
{
    EntryContext(boost::asio::io_context &ioContext, const EntryDependencies &dependencies,
                 EntryOptions options);

    core::Instant now() const;

    /** @return the budget that retries are taken from. */
    IRetryBudget &retryBudget();

    /** @return a new trace id. */
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
    std::size_t exchanges = 0; //!< requests being worked on
    bool isKeepAliveDisabled = false; //!< answers end their connections
    bool isDraining = false;
    bool isStopped = false;
};

} // namespace damaskgate::entry
