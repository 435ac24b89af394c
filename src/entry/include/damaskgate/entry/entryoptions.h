#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "damaskgate/core/names.h"

#include "damaskgate/entry/dialect.h"

namespace damaskgate::entry {

/** Identity, limits and timeouts of one entry host. */
struct EntryOptions
{
    core::HostName host;
    Dialect dialect = ownDialect();
    std::uint64_t incarnation = 0; //!< changes at each start of the process
    std::string fleetSecret; //!< signs operation tickets; the same on all hosts

    std::size_t maxConnections = 4096; //!< limit of open caller connections
    std::size_t maxHeaderBytes = 16384; //!< size limit of request line and fields
    std::chrono::milliseconds headerTimeout { 10000 }; //!< limit from first to last header byte
    std::chrono::milliseconds keepAliveTimeout { 60000 }; //!< maximum idle time between requests
    std::chrono::milliseconds connectTimeout { 1000 }; //!< limit for connecting to an endpoint
    std::chrono::milliseconds drainIdleTimeout { 1000 }; //!< maximum idle time while draining
    std::chrono::seconds operationLifetime { 300 }; //!< validity of an operation ticket
    std::size_t operationCapacity = 50000; //!< maximum number of remembered operations
};

} // namespace damaskgate::entry
