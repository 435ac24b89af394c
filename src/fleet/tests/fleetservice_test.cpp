#include <set>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/fleet/fleetservice.h"

#include "fleetcodec.h"

namespace damaskgate::fleet {

namespace {

constexpr std::size_t MaxDatagramBytes = 1200;

core::HostName localHost(int number)
{
    return core::HostName("10.1.0." + std::to_string(number));
}

class FixedClock final : public core::IClock
{
public:
    core::Instant now() const override
    {
        return core::Instant(std::chrono::hours(1));
    }
};

class IgnoringSink final : public core::IEventSink
{
public:
    void record(const core::Event & /*event*/) override {}
};

/** Records the messages that are sent, and can deliver one to the handler. */
class RecordingNetwork final : public peer::IPeerNetwork
{
public:
    void send(const core::HostName &to, peer::MessageKind /*kind*/,
              std::span<const std::byte> payload) override
    {
        this->sent.emplace_back(to, std::vector<std::byte>(payload.begin(), payload.end()));
    }

    void setHandler(peer::MessageKind /*kind*/, Handler handler) override
    {
        this->handler = std::move(handler);
    }

    void receive(const core::HostName &from, const Heartbeat &heartbeat)
    {
        this->handler({ from, 1, peer::MessageKind::Fleet, encode(heartbeat) });
    }

    std::vector<std::pair<core::HostName, std::vector<std::byte>>> sent;
    Handler handler;
};

Heartbeat heartbeatFrom(const char *domain)
{
    Heartbeat heartbeat;
    heartbeat.state.domain = core::DomainName(domain);
    heartbeat.state.isServing = true;
    return heartbeat;
}

} // namespace

TEST(FleetService_Tests, Start_DomainLargerThanAMessage_AllHostsAreReportedInOneRound)
{
    // [GIVEN] A host in a domain of 200 hosts, and one host of another domain
    constexpr int LocalHosts = 199;
    boost::asio::io_context context;
    FixedClock clock;
    IgnoringSink events;
    RecordingNetwork network;
    FleetService service({ context, clock, events, network },
                         FleetTable(localHost(0), core::DomainName("north"), {}, 1), {});
    service.setStateSource([] { return heartbeatFrom("north").state; });
    const core::HostName remote("10.2.0.1");
    network.receive(remote, heartbeatFrom("south"));
    for (int number = 1; number <= LocalHosts; ++number) {
        network.receive(localHost(number), heartbeatFrom("north"));
    }

    // [WHEN] The host reports to the other domain once
    service.start();

    // [THEN] The other domain hears of each host, in messages that fit a datagram
    std::set<core::HostName> reported;
    for (const auto &[to, payload] : network.sent) {
        EXPECT_LE(payload.size(), MaxDatagramBytes);
        const auto heartbeat = decode(payload);
        ASSERT_TRUE(heartbeat);
        for (const IndirectHeartbeat &indirect : heartbeat->indirectHeartbeats) {
            EXPECT_EQ(to, remote);
            reported.insert(indirect.name);
        }
    }
    EXPECT_EQ(reported.size(), static_cast<std::size_t>(LocalHosts));
}

TEST(FleetService_Tests, OnHeartbeat_HostListRequestAfterAStart_IsAnsweredWithTheSnapshot)
{
    // [GIVEN] A host with a snapshot of one item
    boost::asio::io_context context;
    core::ManualClock clock;
    IgnoringSink events;
    RecordingNetwork network;
    FleetService service({ context, clock, events, network },
                         FleetTable(localHost(0), core::DomainName("north"), {}, 1), {});
    service.setStateSource([] { return heartbeatFrom("north").state; });
    service.setSnapshotSource([] { return std::vector<GossipItem> { { 8, 1, 2, 3, 0 } }; });
    const auto itemsAfterRequest = [&network] {
        network.sent.clear();
        Heartbeat request = heartbeatFrom("north");
        request.isHostListRequested = true;
        network.receive(localHost(1), request);
        std::size_t items = 0;
        for (const auto &[to, payload] : network.sent) {
            items += decode(payload)->gossipItems.size();
        }
        return items;
    };

    // [THEN] A host that has just started gets it, and not with its later requests
    EXPECT_EQ(itemsAfterRequest(), 1U);
    clock.advance(std::chrono::milliseconds(500));
    EXPECT_EQ(itemsAfterRequest(), 1U);
    clock.advance(std::chrono::seconds(5));
    EXPECT_EQ(itemsAfterRequest(), 0U);
}

TEST(FleetService_Tests, Publish_UrgentItem_TakesTheQueuedItemsWithIt)
{
    // [GIVEN] A host with one neighbour, and a usual gossip item
    boost::asio::io_context context;
    FixedClock clock;
    IgnoringSink events;
    RecordingNetwork network;
    FleetService service({ context, clock, events, network },
                         FleetTable(localHost(0), core::DomainName("north"), {}, 1), {});
    service.setStateSource([] { return heartbeatFrom("north").state; });
    network.receive(localHost(1), heartbeatFrom("north"));
    service.publish({ 1, 0, 1, 0, 0 });

    // [WHEN] An urgent item follows
    service.publish({ 1, 0, 2, 0, 0, true });
    context.run();

    // [THEN] Both are sent in one message
    ASSERT_EQ(network.sent.size(), 1U);
    const auto heartbeat = decode(network.sent.front().second);
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->gossipItems.size(), 2U);
}

} // namespace damaskgate::fleet
