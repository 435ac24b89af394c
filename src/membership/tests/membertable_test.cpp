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

/** Some member tables joined by a network of virtual time with a fixed delay. */
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
                this->flying.push_back(
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
    struct Flying
    {
        core::Instant due;
        core::HostName from;
        std::uint64_t incarnation = 0;
        OutgoingMessage outgoing;
    };

    void deliverDue()
    {
        std::deque<Flying> kept;
        std::deque<Flying> all = std::exchange(this->flying, {});
        for (Flying &message : all) {
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
        this->flying.insert(this->flying.begin(), kept.begin(), kept.end());
    }

    static constexpr core::Duration Step = 50ms;
    static constexpr core::Duration Delay = 1ms;
    std::deque<Flying> flying;
};

constexpr std::size_t FleetSize = 44;

} // namespace

TEST(MemberTable_Tests, Tick_NoFault_KeepsEveryHostAlive)
{
    // [GIVEN] A fleet without faults
    Fleet fleet(FleetSize);

    // [WHEN] A minute passes
    fleet.run(60s);

    // [THEN] Nobody is suspected, and each host has sent about two probes and two replies a second
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

    // [WHEN] One host dies
    const core::HostName victim = fleet.names[7];
    fleet.tables.erase(victim);
    fleet.run(8s);

    // [THEN] Every other host has learned it
    EXPECT_EQ(fleet.countSeeing(MemberState::Dead, victim), FleetSize - 1);
}

TEST(MemberTable_Tests, Receive_HostReplacedAtSameName_IsAliveAgain)
{
    // [GIVEN] A host known as dead
    Fleet fleet(FleetSize);
    const core::HostName victim = fleet.names[7];
    fleet.tables.erase(victim);
    fleet.run(12s);
    ASSERT_EQ(fleet.countSeeing(MemberState::Dead, victim), FleetSize - 1);

    // [WHEN] A new process starts at its name
    fleet.startHost(victim, 2);
    fleet.run(10s);

    // [THEN] All see it alive
    EXPECT_EQ(fleet.countSeeing(MemberState::Alive, victim), FleetSize - 1);
}

TEST(MemberTable_Tests, Receive_OldIncarnation_IsIgnored)
{
    // [GIVEN] A table that has heard of incarnation 5
    MemberTable table(core::HostName("a"), 1, 1);
    const std::vector<core::HostName> roster { core::HostName("a"), core::HostName("b") };
    table.applyRoster(roster);
    core::ManualClock clock;
    table.receive(core::HostName("b"), 5, Probe {}, clock.now());

    // [WHEN] A frozen older process wakes and probes
    const auto answers = table.receive(core::HostName("b"), 4, Probe {}, clock.now());

    // [THEN] It gets no answer
    EXPECT_TRUE(answers.empty());
}

TEST(MemberTable_Tests, Tick_OneWayCutBetweenTwo_DoesNotKillEither)
{
    // [GIVEN] Messages from one host to another are lost, all others pass
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

TEST(MemberTable_Tests, Tick_HostCutFromAll_BlamesItsOwnLinks)
{
    // [GIVEN] One host that reaches nobody
    Fleet fleet(FleetSize);
    fleet.run(5s);
    const core::HostName lonely = fleet.names[3];
    fleet.isCut = [&](const core::HostName &from, const core::HostName &to) {
        return from == lonely || to == lonely;
    };

    // [WHEN] Time passes
    fleet.run(20s);

    // [THEN] It knows that it has no contact and does not declare the fleet dead
    const MemberTable &table = fleet.tables.at(lonely);
    EXPECT_FALSE(table.contactSince().has_value());
    EXPECT_GE(table.liveHosts().size(), FleetSize - 6);
    EXPECT_EQ(fleet.countSeeing(MemberState::Dead, lonely), FleetSize - 1);
}

TEST(MemberTable_Tests, Tick_ProcessFrozenAndWokenLate_SuspectsNobody)
{
    // [GIVEN] A host that has just sent a probe and is frozen for 10 s
    Fleet fleet(FleetSize);
    fleet.run(5s);
    const core::HostName sleeper = fleet.names[3];
    fleet.frozen.insert(sleeper);
    fleet.run(10s);

    // [WHEN] It wakes
    fleet.frozen.clear();
    fleet.run(100ms);

    // [THEN] It holds the others for alive, and refutes its own death
    EXPECT_EQ(fleet.tables.at(sleeper).liveHosts().size(), FleetSize);
    fleet.run(10s);
    EXPECT_EQ(fleet.countSeeing(MemberState::Alive, sleeper), FleetSize - 1);
}

TEST(MemberTable_Tests, Tick_SplitInTwo_HealsAfterwards)
{
    // [GIVEN] A split into 20 and 24 hosts that lasts a minute
    Fleet fleet(FleetSize);
    const std::set<core::HostName> left(fleet.names.begin(), fleet.names.begin() + 20);
    fleet.isCut = [&](const core::HostName &from, const core::HostName &to) {
        return left.contains(from) != left.contains(to);
    };
    fleet.run(60s);

    // [WHEN] It heals
    fleet.isCut = nullptr;
    fleet.run(60s);

    // [THEN] All see all alive
    for (const core::HostName &name : fleet.names) {
        EXPECT_EQ(fleet.countSeeing(MemberState::Alive, name), FleetSize - 1) << name;
    }
}

TEST(MemberTable_Tests, AnnounceLeaving_ReachesAllAndStaysUntilRestart)
{
    // [GIVEN] A fleet
    Fleet fleet(FleetSize);
    fleet.run(5s);

    // [WHEN] A host announces that it leaves
    const core::HostName leaver = fleet.names[9];
    fleet.enqueue(leaver, fleet.tables.at(leaver).announceLeaving());
    fleet.run(4s);

    // [THEN] All others give it no new work
    EXPECT_EQ(fleet.countSeeing(MemberState::Leaving, leaver), FleetSize - 1);
}

TEST(MemberTable_Tests, NewerRevision_ToldByOneHost_ReachesAll)
{
    // [GIVEN] One host with newer settings, taken by each host that hears of them
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

    // [THEN] All hosts have them
    EXPECT_EQ(informed.size(), FleetSize);
}
