#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "damaskgate/core/names.h"

#include "damaskgate/entry/dialect.h"

namespace damaskgate::entry {

/** Identity and limits of one entry. */
struct EntryOptions
{
    core::HostName host;
    Dialect dialect = ownDialect();
    std::uint64_t incarnation = 0; //!< differs with each start of the process
    std::string fleetSecret; //!< signs operation tickets; equal on all hosts

    std::size_t maxConnections = 4096; //!< open connections of callers
    std::size_t maxHeaderBytes = 16384; //!< request line and fields
    std::chrono::milliseconds headerTimeout { 10000 }; //!< from its first byte to its end
    std::chrono::milliseconds keepAliveTimeout { 60000 }; //!< between two requests
    std::chrono::milliseconds connectTimeout { 1000 }; //!< towards an endpoint
    std::chrono::milliseconds drainIdleTimeout { 1000 }; //!< idle connections stay open in a drain
    std::chrono::seconds operationLifetime { 300 }; //!< of an operation ticket
    std::size_t operationCapacity = 50000; //!< operations remembered at the same time
};

} // namespace damaskgate::entry
