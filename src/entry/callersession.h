#pragma once

#include <memory>
#include <optional>

#include "callerconnection.h"
#include "entrycontext.h"
#include "exchange.h"

namespace damaskgate::entry {

/** Serves the requests of one connection of a caller, one after the other. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(EntryContext &context, asio::ip::tcp::socket socket);

    /** @return when the connection is closed. */
    asio::awaitable<void> run();

    /** Ends a connection whose caller has been silent for too long. */
    void checkTimeouts(core::Instant now);

    /** Ends the connection when it is idle; a request under way ends it by its answer. */
    void onDrain(core::Instant now);

    /** Closes at once. */
    void stop();

private:
    enum class Phase {
        Idle, //!< nothing of the next request has arrived
        Header, //!< a part of a header has arrived
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
    bool isTimedOut = false;
};

} // namespace damaskgate::entry
