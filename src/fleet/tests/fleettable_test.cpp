#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "damaskgate/fleet/fleettable.h"

namespace damaskgate::fleet {

using std::chrono::milliseconds;
using testing::ElementsAre;
using testing::SizeIs;

class FleetTable_Tests : public testing::Test
{
protected:
    static core::HostName host(int domain, int number)
    {
        return core::HostName("10." + std::to_string(domain) + ".0." + std::to_string(number));
    }

    static HostState stateOf(const char *domain)
    {
        HostState state;
        state.domain = core::DomainName(domain);
        state.isServing = true;
        return state;
    }

    // Three hosts of the own domain before and after this one by name, two of another domain.
    void hearAll()
    {
        for (const int number : { 1, 2, 9 }) {
            this->table.onHeard(host(1, number), 1, stateOf("north"), this->now);
        }
        for (const int number : { 1, 2 }) {
            this->table.onHeard(host(2, number), 1, stateOf("south"), this->now);
        }
    }

    FleetPace pace;
    core::Instant now { std::chrono::hours(1) };
    FleetTable table { host(1, 5), core::DomainName("north"), this->pace, 1 };
};

TEST_F(FleetTable_Tests, OnHeard_SilentForLong_IsNoLongerLive)
{
    // [GIVEN] A host that was heard once
    this->table.onHeard(host(1, 1), 1, stateOf("north"), this->now);

    // [WHEN] It is silent
    const core::Instant later = this->now + this->pace.lostAfter + milliseconds(1);

    // [THEN] It counts as live for the time allowed only
    EXPECT_TRUE(this->table.isLive(host(1, 1), this->now + this->pace.lostAfter));
    EXPECT_FALSE(this->table.isLive(host(1, 1), later));
}

TEST_F(FleetTable_Tests, OnHeard_FormerProcess_IsIgnored)
{
    // [GIVEN] A host that has started again and serves
    this->table.onHeard(host(1, 1), 2, stateOf("north"), this->now);

    // [WHEN] A late message of its former process arrives
    HostState leaving = stateOf("north");
    leaving.isLeaving = true;
    this->table.onHeard(host(1, 1), 1, leaving, this->now);

    // [THEN] It still serves
    ASSERT_THAT(this->table.liveMembers(this->now), SizeIs(1));
    EXPECT_FALSE(this->table.liveMembers(this->now).front()->state.isLeaving);
}

TEST_F(FleetTable_Tests, OnHeard_RestartAfterTheClockWentBack_IsLive)
{
    // [GIVEN] A host whose process was numbered while its clock was ahead
    this->table.onHeard(host(1, 1), 9, stateOf("north"), this->now);

    // [WHEN] It starts again, with the clock set back
    const core::Instant later = this->now + milliseconds(600);
    EXPECT_TRUE(this->table.onHeard(host(1, 1), 2, stateOf("north"), later));

    // [THEN] It counts as live from then on
    EXPECT_TRUE(this->table.isLive(host(1, 1), later + this->pace.lostAfter));
}

TEST_F(FleetTable_Tests, DueHosts_LiveFarHost_IsNotBeaten)
{
    // [GIVEN] Hosts of two domains
    this->hearAll();

    // [THEN] Only those of the own domain are due for a message
    EXPECT_THAT(this->table.dueHosts(this->now), ElementsAre(host(1, 1), host(1, 2), host(1, 9)));
}

TEST_F(FleetTable_Tests, DueHosts_LostHost_IsTriedAgainAtPauses)
{
    // [GIVEN] A host that was lost and was tried now
    this->hearAll();
    this->now += this->pace.lostAfter + milliseconds(1);
    this->table.onSent(host(2, 1), this->now);

    // [THEN] It is due again after the pause, so that a healed cut is found
    const auto isDue = [this](core::Instant at) {
        const auto due = this->table.dueHosts(at);
        return std::ranges::find(due, host(2, 1)) != due.end();
    };
    EXPECT_FALSE(isDue(this->now + milliseconds(1)));
    EXPECT_TRUE(isDue(this->now + this->pace.probeLost));
}

TEST_F(FleetTable_Tests, OnVouched_DeadHost_IsLostThoughItsNeighboursVouch)
{
    // [GIVEN] A far host that its neighbour heard last some time ago
    const Vouch vouch { host(2, 1), milliseconds(3000), false, true };

    // [WHEN] The neighbour vouches for it
    this->table.onVouched(core::DomainName("south"), { &vouch, 1 }, this->now);

    // [THEN] It counts from when it was heard, not from the vouch
    EXPECT_TRUE(this->table.isLive(host(2, 1), this->now));
    EXPECT_FALSE(this->table.isLive(host(2, 1), this->now + milliseconds(1001)));
}

TEST_F(FleetTable_Tests, OnVouched_OlderThanOwnNews_ChangesNothing)
{
    // [GIVEN] A host that was heard right now
    this->hearAll();

    // [WHEN] An older vouch says that it is leaving
    const Vouch vouch { host(2, 1), milliseconds(500), true, false };
    const bool isChanged =
        this->table.onVouched(core::DomainName("south"), { &vouch, 1 }, this->now);

    // [THEN] The own news stands
    EXPECT_FALSE(isChanged);
}

TEST_F(FleetTable_Tests, VouchTargets_AllRounds_EveryFarHostGetsOneEachRound)
{
    // [GIVEN] As many senders as receivers
    FleetTable other { host(1, 1), core::DomainName("north"), this->pace, 1 };
    for (FleetTable *each : { &this->table, &other }) {
        each->onHeard(each == &other ? host(1, 5) : host(1, 1), 1, stateOf("north"), this->now);
        each->onHeard(host(2, 1), 1, stateOf("south"), this->now);
        each->onHeard(host(2, 2), 1, stateOf("south"), this->now);
    }

    // [THEN] In each round they turn to different hosts
    for (const std::uint64_t round : { 0U, 1U, 2U }) {
        EXPECT_NE(this->table.vouchTargets(round, this->now), other.vouchTargets(round, this->now));
    }
}

TEST_F(FleetTable_Tests, Hub_FirstAnswers_IsFirstByName)
{
    this->hearAll();
    EXPECT_EQ(this->table.hub(this->now), host(1, 1));
}

TEST_F(FleetTable_Tests, Hub_KilledHub_IsReplacedWithinHalfASecond)
{
    // [GIVEN] Notes that were sent to the hub, and nothing came back
    this->hearAll();
    this->table.onSentToHub(host(1, 1), this->now);

    // [THEN] The next host takes its place long before the hub counts as lost
    EXPECT_EQ(this->table.hub(this->now + milliseconds(400)), host(1, 1));
    EXPECT_EQ(this->table.hub(this->now + milliseconds(501)), host(1, 2));
}

TEST_F(FleetTable_Tests, Hub_AnsweringHub_IsKept)
{
    // [GIVEN] A hub that was heard after notes were sent to it
    this->hearAll();
    this->table.onSentToHub(host(1, 1), this->now);
    this->table.onHeard(host(1, 1), 1, stateOf("north"), this->now + milliseconds(100));

    // [THEN] It stays the hub
    EXPECT_EQ(this->table.hub(this->now + milliseconds(600)), host(1, 1));
}

TEST_F(FleetTable_Tests, Hub_StrongerHosts_GoFirst)
{
    // [GIVEN] A fleet of weak hosts, two of which have five times the processor
    this->hearAll();
    HostState strong = stateOf("north");
    strong.corePercent = 50;
    this->table.onHeard(host(1, 2), 1, strong, this->now);
    this->table.onHeard(host(1, 9), 1, strong, this->now);

    // [THEN] They spread the notes of all, one after the other
    EXPECT_EQ(this->table.hub(this->now), host(1, 2));
    this->table.onSentToHub(host(1, 2), this->now);
    EXPECT_EQ(this->table.hub(this->now + milliseconds(501)), host(1, 9));
}

TEST_F(FleetTable_Tests, Hub_ThisHostIsTheStrongest_IsThisOne)
{
    this->table = FleetTable(host(1, 5), core::DomainName("north"), this->pace, 1, 50);
    this->hearAll();
    EXPECT_EQ(this->table.hub(this->now), host(1, 5));
}

TEST_F(FleetTable_Tests, Hub_NoOtherHost_IsThisOne)
{
    EXPECT_EQ(this->table.hub(this->now), host(1, 5));
}

TEST_F(FleetTable_Tests, HeardShare_DomainCutOff_IsPartThatIsLeft)
{
    // [GIVEN] Six hosts with this one
    this->hearAll();
    constexpr std::chrono::seconds Window { 10 };
    EXPECT_DOUBLE_EQ(this->table.heardShare(Window, this->now), 1);

    // [WHEN] The two hosts of the other domain fall silent
    const auto hearNear = [this](core::Instant at) {
        for (const int number : { 1, 2, 9 }) {
            this->table.onHeard(host(1, number), 1, stateOf("north"), at);
        }
    };
    const core::Instant later = this->now + this->pace.lostAfter + milliseconds(1);
    hearNear(later);

    // [THEN] This part draws on four sixths only, since the others may live
    EXPECT_DOUBLE_EQ(this->table.heardShare(Window, later), 4.0 / 6);

    // [THEN] After the window they count as gone
    const core::Instant end = this->now + Window + milliseconds(1);
    hearNear(end);
    EXPECT_DOUBLE_EQ(this->table.heardShare(Window, end), 1);
}

} // namespace damaskgate::fleet
