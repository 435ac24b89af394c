#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "damaskgate/http/checkedstream.h"

#include "httptypes.h"
#include "oneshot.h"

namespace damaskgate::entry {

using CallerStream = damaskgate::http::CheckedStream<asio::ip::tcp::socket>;

/** Connection of a caller with its unprocessed received bytes. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    explicit CallerConnection(asio::ip::tcp::socket socket);

    /**
     * Detects a disconnect of the caller while nothing else reads from the connection. Closing the
     * sending side counts as a disconnect.
     *
     * @param onDisconnect called at most once
     */
    void startWatch(std::function<void()> onDisconnect);

    /** Stops the watch; afterwards other code may read from the connection. */
    asio::awaitable<void> stopWatch();

    /** Sends all of @p text. */
    asio::awaitable<error_code> write(std::string_view text);

    /** Closes the sending side, then discards input, so that no reset destroys the response. */
    asio::awaitable<void> closeGracefully();

    /** @return whether received bytes wait to be read. */
    bool hasInput() const;

    /** Aborts all pending operations; the connection stays open. */
    void cancel();

    /** Closes immediately; with @p isReset the caller detects a truncated response. */
    void close(bool isReset = false);

    asio::ip::tcp::socket socket;
    CallerStream stream { this->socket }; //!< for bodies and all responses
    beast::flat_buffer buffer;

private:
    void readAhead();
    void onReadAhead(const error_code &ec, std::size_t size);

    std::function<void()> onDisconnect;
    OneShotPtr<bool> watchEnd; //!< set while stopWatch() waits for the pending read
    bool isReading = false;
};

} // namespace damaskgate::entry
