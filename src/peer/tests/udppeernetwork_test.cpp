#include "damaskgate/peer/udppeernetwork.h"

#include <array>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include "damaskgate/peer/envelope.h"
#include "damaskgate/peer/idatagramfault.h"

using namespace damaskgate;
using namespace damaskgate::peer;

namespace {

constexpr const char *Loopback = "127.0.0.1";
const core::HostName First("ves-01");
const core::HostName Second("bre-02");
const std::array<std::byte, 3> Payload { std::byte { 1 }, std::byte { 2 }, std::byte { 3 } };

class DropAll final : public IDatagramFault
{
public:
    bool dropsTo(const core::HostName & /*to*/) override
    {
        return true;
    }

    bool dropsFrom(const core::HostName & /*from*/) override
    {
        return false;
    }
};

class UdpPeerNetworkTests : public testing::Test
{
protected:
    UdpPeerNetworkTests()
        : sender(this->context.get_executor(), { First, 11, "secret" }, this->events),
          receiver(this->context.get_executor(), { Second, 22, "secret" }, this->events)
    {
        const auto senderPort = this->sender.start(Loopback, 0);
        const auto receiverPort = this->receiver.start(Loopback, 0);
        const std::array hosts { PeerAddress { First, Loopback, senderPort.value_or(0) },
                                 PeerAddress { Second, Loopback, receiverPort.value_or(0) } };
        this->sender.setHosts(hosts);
        this->receiver.setHosts(hosts);
        this->receiver.setHandler(MessageKind::Lease, [this](const Datagram &datagram) {
            this->received.push_back(datagram);
            this->context.stop();
        });
    }

    core::NullEventSink events;
    boost::asio::io_context context;
    UdpPeerNetwork sender;
    UdpPeerNetwork receiver;
    std::vector<Datagram> received;
};

} // namespace

TEST_F(UdpPeerNetworkTests, Send_KnownHost_Arrives)
{
    // [WHEN] A payload is sent to a known host
    this->sender.send(Second, MessageKind::Lease, Payload);
    this->context.run();

    // [THEN] It arrives with the sender's name and incarnation
    ASSERT_EQ(this->received.size(), 1U);
    EXPECT_EQ(this->received[0].from, First);
    EXPECT_EQ(this->received[0].incarnation, 11U);
    EXPECT_TRUE(std::ranges::equal(this->received[0].payload, Payload));
}

TEST_F(UdpPeerNetworkTests, Send_AfterInvalidDatagrams_OnlyValidOneArrives)
{
    // [GIVEN] Datagrams that are dropped by fault injection, too large or sent to an unknown host
    DropAll fault;
    this->sender.setFault(&fault);
    this->sender.send(Second, MessageKind::Lease, Payload);
    this->sender.setFault(nullptr);
    this->sender.send(Second, MessageKind::Lease, std::vector<std::byte>(MaxPayloadBytes + 1));
    this->sender.send(core::HostName("unknown"), MessageKind::Lease, Payload);

    // [WHEN] A valid one follows
    this->sender.send(Second, MessageKind::Lease, std::span(Payload).first(1));
    this->context.run();

    // [THEN] Only the valid datagram arrives
    ASSERT_EQ(this->received.size(), 1U);
    EXPECT_EQ(this->received[0].payload.size(), 1U);
}

TEST_F(UdpPeerNetworkTests, Traffic_OneDatagram_IsCountedAtBothEnds)
{
    // [WHEN] A payload arrives and another one is too large to be sent
    this->sender.send(Second, MessageKind::Lease, std::vector<std::byte>(MaxPayloadBytes + 1));
    this->sender.send(Second, MessageKind::Lease, Payload);
    this->context.run();

    // [THEN] Both ends have counted one datagram of the same size
    const PeerTraffic sent = this->sender.traffic();
    const PeerTraffic arrived = this->receiver.traffic();
    EXPECT_EQ(sent.sentDatagrams, 1U);
    EXPECT_EQ(sent.receivedDatagrams, 0U);
    EXPECT_EQ(arrived.receivedDatagrams, 1U);
    EXPECT_EQ(arrived.receivedBytes, sent.sentBytes);
    EXPECT_GT(sent.sentBytes, Payload.size());
}
