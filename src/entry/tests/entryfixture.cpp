#include "entryfixture.h"

namespace damaskgate::entry {

namespace {

settings::Endpoint makeEndpoint(const char *name, std::uint16_t port)
{
    settings::Endpoint endpoint;
    endpoint.name = core::EndpointName(name);
    endpoint.address = "127.0.0.1";
    endpoint.port = port;
    return endpoint;
}

void addRoute(settings::Settings &settings, const char *name, const char *prefix, bool isRepeatable,
              bool isOpen)
{
    settings::Route route;
    route.name = core::RouteName(name);
    route.pathPrefix = prefix;
    route.service = core::ServiceName("bokun");
    route.isRepeatable = isRepeatable;
    route.isOpen = isOpen;
    route.timeout = std::chrono::seconds(20);
    settings.routes[route.name] = route;
}

} // namespace

EntryFixture::EntryFixture() : work(boost::asio::make_work_guard(this->ioContext))
{
    this->options.host = core::HostName("ves-01");
    this->options.incarnation = 7;
    this->options.fleetSecret = "secret";
    this->balancer.endpoints = { makeEndpoint("bokun-1", this->first.port()),
                                 makeEndpoint("bokun-2", this->second.port()) };
    this->store.replace(makeSettings());
}

EntryFixture::~EntryFixture()
{
    if (this->server) {
        this->call([this] { this->server->stop(); });
        EXPECT_TRUE(this->eventually([this] { return this->server->connectionCount() == 0; }));
    }
    this->work.reset();
    this->ioContext.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    EXPECT_TRUE(this->balancer.heldGrants.empty());
}

void EntryFixture::start()
{
    const EntryDependencies dependencies { this->clock,    this->store,       this->admission,
                                           this->balancer, this->events,      this->lookup,
                                           this->observer, this->servingGate, this->retryBudget };
    this->server = std::make_unique<EntryServer>(this->ioContext, dependencies, this->options);
    this->port = this->server->listen("127.0.0.1", 0).value();
    this->thread = std::thread([this] { this->ioContext.run(); });
}

bool EntryFixture::eventually(const std::function<bool()> &condition)
{
    constexpr int MaxPolls = 2000;
    constexpr std::chrono::milliseconds Interval { 5 };
    for (int i = 0; i < MaxPolls; ++i) {
        if (this->call([&condition] { return condition(); })) {
            return true;
        }
        std::this_thread::sleep_for(Interval);
    }
    return false;
}

RawPeer EntryFixture::connect() const
{
    return RawPeer(this->port);
}

std::string EntryFixture::request(const std::string &line, const std::string &rest)
{
    return line + " HTTP/1.1\r\nHost: hall\r\nDamaskgate-Key: " + Key + "\r\n" + rest + "\r\n";
}

RawPeer EntryFixture::sendNew(const std::string &line, const std::string &rest) const
{
    RawPeer caller = this->connect();
    caller.send(request(line, rest));
    return caller;
}

std::shared_ptr<settings::Settings> EntryFixture::makeSettings()
{
    auto settings = std::make_shared<settings::Settings>();
    addRoute(*settings, "read", "/read", true, false);
    addRoute(*settings, "book", "/book", false, false);
    addRoute(*settings, "open", "/open", true, true);
    settings::Workspace workspace;
    workspace.name = core::WorkspaceName("parents");
    workspace.keyHashes = { core::sha256(Key) };
    settings->workspaces[workspace.name] = workspace;
    return settings;
}

} // namespace damaskgate::entry
