#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "damaskgate/core/error.h"
#include "damaskgate/http/httpreader.h"
#include "damaskgate/settings/hostsettings.h"

namespace damaskgate::publication {

/** A value read from the platform, with the index to pass to a following blocking query. */
struct KvValue
{
    std::uint64_t index = 0;
    std::optional<std::string> value; //!< nothing when the key does not exist
};

/** A blocking query: the platform responds once the key's index exceeds the given one. */
struct KvWatch
{
    std::uint64_t index = 0;
    std::chrono::milliseconds wait { 0 }; //!< longest time until the response
};

/** Reads one key at a time from one replica of the platform over a persistent connection. */
class KvClient
{
public:
    KvClient(boost::asio::io_context &context, std::chrono::milliseconds timeout);

    /** Selects the replica to read from; closes the connection to the previous one. */
    void setReplica(const settings::SocketAddress &replica);

    /**
     * Reads @p key.
     *
     * @param watch makes the call a blocking query when given
     * @return the value, or PlatformUnavailable
     */
    boost::asio::awaitable<core::Result<KvValue>> get(std::string key,
                                                      std::optional<KvWatch> watch);

    /** Cancels the current call. */
    void close();

private:
    http::HttpReader reader;
};

} // namespace damaskgate::publication
