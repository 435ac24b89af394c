#include "damaskgate/relay/settingsrelay.h"

#include <optional>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "damaskgate/settings/manifest.h"

#include "testtree.h"

using namespace damaskgate;
using namespace damaskgate::relay;
using settings::tests::bundleOf;
using settings::tests::validTree;

using Outcome = settings::OfferResult::Outcome;

namespace {

const core::HostName Peer("nor-02");

//! Settings store and relay of one host.
struct RelayHost
{
    explicit RelayHost(boost::asio::io_context &context)
        : store(events), relay(context.get_executor(), store, events)
    {}

    core::NullEventSink events;
    settings::SettingsStore store;
    SettingsRelay relay;
};

class SettingsRelayFixture : public testing::Test
{
protected:
    SettingsRelayFixture() : server(context), client(context) {}

    //! Starts a fetch at the client and runs the control thread's context until it has finished.
    core::Result<settings::OfferResult> fetch(std::uint16_t port, const settings::Revision &wanted)
    {
        std::optional<core::Result<settings::OfferResult>> fetched;
        this->client.relay.fetch(Peer, "127.0.0.1", port, wanted,
                                 [&](auto result) { fetched = std::move(result); });
        this->context.restart();
        const auto work = boost::asio::make_work_guard(this->context);
        while (!fetched) {
            this->context.run_one();
        }
        return *fetched;
    }

    boost::asio::io_context context;
    RelayHost server;
    RelayHost client;
};

using SettingsRelay_Tests = SettingsRelayFixture;

} // namespace

TEST_F(SettingsRelay_Tests, Fetch_HigherRevision_IsInForceAfterwards)
{
    // [GIVEN] A host that serves a revision
    server.store.offer(bundleOf(3, validTree()), "test");
    const auto port = server.relay.serve("127.0.0.1", 0);
    ASSERT_TRUE(port.has_value());

    // [WHEN] Another host fetches it
    const auto fetched = this->fetch(*port, server.store.current()->revision);

    // [THEN] The revision is in force at that host too
    ASSERT_TRUE(fetched.has_value()) << fetched.error().detail;
    EXPECT_EQ(fetched->outcome, Outcome::Accepted);
    EXPECT_EQ(client.store.current()->revision, server.store.current()->revision);
}

TEST_F(SettingsRelay_Tests, Fetch_OneBranchChanged_KeepsTheOthers)
{
    // [GIVEN] The server has a revision that differs in one branch from that of the client
    auto texts = validTree();
    client.store.offer(bundleOf(3, texts), "test");
    texts["domains"] = R"({"entries":{"north":{},"south":{}}})";
    server.store.offer(bundleOf(4, texts), "test");
    const auto before = client.store.bundle();
    const auto port = server.relay.serve("127.0.0.1", 0);

    // [WHEN] The client fetches it
    const auto fetched = this->fetch(*port, server.store.current()->revision);

    // [THEN] Only the changed branch was copied
    ASSERT_TRUE(fetched.has_value()) << fetched.error().detail;
    std::size_t copied = 0;
    for (const auto &[hash, text] : client.store.bundle()->branches) {
        const auto known = before->branches.find(hash);
        copied += known == before->branches.end() || known->second != text ? 1 : 0;
    }
    EXPECT_EQ(copied, 1U);
}

TEST_F(SettingsRelay_Tests, Fetch_PeerHasAnotherRevision_NothingIsOffered)
{
    // [GIVEN] A peer whose content does not match the announced hash
    server.store.offer(bundleOf(3, validTree()), "test");
    const auto port = server.relay.serve("127.0.0.1", 0);

    // [WHEN] The announced revision is fetched
    const auto fetched = this->fetch(*port, { 9, std::string(64, 'f') });

    // [THEN] The fetch fails and no settings are in force
    ASSERT_FALSE(fetched.has_value());
    EXPECT_EQ(fetched.error().reason, core::Reason::PeerUnreachable);
    EXPECT_EQ(client.store.current(), nullptr);
}

TEST_F(SettingsRelay_Tests, Fetch_PeerHasNoSettings_Fails)
{
    const auto port = server.relay.serve("127.0.0.1", 0);
    EXPECT_FALSE(this->fetch(*port, { 1, std::string(64, 'a') }).has_value());
}

TEST_F(SettingsRelay_Tests, Fetch_NobodyListens_FailsAndCanBeRepeated)
{
    // [GIVEN] A port on which no host listens any more
    server.store.offer(bundleOf(3, validTree()), "test");
    const settings::Revision wanted = server.store.current()->revision;
    const auto port = server.relay.serve("127.0.0.1", 0);
    server.relay.stop();

    // [THEN] Each fetch fails, and none is rejected because an earlier one is still under way
    for (int i = 0; i < 2; ++i) {
        const auto fetched = this->fetch(*port, wanted);
        ASSERT_FALSE(fetched.has_value());
        EXPECT_EQ(fetched.error().detail.find("under way"), std::string::npos);
    }
}

TEST_F(SettingsRelay_Tests, Serve_AddressTaken_Fails)
{
    const auto port = server.relay.serve("127.0.0.1", 0);
    ASSERT_TRUE(port.has_value());
    EXPECT_FALSE(client.relay.serve("127.0.0.1", *port).has_value());
}
