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

//! A store with its relay, as in one host.
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

    //! Runs the control thread until the fetch is done.
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

    // [WHEN] Another one fetches it
    const auto fetched = this->fetch(*port, server.store.current()->revision);

    // [THEN] It is in force there too
    ASSERT_TRUE(fetched.has_value()) << fetched.error().detail;
    EXPECT_EQ(fetched->outcome, Outcome::Accepted);
    EXPECT_EQ(client.store.current()->revision, server.store.current()->revision);
}

TEST_F(SettingsRelay_Tests, Fetch_OneBranchChanged_KeepsTheOthers)
{
    // [GIVEN] Both hosts have a revision, and the server has one that differs in a branch
    auto texts = validTree();
    client.store.offer(bundleOf(3, texts), "test");
    texts["domains"] = R"({"entries":{"north":{},"south":{}}})";
    server.store.offer(bundleOf(4, texts), "test");
    const auto before = client.store.bundle();
    const auto port = server.relay.serve("127.0.0.1", 0);

    // [WHEN] The client fetches it
    const auto fetched = this->fetch(*port, server.store.current()->revision);

    // [THEN] Only that branch was copied anew
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
    // [GIVEN] A peer whose content does not match the hash that was told
    server.store.offer(bundleOf(3, validTree()), "test");
    const auto port = server.relay.serve("127.0.0.1", 0);

    // [WHEN] The revision that was told is fetched
    const auto fetched = this->fetch(*port, { 9, std::string(64, 'f') });

    // [THEN] It fails and nothing is in force
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
    // [GIVEN] A port that was closed again
    server.store.offer(bundleOf(3, validTree()), "test");
    const settings::Revision wanted = server.store.current()->revision;
    const auto port = server.relay.serve("127.0.0.1", 0);
    server.relay.stop();

    // [THEN] Each fetch fails, none is taken for one under way
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
