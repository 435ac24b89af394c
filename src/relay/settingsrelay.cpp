#include "damaskgate/relay/settingsrelay.h"

#include <future>
#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "fetchoperation.h"
#include "kjthread.h"
#include "settingssource.h"

namespace damaskgate::relay {

namespace {

constexpr auto FetchTimeout = 5 * kj::SECONDS;

tl::unexpected<core::Error> unreachable(std::string detail)
{
    return core::notRun(core::Reason::PeerUnreachable, std::move(detail));
}

std::string describe(const kj::Exception &exception)
{
    return { exception.getDescription().cStr() };
}

//! RPC server and running fetches. Created, used and destroyed on the KJ thread only.
class KjState final : public kj::TaskSet::ErrorHandler
{
public:
    explicit KjState(kj::AsyncIoContext &io) : io(io), tasks(*this) {}

    void taskFailed(kj::Exception && /*exception*/) override {}

    kj::Promise<void> serve(const std::string &address, std::uint16_t port,
                            const settings::SettingsStore &store)
    {
        this->server = kj::heap<capnp::TwoPartyServer>(kj::heap<SettingsSource>(store));
        return this->io.provider->getNetwork()
            .parseAddress(address.c_str(), port)
            .then([this](kj::Own<kj::NetworkAddress> parsed) {
                this->receiver = parsed->listen();
                this->tasks.add(
                    KJ_ASSERT_NONNULL(this->server)->listen(*KJ_ASSERT_NONNULL(this->receiver)));
            });
    }

    std::uint16_t port()
    {
        return static_cast<std::uint16_t>(KJ_ASSERT_NONNULL(this->receiver)->getPort());
    }

    kj::Promise<settings::BundlePtr> fetch(FetchRequest request)
    {
        auto operation = kj::heap<FetchOperation>(std::move(request));
        auto running = operation->run(this->io);
        return this->io.provider->getTimer()
            .timeoutAfter(FetchTimeout, kj::mv(running))
            .attach(kj::mv(operation));
    }

    void add(kj::Promise<void> task)
    {
        this->tasks.add(kj::mv(task));
    }

private:
    kj::AsyncIoContext &io;
    kj::Maybe<kj::Own<kj::ConnectionReceiver>> receiver;
    kj::Maybe<kj::Own<capnp::TwoPartyServer>> server;
    kj::TaskSet tasks; //!< declared last, as its tasks use the members above
};

} // namespace

class SettingsRelay::Worker : public std::enable_shared_from_this<SettingsRelay::Worker>
{
public:
    Worker(boost::asio::any_io_executor executor, settings::SettingsStore &store,
           core::IEventSink &events)
        : executor(std::move(executor)), store(store), events(events)
    {
        this->thread.post(
            [this](kj::AsyncIoContext &io) { this->state = std::make_unique<KjState>(io); });
    }

    core::Result<std::uint16_t> serve(const std::string &address, std::uint16_t port)
    {
        std::promise<core::Result<std::uint16_t>> bound;
        this->thread.post([&](kj::AsyncIoContext &io) {
            try {
                this->state->serve(address, port, this->store).wait(io.waitScope);
                bound.set_value(this->state->port());
            } catch (const kj::Exception &exception) {
                bound.set_value(unreachable(describe(exception)));
            }
        });
        return bound.get_future().get();
    }

    void fetch(FetchRequest request, const core::HostName &host, Done done)
    {
        if (this->isStopped || this->fetching >= request.revision) {
            this->rejectFetch(std::move(done));
            return;
        }
        this->fetching = request.revision;
        auto finish = [self = this->shared_from_this(), revision = request.revision, host,
                       done = std::move(done)](const core::Result<settings::BundlePtr> &fetched) {
            self->onFetched(revision, host, fetched, done);
        };
        this->thread.post([this, request = std::move(request),
                           finish = std::move(finish)](kj::AsyncIoContext &) mutable {
            this->startFetch(std::move(request), std::move(finish));
        });
    }

    void stop()
    {
        this->isStopped = true;
        this->thread.stop([this](kj::AsyncIoContext &) { this->state.reset(); });
    }

private:
    using Finish = std::function<void(core::Result<settings::BundlePtr>)>;

    void rejectFetch(Done done)
    {
        boost::asio::post(this->executor, [done = std::move(done)] {
            done(
                unreachable("relay stopped, or a fetch of this or a higher revision is under way"));
        });
    }

    //! Called on the KJ thread.
    void startFetch(FetchRequest request, Finish finish)
    {
        auto post = [executor = this->executor,
                     finish = std::move(finish)](core::Result<settings::BundlePtr> fetched) {
            boost::asio::post(executor,
                              [finish, fetched = std::move(fetched)] { finish(fetched); });
        };
        this->state->add(this->state->fetch(std::move(request))
                             .then([post](settings::BundlePtr bundle) { post(std::move(bundle)); },
                                   [post](kj::Exception &&exception) {
                                       post(unreachable(describe(exception)));
                                   }));
    }

    //! Called on the executor.
    void onFetched(const settings::Revision &revision, const core::HostName &host,
                   const core::Result<settings::BundlePtr> &fetched, const Done &done)
    {
        if (this->fetching == revision) {
            this->fetching.reset();
        }
        if (this->isStopped) {
            return;
        }
        if (!fetched) {
            this->events.record({ "settings-fetch-failed",
                                  { { "host", std::string_view(host.text()) },
                                    { "revision", revision.number },
                                    { "detail", std::string_view(fetched.error().detail) } } });
            done(tl::unexpected(fetched.error()));
            return;
        }
        done(this->store.offer(*fetched, host.text()));
    }

    boost::asio::any_io_executor executor;
    settings::SettingsStore &store;
    core::IEventSink &events;
    std::optional<settings::Revision> fetching; //!< highest being fetched; used on the executor
    bool isStopped = false; //!< used on the executor
    std::unique_ptr<KjState> state; //!< used on the KJ thread
    KjThread thread;
};

SettingsRelay::SettingsRelay(boost::asio::any_io_executor executor, settings::SettingsStore &store,
                             core::IEventSink &events)
    : store(store), worker(std::make_shared<Worker>(std::move(executor), store, events))
{}

SettingsRelay::~SettingsRelay()
{
    this->stop();
}

core::Result<std::uint16_t> SettingsRelay::serve(const std::string &address, std::uint16_t port)
{
    return this->worker->serve(address, port);
}

void SettingsRelay::fetch(const core::HostName &host, const std::string &address,
                          std::uint16_t port, const settings::Revision &revision, Done done)
{
    this->worker->fetch({ address, port, revision, this->store.bundle() }, host, std::move(done));
}

void SettingsRelay::stop()
{
    this->worker->stop();
}

} // namespace damaskgate::relay
