#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "httptypes.h"
#include "oneshot.h"

namespace damaskgate::entry {

/** A connection of a caller and the bytes received on it that are not yet used. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    explicit CallerConnection(asio::ip::tcp::socket socket);

    /**
     * Watches for the caller's leaving while nothing else reads from the connection. A caller that
     * closes its sending side counts as having left.
     *
     * @param onDisconnect called at most once
     */
    void startWatch(std::function<void()> onDisconnect);

    /** Ends the watch; afterwards the connection may be read again. */
    asio::awaitable<void> stopWatch();

    /** Sends @p text whole. */
    asio::awaitable<error_code> write(std::string_view text);

    /** Ends the sending side and discards what still arrives, so that the answer is not lost. */
    asio::awaitable<void> closeGracefully();

    /** Aborts every operation under way; the connection stays open. */
    void cancel();

    /** Closes at once; with @p isReset the caller sees that its answer is cut. */
    void close(bool isReset = false);

    asio::ip::tcp::socket socket;
    beast::flat_buffer buffer;

private:
    void readAhead();
    void onReadAhead(const error_code &ec, std::size_t size);

    std::function<void()> onDisconnect;
    OneShotPtr<bool> watchEnd; //!< set while a watch is to end
    bool isReading = false;
};

} // namespace damaskgate::entry
