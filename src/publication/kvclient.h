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

/** A value of the platform with the index to watch it from. */
struct KvValue
{
    std::uint64_t index = 0;
    std::optional<std::string> value; //!< nothing when there is no such key
};

/** A blocking query: waits until the index is above the one given. */
struct KvWatch
{
    std::uint64_t index = 0;
    std::chrono::milliseconds wait { 0 };
};

/** Reads one key at a time from one replica of the platform over a connection that is kept. */
class KvClient
{
public:
    KvClient(boost::asio::io_context &context, std::chrono::milliseconds timeout);

    /** Turns to another replica; closes the connection to the former one. */
    void setReplica(const settings::SocketAddress &replica);

    /**
     * Reads @p key.
     *
     * @param watch when given, waits for a change
     * @return the value; fails with PlatformUnavailable
     */
    boost::asio::awaitable<core::Result<KvValue>> get(std::string key,
                                                      std::optional<KvWatch> watch);

    /** Ends the call under way. */
    void close();

private:
    http::HttpReader reader;
};

} // namespace damaskgate::publication
