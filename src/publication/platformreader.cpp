#include "damaskgate/publication/platformreader.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "damaskgate/core/error.h"
#include "damaskgate/settings/manifest.h"

#include "damaskgate/publication/ihostlistlistener.h"
#include "damaskgate/publication/iplatformlistener.h"

#include "backoff.h"
#include "hostlist.h"
#include "kvclient.h"

namespace damaskgate::publication {

namespace asio = boost::asio;

namespace {

//! Limits the call rate when the platform responds to blocking queries immediately.
constexpr std::chrono::milliseconds MinCallPause { 100 };

//! State of following one key: connection, last index and backoff after failures.
struct KeyFollower
{
    KeyFollower(asio::io_context &context, const PlatformReaderOptions &options, std::string key,
                std::uint64_t seed)
        : client(context, options.callTimeout), timer(context),
          backoff(options.firstBackoff, options.maxBackoff, seed), key(std::move(key))
    {}

    KvClient client;
    asio::steady_timer timer;
    Backoff backoff;
    std::string key;
    std::string lastFailure;
    std::size_t replica = 0;
    std::uint64_t index = 0;
};

} // namespace

class PlatformReader::Session : public std::enable_shared_from_this<PlatformReader::Session>
{
public:
    Session(asio::io_context &context, PlatformReaderOptions options,
            settings::SettingsStore &store, core::IEventSink &events, const core::IClock &clock)
        : context(context), options(std::move(options)), store(store), events(events), clock(clock),
          manifest(context, this->options, this->options.prefix + "manifest",
                   this->options.randomSeed),
          hosts(context, this->options, this->options.prefix + "hosts",
                this->options.randomSeed + 1)
    {}

    void start()
    {
        this->isStopped = false;
        this->startFollowing(this->manifest, &Session::onManifest);
        this->startFollowing(this->hosts, &Session::onHosts);
    }

    void stop()
    {
        this->isStopped = true;
        for (KeyFollower *follower : { &this->manifest, &this->hosts }) {
            follower->client.close();
            follower->timer.cancel();
        }
    }

    IHostListListener *hostListListener = nullptr;
    IPlatformListener *platformListener = nullptr;
    ReadTiming timing;

private:
    //! Processes a value that was read. An error makes the follower switch to the next replica.
    using Handler = asio::awaitable<core::Result<void>> (Session::*)(std::string value,
                                                                     core::Instant sentAt);

    //! Starts the loop that reads the key of @p follower until the session is stopped.
    void startFollowing(KeyFollower &follower, Handler handler)
    {
        follower.client.setReplica(this->options.replicas.at(follower.replica));
        asio::co_spawn(this->context, this->run(follower, handler, this->shared_from_this()),
                       asio::detached);
    }

    asio::awaitable<void> run(KeyFollower &follower, Handler handler,
                              std::shared_ptr<Session> /*keepAlive*/)
    {
        while (!this->isStopped) {
            const auto result = co_await this->readOnce(follower, handler);
            if (this->isStopped) {
                co_return;
            }
            if (result) {
                follower.backoff.reset();
                follower.lastFailure.clear();
                co_await this->sleep(follower, std::max(this->timing.pollPause, MinCallPause));
                continue;
            }
            this->reportFailure(follower, result.error().detail);
            this->switchToNextReplica(follower);
            co_await this->sleep(follower, follower.backoff.next());
        }
    }

    //! NOTE Consecutive equal failures are reported once, as an outage may last for hours.
    void reportFailure(KeyFollower &follower, const std::string &detail)
    {
        if (std::exchange(follower.lastFailure, detail) == detail) {
            return;
        }
        const settings::SocketAddress &replica = this->options.replicas[follower.replica];
        this->events.record({ "platform-unavailable",
                              { { "key", std::string_view(follower.key) },
                                { "address", std::string_view(replica.address) },
                                { "port", replica.port },
                                { "detail", std::string_view(detail) } } });
    }

    asio::awaitable<core::Result<void>> readOnce(KeyFollower &follower, Handler handler)
    {
        const core::Instant sentAt = this->clock.now();
        auto read = co_await follower.client.get(follower.key, this->blockingQueryFor(follower));
        if (!read) {
            co_return tl::unexpected(std::move(read.error()));
        }
        if (this->isStopped) {
            co_return core::Result<void> {};
        }
        if (!read->value) {
            follower.index = read->index;
            co_return core::notRun(core::Reason::PlatformUnavailable, "key does not exist");
        }
        auto handled = co_await (this->*handler)(std::move(*read->value), sentAt);
        //! NOTE The index may decrease after the platform was restored from a backup. The next read
        //! then does not wait.
        follower.index = handled && read->index >= follower.index ? read->index : 0;
        co_return handled;
    }

    std::optional<KvWatch> blockingQueryFor(const KeyFollower &follower) const
    {
        const bool isWatching = follower.index != 0 && this->timing.blockingWait.count() > 0;
        return isWatching ? std::optional(KvWatch { follower.index, this->timing.blockingWait })
                          : std::nullopt;
    }

    void switchToNextReplica(KeyFollower &follower)
    {
        follower.replica = (follower.replica + 1) % this->options.replicas.size();
        follower.index = 0;
        follower.client.setReplica(this->options.replicas[follower.replica]);
    }

    asio::awaitable<void> sleep(KeyFollower &follower, std::chrono::milliseconds pause)
    {
        if (pause.count() <= 0) {
            co_return;
        }
        boost::system::error_code ignored;
        follower.timer.expires_after(pause);
        co_await follower.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<core::Result<void>> onManifest(std::string text, core::Instant sentAt)
    {
        const auto manifest = settings::parseManifest(text);
        if (!manifest) {
            co_return core::notRun(core::Reason::SettingsInvalid,
                                   settings::toLine(manifest.error().front()));
        }
        using Decision = settings::RevisionGate::Decision;
        const Decision decision = this->store.decide(manifest->revision);
        if (decision == Decision::Older) {
            co_return core::notRun(core::Reason::PlatformUnavailable,
                                   "stale revision " + std::to_string(manifest->revision.number));
        }
        if (decision == Decision::Newer) {
            const auto fetched = co_await this->fetch(std::move(text), *manifest);
            if (!fetched) {
                co_return fetched;
            }
        }
        if (this->platformListener != nullptr && !this->isStopped) {
            this->platformListener->onPlatformAnswered(sentAt);
        }
        co_return core::Result<void> {};
    }

    asio::awaitable<core::Result<void>> fetch(std::string text, const settings::Manifest &manifest)
    {
        const auto localBundle = this->store.bundle();
        auto bundle = std::make_shared<settings::SettingsBundle>();
        bundle->manifest = std::move(text);
        for (const std::string &hash : settings::branchHashesOf(manifest)) {
            const auto branch = co_await this->branch(hash, localBundle);
            if (!branch) {
                co_return tl::unexpected(branch.error());
            }
            bundle->branches.emplace(hash, *branch);
        }
        if (!this->isStopped) {
            this->store.offer(bundle, "platform");
        }
        co_return core::Result<void> {};
    }

    asio::awaitable<core::Result<settings::BranchText>> branch(std::string hash,
                                                               settings::BundlePtr localBundle)
    {
        if (localBundle) {
            const auto known = localBundle->branches.find(hash);
            if (known != localBundle->branches.end()) {
                co_return known->second;
            }
        }
        auto read = co_await this->manifest.client.get(this->options.prefix + "branch/" + hash,
                                                       std::nullopt);
        if (!read) {
            co_return tl::unexpected(std::move(read.error()));
        }
        if (!read->value) {
            co_return core::notRun(core::Reason::PlatformUnavailable, "missing branch " + hash);
        }
        if (core::toHex(core::sha256(*read->value)) != hash) {
            co_return core::notRun(core::Reason::PlatformUnavailable,
                                   "content does not match the hash of branch " + hash);
        }
        co_return std::make_shared<const std::string>(std::move(*read->value));
    }

    asio::awaitable<core::Result<void>> onHosts(std::string text, core::Instant /*sentAt*/)
    {
        const auto list = parseHostList(text);
        if (!list) {
            co_return core::notRun(core::Reason::PlatformUnavailable,
                                   "host list is not a JSON array");
        }
        if (this->hostListListener != nullptr) {
            this->hostListListener->onHostList(*list);
        }
        co_return core::Result<void> {};
    }

    asio::io_context &context;
    PlatformReaderOptions options;
    settings::SettingsStore &store;
    core::IEventSink &events;
    const core::IClock &clock;
    KeyFollower manifest;
    KeyFollower hosts;
    bool isStopped = true;
};

PlatformReader::PlatformReader(asio::io_context &context, PlatformReaderOptions options,
                               settings::SettingsStore &store, core::IEventSink &events,
                               const core::IClock &clock)
    : session(std::make_shared<Session>(context, std::move(options), store, events, clock))
{}

PlatformReader::~PlatformReader()
{
    this->stop();
}

void PlatformReader::setHostListListener(IHostListListener *listener)
{
    this->session->hostListListener = listener;
}

void PlatformReader::setPlatformListener(IPlatformListener *listener)
{
    this->session->platformListener = listener;
}

void PlatformReader::setTiming(const ReadTiming &timing)
{
    this->session->timing = timing;
}

void PlatformReader::start()
{
    this->session->start();
}

void PlatformReader::stop()
{
    this->session->stop();
}

} // namespace damaskgate::publication
