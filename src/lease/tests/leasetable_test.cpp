#include "damaskgate/lease/leasetable.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include <gtest/gtest.h>

#include "leasecodec.h"

using namespace damaskgate;
using namespace damaskgate::lease;
using namespace std::chrono_literals;

namespace {

/** Hosts that exchange messages without delay, except with disconnected hosts. */
class LeaseCluster
{
public:
    explicit LeaseCluster(int size)
    {
        for (int index = 0; index < size; ++index) {
            const core::HostName name(std::string("h").append(std::to_string(index)));
            this->names.push_back(name);
            this->hosts.push_back(
                { name, core::DomainName(std::string("d").append(std::to_string(index % 3))) });
        }
        this->roster = std::make_shared<Roster>(1, this->hosts, std::span<const RosterHost> {});
        for (const core::HostName &name : this->names) {
            this->start(name, 1);
        }
        this->run(4s);
    }

    void start(const core::HostName &name, std::uint64_t incarnation)
    {
        const HolderId self { name, incarnation };
        this->incarnations[name] = incarnation;
        this->tables[name] = std::make_unique<LeaseTable>(self, this->clock.now(), incarnation + 7);
        this->tables[name]->applyRoster(this->roster);
        this->tables[name]->setLiveHosts(this->names);
    }

    void run(core::Duration time)
    {
        const core::Instant end = this->clock.now() + time;
        while (this->clock.now() < end) {
            this->clock.advance(20ms);
            this->step();
        }
    }

    std::vector<core::HostName> holders(PartitionId partition) const
    {
        std::vector<core::HostName> found;
        std::ranges::copy_if(this->names, std::back_inserter(found), [&](const auto &name) {
            return this->tables.at(name)->holds(partition, this->clock.now());
        });
        return found;
    }

    std::map<core::HostName, std::unique_ptr<LeaseTable>> tables;
    std::vector<core::HostName> names;
    std::vector<core::HostName> disconnected;
    core::ManualClock clock;
    RosterPtr roster;

private:
    bool isDisconnected(const core::HostName &name) const
    {
        return std::ranges::find(this->disconnected, name) != this->disconnected.end();
    }

    void step()
    {
        for (const auto &[name, table] : this->tables) {
            if (!this->isDisconnected(name)) {
                table->tick(this->clock.now());
            }
        }
        for (int round = 0; round < 4; ++round) {
            std::ranges::for_each(this->names, [this](const auto &name) { this->deliver(name); });
        }
    }

    void deliver(const core::HostName &from)
    {
        LeaseTable &table = *this->tables[from];
        for (const LeaseChange &change : table.takeChanges()) {
            if (change.kind == LeaseChange::Kind::Releasing) {
                table.confirmRelease(change.partition, this->clock.now());
            }
        }
        for (const auto &[to, batch] : table.takeOutbox(this->clock.now())) {
            if (this->isDisconnected(from) || this->isDisconnected(to)) {
                continue;
            }
            for (const auto &payload : encodeBatch(batch)) {
                EXPECT_LE(payload.size(), 1200U);
                this->tables[to]->onBatch({ from, this->incarnations[from] }, *decodeBatch(payload),
                                          this->clock.now());
            }
        }
    }

    std::vector<RosterHost> hosts;
    std::map<core::HostName, std::uint64_t> incarnations;
};

} // namespace

TEST(LeaseTable_Tests, Tick_NoFaults_PreferredHostsHoldEveryPartition)
{
    // [GIVEN] Six hosts that have run for more than one promise time
    const LeaseCluster cluster(6);

    // [THEN] Only the best-ranked host holds each partition
    for (PartitionId partition = 0; partition < PartitionCount; ++partition) {
        const std::vector<core::HostName> expected { cluster.roster->ranking(partition).front() };
        EXPECT_EQ(cluster.holders(partition), expected) << partition;
    }
}

TEST(LeaseTable_Tests, Tick_HolderDisconnected_NextPreferredHostHoldsOnlyAfterLeaseExpired)
{
    // [GIVEN] A partition with a holder, and a takeover request at the second-ranked host
    LeaseCluster cluster(6);
    const core::HostName first = cluster.roster->ranking(0)[0];
    const core::HostName second = cluster.roster->ranking(0)[1];

    // [WHEN] The holder is disconnected from all other hosts
    cluster.disconnected = { first };
    cluster.tables[second]->requestTakeover(0, cluster.clock.now());
    cluster.run(1200ms);

    // [THEN] It holds the lease until expiry, and then the second-ranked host takes over
    EXPECT_EQ(cluster.holders(0), std::vector { first });
    cluster.run(3500ms);
    EXPECT_EQ(cluster.holders(0), std::vector { second });
}

TEST(LeaseTable_Tests, Tick_TwoPreferredHostsCompete_OneHoldsSoonAfterLeaseExpired)
{
    for (PartitionId partition = 0; partition < PartitionCount; partition += 16) {
        // [GIVEN] A disconnected holder, and takeover requests at both other preferred hosts
        LeaseCluster cluster(6);
        const auto &ranking = cluster.roster->ranking(partition);
        cluster.disconnected = { ranking[0] };
        cluster.tables[ranking[1]]->requestTakeover(partition, cluster.clock.now());
        cluster.tables[ranking[2]]->requestTakeover(partition, cluster.clock.now());

        // [WHEN] The lease has expired and a few rounds have passed
        cluster.run(3500ms);

        // [THEN] One of them holds the partition
        EXPECT_EQ(cluster.holders(partition).size(), 1U) << partition;
    }
}

TEST(LeaseTable_Tests, OnHandoverRequest_PreferredHostReturns_HolderHandsOverOnce)
{
    // [GIVEN] The second-ranked host holds while the best-ranked host is disconnected
    LeaseCluster cluster(6);
    const core::HostName first = cluster.roster->ranking(0)[0];
    const core::HostName second = cluster.roster->ranking(0)[1];
    cluster.disconnected = { first };
    cluster.tables[second]->requestTakeover(0, cluster.clock.now());
    cluster.run(5s);

    // [WHEN] The best-ranked host is connected again
    cluster.disconnected = {};
    cluster.run(1s);

    // [THEN] It holds the partition again, and its lease names the predecessor
    ASSERT_EQ(cluster.holders(0), std::vector { first });
    const auto held = cluster.tables[first]->heldLease(0, cluster.clock.now());
    ASSERT_TRUE(held->predecessor);
    EXPECT_EQ(held->predecessor->holder.host, second);
}

TEST(LeaseTable_Tests, Leave_Holder_SuccessorHoldsAtOnce)
{
    // [GIVEN] A host that holds a partition
    LeaseCluster cluster(6);
    const core::HostName first = cluster.roster->ranking(0)[0];

    // [WHEN] It leaves
    cluster.tables[first]->leave(cluster.clock.now());
    cluster.run(400ms);

    // [THEN] The next preferred host holds the partition
    EXPECT_EQ(cluster.holders(0), std::vector { cluster.roster->ranking(0)[1] });
}
