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

/** Hosts whose messages arrive at once unless an end is cut off. */
class Fleet
{
public:
    explicit Fleet(int size)
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
    std::vector<core::HostName> cut;
    core::ManualClock clock;
    RosterPtr roster;

private:
    bool isCut(const core::HostName &name) const
    {
        return std::ranges::find(this->cut, name) != this->cut.end();
    }

    void step()
    {
        for (const auto &[name, table] : this->tables) {
            if (!this->isCut(name)) {
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
            if (this->isCut(from) || this->isCut(to)) {
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
    // [GIVEN] Six hosts that have run for longer than a promise time
    const Fleet fleet(6);

    // [THEN] Each partition is held by its preferred host alone
    for (PartitionId partition = 0; partition < PartitionCount; ++partition) {
        const std::vector<core::HostName> expected { fleet.roster->ranking(partition).front() };
        EXPECT_EQ(fleet.holders(partition), expected) << partition;
    }
}

TEST(LeaseTable_Tests, Tick_HolderCutOff_NextHomeHoldsAfterItsLeaseOnly)
{
    // [GIVEN] A partition with a holder and work at its second home
    Fleet fleet(6);
    const core::HostName first = fleet.roster->ranking(0)[0];
    const core::HostName second = fleet.roster->ranking(0)[1];

    // [WHEN] The holder is cut off from all
    fleet.cut = { first };
    fleet.tables[second]->requestTakeover(0, fleet.clock.now());
    fleet.run(1200ms);

    // [THEN] It still holds its lease, and the second home takes over after it
    EXPECT_EQ(fleet.holders(0), std::vector { first });
    fleet.run(3500ms);
    EXPECT_EQ(fleet.holders(0), std::vector { second });
}

TEST(LeaseTable_Tests, Tick_TwoHomesCompete_OneHoldsSoonAfterTheLease)
{
    for (PartitionId partition = 0; partition < PartitionCount; partition += 16) {
        // [GIVEN] A holder that is cut off, and work at both of the other homes
        Fleet fleet(6);
        const auto &ranking = fleet.roster->ranking(partition);
        fleet.cut = { ranking[0] };
        fleet.tables[ranking[1]]->requestTakeover(partition, fleet.clock.now());
        fleet.tables[ranking[2]]->requestTakeover(partition, fleet.clock.now());

        // [WHEN] Its lease is over and a few rounds have passed
        fleet.run(3500ms);

        // [THEN] One of them holds
        EXPECT_EQ(fleet.holders(partition).size(), 1U) << partition;
    }
}

TEST(LeaseTable_Tests, OnAsk_PreferredHostReturns_HolderHandsOverOnce)
{
    // [GIVEN] A second home that holds while the preferred host is cut off
    Fleet fleet(6);
    const core::HostName first = fleet.roster->ranking(0)[0];
    const core::HostName second = fleet.roster->ranking(0)[1];
    fleet.cut = { first };
    fleet.tables[second]->requestTakeover(0, fleet.clock.now());
    fleet.run(5s);

    // [WHEN] The preferred host comes back
    fleet.cut = {};
    fleet.run(1s);

    // [THEN] It holds again and knows whom it took over from
    ASSERT_EQ(fleet.holders(0), std::vector { first });
    const auto held = fleet.tables[first]->heldLease(0, fleet.clock.now());
    ASSERT_TRUE(held->predecessor);
    EXPECT_EQ(held->predecessor->holder.host, second);
}

TEST(LeaseTable_Tests, Leave_Holder_SuccessorHoldsAtOnce)
{
    // [GIVEN] A holder
    Fleet fleet(6);
    const core::HostName first = fleet.roster->ranking(0)[0];

    // [WHEN] It leaves
    fleet.tables[first]->leave(fleet.clock.now());
    fleet.run(400ms);

    // [THEN] The next home holds
    EXPECT_EQ(fleet.holders(0), std::vector { fleet.roster->ranking(0)[1] });
}
