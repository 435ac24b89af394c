#include "damaskgate/entry/entryserver.h"

#include <algorithm>
#include <exception>
#include <unordered_set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "callersession.h"
#include "entrycontext.h"

namespace damaskgate::entry {

namespace {

constexpr std::chrono::milliseconds SweepInterval { 250 };
constexpr std::chrono::milliseconds AcceptRetryDelay { 50 }; //!< pause after a failed accept

} // namespace

class EntryServer::Impl : public std::enable_shared_from_this<EntryServer::Impl>
{
public:
    Impl(boost::asio::io_context &ioContext, const EntryDependencies &dependencies,
         EntryOptions options)
        : context(ioContext, dependencies, std::move(options)), acceptor(ioContext),
          sweepTimer(ioContext)
    {}

    core::Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);
    void drain(DrainDone done);
    void stop();

    EntryContext context;
    std::unordered_set<std::shared_ptr<CallerSession>> sessions;

private:
    asio::awaitable<void> acceptCallers();
    asio::awaitable<void> runSession(std::shared_ptr<CallerSession> session);
    asio::awaitable<void> sweep();
    void addSession(asio::ip::tcp::socket socket);
    void acceptPending();
    void checkDrained();

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    DrainDone drainDone;
};

core::Result<std::uint16_t> EntryServer::Impl::listen(const std::string &address,
                                                      std::uint16_t port)
{
    error_code ec;
    const asio::ip::tcp::endpoint local(asio::ip::make_address(address, ec), port);
    if (ec) {
        return core::notRun(core::Reason::Internal, "invalid IP address: " + address);
    }
    this->acceptor.open(local.protocol(), ec);
    if (!ec) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        this->acceptor.bind(local, ec);
    }
    if (!ec) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return core::notRun(core::Reason::Internal, "cannot listen: " + ec.message());
    }
    const auto self = this->shared_from_this();
    asio::co_spawn(
        this->context.ioContext, [self] { return self->acceptCallers(); }, asio::detached);
    asio::co_spawn(
        this->context.ioContext, [self] { return self->sweep(); }, asio::detached);
    return this->acceptor.local_endpoint().port();
}

void EntryServer::Impl::drain(DrainDone done)
{
    this->drainDone = std::move(done);
    this->context.isDraining = true;
    this->acceptPending();
    error_code ignored;
    this->acceptor.close(ignored);
    const core::Instant now = this->context.now();
    std::ranges::for_each(this->sessions, [now](const auto &session) { session->onDrain(now); });
    this->checkDrained();
}

void EntryServer::Impl::stop()
{
    this->context.isStopped = true;
    this->context.isDraining = true;
    error_code ignored;
    this->acceptor.close(ignored);
    this->sweepTimer.cancel();
    const auto open = this->sessions;
    std::ranges::for_each(open, [](const auto &session) { session->stop(); });
    this->context.pool.closeAll();
}

asio::awaitable<void> EntryServer::Impl::acceptCallers()
{
    while (this->acceptor.is_open()) {
        auto [ec, socket] = co_await this->acceptor.async_accept(WithError);
        if (!ec) {
            this->addSession(std::move(socket));
            continue;
        }
        if (this->acceptor.is_open()) {
            asio::steady_timer pause(this->context.ioContext, AcceptRetryDelay);
            co_await pause.async_wait(WithError);
        }
    }
}

asio::awaitable<void> EntryServer::Impl::runSession(std::shared_ptr<CallerSession> session)
{
    try {
        co_await session->run();
    } catch (const std::exception &error) {
        this->context.dependencies.events.record(
            { "caller-session-failed", { { "error", error.what() } } });
        session->stop();
    }
    this->sessions.erase(session);
    this->checkDrained();
}

asio::awaitable<void> EntryServer::Impl::sweep()
{
    while (!this->context.isStopped) {
        this->sweepTimer.expires_after(SweepInterval);
        co_await this->sweepTimer.async_wait(WithError);
        const core::Instant now = this->context.now();
        std::ranges::for_each(this->sessions,
                              [now](const auto &session) { session->checkTimeouts(now); });
        this->context.pool.closeIdle(now);
        if (this->context.isDraining && this->sessions.empty()) {
            break;
        }
    }
}

void EntryServer::Impl::addSession(asio::ip::tcp::socket socket)
{
    if (this->sessions.size() >= this->context.options.maxConnections) {
        return;
    }
    const auto session = std::make_shared<CallerSession>(this->context, std::move(socket));
    this->sessions.insert(session);
    asio::co_spawn(
        this->context.ioContext,
        [self = this->shared_from_this(), session] { return self->runSession(session); },
        asio::detached);
}

// Accepts the connections in the listen backlog, since closing the acceptor would reset them.
void EntryServer::Impl::acceptPending()
{
    error_code ec;
    this->acceptor.cancel(ec);
    this->acceptor.non_blocking(true, ec);
    while (!ec) {
        asio::ip::tcp::socket socket(this->context.ioContext);
        this->acceptor.accept(socket, ec);
        if (!ec) {
            this->addSession(std::move(socket));
        }
    }
}

void EntryServer::Impl::checkDrained()
{
    if (this->drainDone && this->sessions.empty()) {
        boost::asio::post(this->context.ioContext, std::exchange(this->drainDone, nullptr));
    }
}

EntryServer::EntryServer(boost::asio::io_context &ioContext, const EntryDependencies &dependencies,
                         EntryOptions options)
    : impl(std::make_shared<Impl>(ioContext, dependencies, std::move(options)))
{}

EntryServer::~EntryServer()
{
    this->impl->stop();
}

core::Result<std::uint16_t> EntryServer::listen(const std::string &address, std::uint16_t port)
{
    return this->impl->listen(address, port);
}

void EntryServer::setMaxConnections(std::size_t limit)
{
    this->impl->context.options.maxConnections = limit;
}

void EntryServer::disableKeepAlive()
{
    this->impl->context.isKeepAliveDisabled = true;
}

void EntryServer::scheduleDrain(core::Instant due)
{
    this->impl->context.drainDue = due;
}

void EntryServer::drain(DrainDone done)
{
    this->impl->drain(std::move(done));
}

void EntryServer::stop()
{
    this->impl->stop();
}

std::size_t EntryServer::connectionCount() const
{
    return this->impl->sessions.size();
}

bool EntryServer::isIdle() const
{
    return this->impl->context.exchanges == 0
        && std::ranges::all_of(this->impl->sessions,
                               [](const auto &session) { return session->isIdle(); });
}

std::size_t EntryServer::exchangeCount() const
{
    return this->impl->context.exchanges;
}

} // namespace damaskgate::entry
