#include <gtest/gtest.h>

#include "gossipqueues.h"

namespace damaskgate::fleet {

namespace {

const core::HostName Hub("10.1.0.1");
const core::HostName LocalHost("10.1.0.2");
const core::HostName RemoteHost("10.2.0.1");

GossipTargets targetsOf(bool isHub)
{
    return { Hub, isHub, { Hub, LocalHost }, { RemoteHost } };
}

GossipItem itemWith(std::uint32_t subject)
{
    GossipItem item;
    item.subject = subject;
    return item;
}

} // namespace

TEST(GossipQueues_Tests, Take_OwnItems_GoToTheHubOnly)
{
    // [GIVEN] A host that has published two items
    GossipQueues queues;
    queues.addLocal(itemWith(1));
    queues.addLocal(itemWith(2));

    EXPECT_FALSE(queues.needsAllTargets(false));
    EXPECT_TRUE(queues.needsAllTargets(true));

    // [THEN] Both go to the hub in one message, and none goes to another failure domain
    const auto batches = queues.take(targetsOf(false));
    ASSERT_EQ(batches.size(), 1U);
    EXPECT_EQ(batches[0].hosts, std::vector { Hub });
    EXPECT_EQ(batches[0].scope, GossipScope::Fleet);
    EXPECT_EQ(batches[0].gossipItems.size(), 2U);
    EXPECT_TRUE(queues.take(targetsOf(false)).empty());
}

TEST(GossipQueues_Tests, Take_HubWithItemsOfItsDomain_SendsThemToLocalHostsAndRelays)
{
    // [GIVEN] A hub with an item of its own and one of a local host
    GossipQueues queues;
    queues.addLocal(itemWith(1));
    EXPECT_TRUE(queues.addReceived(std::vector { itemWith(2) }, GossipScope::Fleet));
    EXPECT_TRUE(queues.needsAllTargets(false));

    // [THEN] Both go to one host of each other domain and to all local hosts
    const auto batches = queues.take(targetsOf(true));
    ASSERT_EQ(batches.size(), 2U);
    EXPECT_EQ(batches[0].hosts, std::vector { RemoteHost });
    EXPECT_EQ(batches[0].scope, GossipScope::Domain);
    EXPECT_EQ(batches[0].gossipItems.size(), 2U);
    EXPECT_EQ(batches[1].hosts, (std::vector { Hub, LocalHost }));
    EXPECT_EQ(batches[1].scope, GossipScope::Receiver);
    EXPECT_EQ(batches[1].gossipItems.size(), 2U);
}

TEST(GossipQueues_Tests, Take_ItemsOfAnotherDomain_StayInThisDomain)
{
    // [GIVEN] An item that was received from another failure domain
    GossipQueues queues;
    queues.addReceived(std::vector { itemWith(1) }, GossipScope::Domain);

    // [THEN] It goes to the hub, and the hub sends it to the local hosts only
    const auto toHub = queues.take(targetsOf(false));
    ASSERT_EQ(toHub.size(), 1U);
    EXPECT_EQ(toHub[0].scope, GossipScope::LocalHosts);
    queues.addReceived(toHub[0].gossipItems, toHub[0].scope);
    const auto distributed = queues.take(targetsOf(true));
    ASSERT_EQ(distributed.size(), 1U);
    EXPECT_EQ(distributed[0].scope, GossipScope::Receiver);
}

TEST(GossipQueues_Tests, AddReceived_ScopeReceiver_IsNotForwarded)
{
    GossipQueues queues;
    EXPECT_FALSE(queues.addReceived(std::vector { itemWith(1) }, GossipScope::Receiver));
    EXPECT_TRUE(queues.take(targetsOf(true)).empty());
}

} // namespace damaskgate::fleet
