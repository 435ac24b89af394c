#pragma once

#include <memory>
#include <optional>

#include "callerconnection.h"
#include "entrycontext.h"
#include "exchange.h"

namespace damaskgate::entry {

/** Serves the requests of one caller connection sequentially. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(EntryContext &context, asio::ip::tcp::socket socket);

    /** Serves requests until the connection is closed. */
    asio::awaitable<void> run();

    /** Cancels reading if the keep-alive or header timeout has expired. */
    void checkTimeouts(core::Instant now);

    /** Shortens the timeout of an idle connection; other connections close after their response. */
    void onDrain(core::Instant now);

    /** @return whether no request is in progress, is being read or waits to be read. */
    bool isIdle() const;

    /** Aborts the request in progress and closes the connection immediately. */
    void stop();

private:
    enum class Phase {
        Idle, //!< no byte of the next request has arrived
        Header, //!< a header is being read
        Exchange,
        Closing,
    };

    asio::awaitable<bool> serveNext();
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<core::Result<std::size_t>> receiveHeader();
    asio::awaitable<bool> refuseHeader(const core::Error &error, int status);
    core::Result<void> parseHeader(RequestParser &parser, std::size_t size);
    void enterPhase(Phase next, core::Duration timeout);
    void skipEmptyLines();

    EntryContext &context;
    std::shared_ptr<CallerConnection> connection;
    std::shared_ptr<Exchange> exchange; //!< null between requests
    Phase phase = Phase::Idle;
    core::Instant phaseEnd;
    bool isTimedOut = false; //!< the timeout of the phase has expired
};

} // namespace damaskgate::entry
