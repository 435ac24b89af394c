#include "damaskgate/publication/platformreader.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include "damaskgate/settings/manifest.h"

#include "damaskgate/publication/ihostlistlistener.h"
#include "damaskgate/publication/iplatformlistener.h"

#include "platformserver.h"
#include "testtree.h"

using namespace damaskgate;
using namespace damaskgate::publication;
using settings::tests::bundleOf;
using settings::tests::TreeTexts;
using settings::tests::validTree;

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

class Listener final : public IHostListListener, public IPlatformListener
{
public:
    void onHostList(const std::vector<ListedHost> &hosts) override
    {
        this->hosts = hosts;
    }

    void onPlatformAnswered(core::Instant /*sentAt*/) override
    {
        ++this->confirmations;
    }

    std::vector<ListedHost> hosts;
    int confirmations = 0;
};

class PlatformReaderFixture : public testing::Test
{
protected:
    PlatformReaderFixture() : store(events)
    {
        this->server = std::make_unique<standins::PlatformServer>(
            this->context, standins::PlatformServerOptions {});
        this->server->start();
    }

    ~PlatformReaderFixture() override
    {
        this->reader->stop();
        this->server->stop();
        this->context.restart();
        this->context.poll();
    }

    void startReader()
    {
        PlatformReaderOptions options;
        options.replicas = { { "127.0.0.1", this->server->port() } };
        options.maxBackoff = std::chrono::milliseconds(100);
        this->reader = std::make_unique<PlatformReader>(this->context, options, this->store,
                                                        this->events, this->clock);
        this->reader->setHostListListener(&this->listener);
        this->reader->setPlatformListener(&this->listener);
        this->reader->setTiming({ std::chrono::milliseconds(200), {} });
        this->reader->start();
    }

    //! Sends a PUT request to the platform stand-in, which runs on the same io_context.
    void put(const std::string &target, const std::string &body)
    {
        auto stream = std::make_shared<beast::tcp_stream>(this->context);
        http::request<http::string_body> request(http::verb::put, target, 11);
        request.body() = body;
        request.prepare_payload();
        bool isDone = false;
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        stream->async_connect(
            { asio::ip::make_address("127.0.0.1"), this->server->port() }, [&](auto) {
                http::async_write(*stream, request, [&](auto, auto) {
                    http::async_read(*stream, buffer, response, [&](auto, auto) { isDone = true; });
                });
            });
        this->runUntil([&] { return isDone; });
    }

    void publish(std::uint64_t number, const TreeTexts &texts)
    {
        const auto bundle = bundleOf(number, texts);
        for (const auto &[hash, text] : bundle->branches) {
            this->put("/_control/kv/damaskgate/branch/" + hash, *text);
        }
        this->put("/_control/kv/damaskgate/manifest", bundle->manifest);
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        while (!isDone()) {
            this->context.run_one();
        }
    }

    std::uint64_t revisionInForce() const
    {
        const auto current = this->store.current();
        return current ? current->revision.number : 0;
    }

    asio::io_context context;
    core::NullEventSink events;
    core::SystemClock clock;
    settings::SettingsStore store;
    Listener listener;
    std::unique_ptr<standins::PlatformServer> server;
    std::unique_ptr<PlatformReader> reader;
};

using PlatformReader_Tests = PlatformReaderFixture;

} // namespace

TEST_F(PlatformReader_Tests, Start_PublishedTree_ComesIntoForceAndFollowsChanges)
{
    // [GIVEN] A published settings tree and a host list
    this->publish(1, validTree());
    this->put("/_control/kv/damaskgate/hosts",
              R"([{"host":"a","address":"127.0.0.1","domain":"north","state":"live"}])");

    // [WHEN] The reader starts, and a higher revision is published later
    this->startReader();
    this->runUntil(
        [&] { return this->revisionInForce() == 1 && this->listener.hosts.size() == 1; });
    this->publish(2, validTree());

    // [THEN] It comes into force, and the listener was notified of a confirmation
    this->runUntil([&] { return this->revisionInForce() == 2; });
    EXPECT_GT(this->listener.confirmations, 0);
}

TEST_F(PlatformReader_Tests, Watch_PlatformReturnsLowerRevision_KeepsHigherAndIsNoConfirmation)
{
    // [GIVEN] Revision 2 in force
    this->publish(2, validTree());
    this->startReader();
    this->runUntil([&] { return this->revisionInForce() == 2; });

    // [WHEN] The platform returns revision 1, then 3
    this->publish(1, validTree());
    const int confirmationsBefore = this->listener.confirmations;
    this->put("/_control/kv/damaskgate/hosts",
              R"([{"host":"b","address":"127.0.0.1","domain":"north","state":"live"}])");
    this->runUntil([&] { return this->listener.hosts.size() == 1; });
    EXPECT_EQ(this->revisionInForce(), 2U);
    EXPECT_LE(this->listener.confirmations, confirmationsBefore + 1);
    this->publish(3, validTree());

    // [THEN] Only revision 3 comes into force
    this->runUntil([&] { return this->revisionInForce() == 3; });
}

namespace {

//! Fault injected into the platform stand-in while revision 2 is published.
struct PlatformFault
{
    std::string name;
    std::string faults;
};

std::ostream &operator<<(std::ostream &stream, const PlatformFault &given)
{
    return stream << given.name;
}

class PlatformReaderFaultFixture : public PlatformReaderFixture,
                                   public testing::WithParamInterface<PlatformFault>
{};

using PlatformReader_Faults = PlatformReaderFaultFixture;

} // namespace

TEST_P(PlatformReader_Faults, Watch_TemporaryFault_KeepsLastValidRevisionAndCatchesUp)
{
    // [GIVEN] Revision 1 in force
    this->publish(1, validTree());
    this->startReader();
    this->runUntil([&] { return this->revisionInForce() == 1; });

    // [WHEN] Revision 2 is published while the platform is faulty
    this->put("/_control/faults", GetParam().faults);
    this->publish(2, validTree());
    for (int i = 0; i < 50; ++i) {
        this->context.run_one();
    }
    EXPECT_EQ(this->revisionInForce(), 1U);

    // [THEN] It comes into force once the fault has ended
    this->put("/_control/faults", "{}");
    this->runUntil([&] { return this->revisionInForce() == 2; });
}

INSTANTIATE_TEST_SUITE_P(Table, PlatformReader_Faults,
                         testing::Values(PlatformFault { "Down", R"({"down":true})" },
                                         PlatformFault { "Stale", R"({"stale":true})" },
                                         PlatformFault { "Truncated", R"({"truncated":true})" }),
                         [](const auto &info) { return info.param.name; });
