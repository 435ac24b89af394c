#include "damaskgate/membership/membertable.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"

using namespace damaskgate;
using namespace damaskgate::membership;
using namespace std::chrono_literals;

namespace {

/** Member tables connected by a simulated network with virtual time and a fixed delay. */
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            this->names.emplace_back("h" + std::to_string(index));
        }
        for (const core::HostName &name : this->names) {
            this->startHost(name, 1);
        }
    }

    void startHost(const core::HostName &name, std::uint64_t incarnation)
    {
        this->tables.erase(name);
        this->incarnations[name] = incarnation;
        auto [entry, isNew] = this->tables.try_emplace(name, name, incarnation,
                                                       core::hash64(name.text()) + incarnation);
        entry->second.applyRoster(this->names);
    }

    void run(core::Duration time)
    {
        const core::Instant end = this->clock.now() + time;
        while (this->clock.now() < end) {
            this->clock.advance(Step);
            this->deliverDue();
            for (auto &[name, table] : this->tables) {
                if (!this->frozen.contains(name)) {
                    this->enqueue(name, table.tick(this->clock.now()));
                }
            }
        }
    }

    void enqueue(const core::HostName &from, const std::vector<OutgoingMessage> &messages)
    {
        for (const OutgoingMessage &outgoing : messages) {
            ++this->sent;
            if (!this->isCut || !this->isCut(from, outgoing.to)) {
                this->inTransit.push_back(
                    { this->clock.now() + Delay, from, this->incarnations[from], outgoing });
            }
        }
    }

    std::size_t countSeeing(MemberState state, const core::HostName &host) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->tables, [&](const auto &entry) {
            return entry.first != host && entry.second.stateOf(host) == state;
        }));
    }

    core::ManualClock clock;
    std::vector<core::HostName> names;
    std::map<core::HostName, MemberTable> tables;
    std::map<core::HostName, std::uint64_t> incarnations;
    std::set<core::HostName> frozen;
    std::function<bool(const core::HostName &, const core::HostName &)> isCut;
    std::size_t sent = 0;

private:
    struct InTransit
    {
        core::Instant due;
        core::HostName from;
        std::uint64_t incarnation = 0;
        OutgoingMessage outgoing;
    };

    void deliverDue()
    {
        std::deque<InTransit> kept;
        std::deque<InTransit> all = std::exchange(this->inTransit, {});
        for (InTransit &message : all) {
            const core::HostName to = message.outgoing.to;
            if (message.due > this->clock.now() || this->frozen.contains(to)) {
                kept.push_back(std::move(message));
                continue;
            }
            const auto target = this->tables.find(to);
            if (target != this->tables.end()) {
                this->enqueue(to,
                              target->second.receive(message.from, message.incarnation,
                                                     message.outgoing.message, this->clock.now()));
            }
        }
        this->inTransit.insert(this->inTransit.begin(), kept.begin(), kept.end());
    }

    static constexpr core::Duration Step = 50ms;
    static constexpr core::Duration Delay = 1ms;
    std::deque<InTransit> inTransit;
};

constexpr std::size_t FleetSize = 44;

} // namespace

TEST(MemberTable_Tests, Tick_NoFault_KeepsEveryHostAlive)
{
    // [GIVEN] A fleet without faults
    Fleet fleet(FleetSize);

    // [WHEN] A minute passes
    fleet.run(60s);

    // [THEN] No host is suspected, and each host has sent at most four messages per second: about
    // two probes and two replies
    for (const core::HostName &name : fleet.names) {
        EXPECT_EQ(fleet.countSeeing(MemberState::Alive, name), FleetSize - 1) << name;
    }
    EXPECT_LE(fleet.sent, FleetSize * 60 * 4);
}

TEST(MemberTable_Tests, Tick_HostKilled_IsDeadForAll)
{
    // [GIVEN] A fleet
    Fleet fleet(FleetSize);
    fleet.run(5s);

    // [WHEN] The process of one host is killed
    const core::HostName victim = fleet.names[7];
    fleet.tables.erase(victim);
    fleet.run(8s);

    // [THEN] It is dead for every other host
    EXPECT_EQ(fleet.countSeeing(MemberState::Dead, victim), FleetSize - 1);
}

TEST(MemberTable_Tests, Receive_HostReplacedAtSameName_IsAliveAgain)
{
    // [GIVEN] A host that is dead for all others
    Fleet fleet(FleetSize);
    const core::HostName victim = fleet.names[7];
    fleet.tables.erase(victim);
    fleet.run(12s);
    ASSERT_EQ(fleet.countSeeing(MemberState::Dead, victim), FleetSize - 1);

    // [WHEN] A new process starts under the same host name
    fleet.startHost(victim, 2);
    fleet.run(10s);

    // [THEN] It is alive for all others
    EXPECT_EQ(fleet.countSeeing(MemberState::Alive, victim), FleetSize - 1);
}

TEST(MemberTable_Tests, Receive_OldIncarnation_IsIgnored)
{
    // [GIVEN] A table that has received a message of incarnation 5
    MemberTable table(core::HostName("a"), 1, 1);
    const std::vector<core::HostName> roster { core::HostName("a"), core::HostName("b") };
    table.applyRoster(roster);
    core::ManualClock clock;
    table.receive(core::HostName("b"), 5, Probe {}, clock.now());

    // [WHEN] An older process, which was frozen, resumes and sends a probe
    const auto replies = table.receive(core::HostName("b"), 4, Probe {}, clock.now());

    // [THEN] It gets no reply
    EXPECT_TRUE(replies.empty());
}

TEST(MemberTable_Tests, Tick_OneWayCutBetweenTwoHosts_BothStayAlive)
{
    // [GIVEN] All messages from one host to another are lost, and all others are delivered
    Fleet fleet(FleetSize);
    fleet.isCut = [&](const core::HostName &from, const core::HostName &to) {
        return from == fleet.names[0] && to == fleet.names[1];
    };

    // [WHEN] Two minutes pass
    fleet.run(120s);

    // [THEN] Indirect probes keep both alive
    EXPECT_EQ(fleet.countSeeing(MemberState::Dead, fleet.names[0]), 0U);
    EXPECT_EQ(fleet.countSeeing(MemberState::Dead, fleet.names[1]), 0U);
}

TEST(MemberTable_Tests, Tick_HostCutOffFromAll_DoesNotDeclareOthersDead)
{
    // [GIVEN] A host without connection to any other host
    Fleet fleet(FleetSize);
    fleet.run(5s);
    const core::HostName isolated = fleet.names[3];
    fleet.isCut = [&](const core::HostName &from, const core::HostName &to) {
        return from == isolated || to == isolated;
    };

    // [WHEN] 20 s pass
    fleet.run(20s);

    // [THEN] It reports no contact and keeps most hosts live, and it is dead for all others
    const MemberTable &table = fleet.tables.at(isolated);
    EXPECT_FALSE(table.contactSince().has_value());
    EXPECT_GE(table.liveHosts().size(), FleetSize - 6);
    EXPECT_EQ(fleet.countSeeing(MemberState::Dead, isolated), FleetSize - 1);
}

TEST(MemberTable_Tests, Tick_ProcessFrozenAndResumed_KeepsAllHostsLive)
{
    // [GIVEN] A host that has just sent a probe and is frozen for 10 s
    Fleet fleet(FleetSize);
    fleet.run(5s);
    const core::HostName frozenHost = fleet.names[3];
    fleet.frozen.insert(frozenHost);
    fleet.run(10s);

    // [WHEN] It resumes
    fleet.frozen.clear();
    fleet.run(100ms);

    // [THEN] All hosts are live for it, and it refutes the report that it is dead
    EXPECT_EQ(fleet.tables.at(frozenHost).liveHosts().size(), FleetSize);
    fleet.run(10s);
    EXPECT_EQ(fleet.countSeeing(MemberState::Alive, frozenHost), FleetSize - 1);
}

TEST(MemberTable_Tests, Tick_NetworkSplitEnds_AllHostsAreAlive)
{
    // [GIVEN] A network split into 20 and 24 hosts that lasts a minute
    Fleet fleet(FleetSize);
    const std::set<core::HostName> left(fleet.names.begin(), fleet.names.begin() + 20);
    fleet.isCut = [&](const core::HostName &from, const core::HostName &to) {
        return left.contains(from) != left.contains(to);
    };
    fleet.run(60s);

    // [WHEN] The split ends
    fleet.isCut = nullptr;
    fleet.run(60s);

    // [THEN] Every host is alive for all others
    for (const core::HostName &name : fleet.names) {
        EXPECT_EQ(fleet.countSeeing(MemberState::Alive, name), FleetSize - 1) << name;
    }
}

TEST(MemberTable_Tests, AnnounceLeaving_LeavingHost_IsLeavingForAll)
{
    // [GIVEN] A fleet
    Fleet fleet(FleetSize);
    fleet.run(5s);

    // [WHEN] A host announces that it is leaving
    const core::HostName leaver = fleet.names[9];
    fleet.enqueue(leaver, fleet.tables.at(leaver).announceLeaving());
    fleet.run(4s);

    // [THEN] It is leaving for all others, so that it gets no new work
    EXPECT_EQ(fleet.countSeeing(MemberState::Leaving, leaver), FleetSize - 1);
}

TEST(MemberTable_Tests, NewerRevision_ReportedByOneHost_ReachesAll)
{
    // [GIVEN] One host with newer settings, which each host applies when they are reported to it
    Fleet fleet(FleetSize);
    fleet.run(5s);
    const settings::Revision newest { 8, "01" };
    fleet.tables.at(fleet.names[0]).setRevision(newest);

    // [WHEN] 4 s pass
    std::set<core::HostName> informed { fleet.names[0] };
    for (int step = 0; step < 80; ++step) {
        fleet.run(50ms);
        for (auto &[name, table] : fleet.tables) {
            if (table.newerRevision()) {
                table.setRevision(newest);
                informed.insert(name);
            }
        }
    }

    // [THEN] All hosts have the newer settings
    EXPECT_EQ(informed.size(), FleetSize);
}
