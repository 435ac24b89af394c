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

    // Adds three local hosts, with names before and after that of this host, and two remote hosts.
    void addAllHosts()
    {
        for (const int number : { 1, 2, 9 }) {
            this->table.onHeartbeat(host(1, number), 1, stateOf("north"), this->now);
        }
        for (const int number : { 1, 2 }) {
            this->table.onHeartbeat(host(2, number), 1, stateOf("south"), this->now);
        }
    }

    FleetTiming timing;
    core::Instant now { std::chrono::hours(1) };
    FleetTable table { host(1, 5), core::DomainName("north"), this->timing, 1 };
};

TEST_F(FleetTable_Tests, OnHeartbeat_LostTimeoutPassed_IsNoLongerLive)
{
    // [GIVEN] A host that has sent one heartbeat
    this->table.onHeartbeat(host(1, 1), 1, stateOf("north"), this->now);

    // [WHEN] It sends nothing more
    const core::Instant later = this->now + this->timing.lostTimeout + milliseconds(1);

    // [THEN] It counts as live until the timeout
    EXPECT_TRUE(this->table.isLive(host(1, 1), this->now + this->timing.lostTimeout));
    EXPECT_FALSE(this->table.isLive(host(1, 1), later));
}

TEST_F(FleetTable_Tests, OnHeartbeat_FormerProcess_IsIgnored)
{
    // [GIVEN] A host that has restarted and is serving
    this->table.onHeartbeat(host(1, 1), 2, stateOf("north"), this->now);

    // [WHEN] A delayed message of its former process arrives
    HostState leaving = stateOf("north");
    leaving.isLeaving = true;
    this->table.onHeartbeat(host(1, 1), 1, leaving, this->now);

    // [THEN] The host is not leaving
    ASSERT_THAT(this->table.liveMembers(this->now), SizeIs(1));
    EXPECT_FALSE(this->table.liveMembers(this->now).front()->state.isLeaving);
}

TEST_F(FleetTable_Tests, OnHeartbeat_RestartAfterClockSetBack_IsLive)
{
    // [GIVEN] A host whose incarnation was taken from a clock that was ahead
    this->table.onHeartbeat(host(1, 1), 9, stateOf("north"), this->now);

    // [WHEN] It restarts after the clock was set back, with a lower incarnation
    const core::Instant later = this->now + milliseconds(600);
    EXPECT_TRUE(this->table.onHeartbeat(host(1, 1), 2, stateOf("north"), later));

    // [THEN] It counts as live from then on
    EXPECT_TRUE(this->table.isLive(host(1, 1), later + this->timing.lostTimeout));
}

TEST_F(FleetTable_Tests, DueHosts_LiveRemoteHost_IsNotDue)
{
    // [GIVEN] Hosts of two domains
    this->addAllHosts();

    // [THEN] Only the local hosts are due for a heartbeat
    EXPECT_THAT(this->table.dueHosts(this->now), ElementsAre(host(1, 1), host(1, 2), host(1, 9)));
}

TEST_F(FleetTable_Tests, DueHosts_LostHost_IsRetriedAtIntervals)
{
    // [GIVEN] A lost host to which a message has just been sent
    this->addAllHosts();
    this->now += this->timing.lostTimeout + milliseconds(1);
    this->table.onSent(host(2, 1), this->now);

    // [THEN] It is due again after the retry interval, so that the end of a network cut is noticed
    const auto isDue = [this](core::Instant at) {
        const auto due = this->table.dueHosts(at);
        return std::ranges::find(due, host(2, 1)) != due.end();
    };
    EXPECT_FALSE(isDue(this->now + milliseconds(1)));
    EXPECT_TRUE(isDue(this->now + this->timing.lostRetryInterval));
}

TEST_F(FleetTable_Tests, OnIndirectHeartbeats_DeadHost_IsLostDespiteLaterForwarding)
{
    // [GIVEN] A remote host whose neighbour had its last contact with it 3 s ago
    const IndirectHeartbeat indirect { host(2, 1), milliseconds(3000), false, true };

    // [WHEN] The neighbour forwards its heartbeat
    this->table.onIndirectHeartbeats(core::DomainName("south"), { &indirect, 1 }, this->now);

    // [THEN] The timeout runs from that contact, not from the arrival of the indirect heartbeat
    EXPECT_TRUE(this->table.isLive(host(2, 1), this->now));
    EXPECT_FALSE(this->table.isLive(host(2, 1), this->now + milliseconds(1001)));
}

TEST_F(FleetTable_Tests, OnIndirectHeartbeats_OlderThanLastContact_ChangesNothing)
{
    // [GIVEN] A host that has just sent a heartbeat
    this->addAllHosts();

    // [WHEN] An older indirect heartbeat reports that it is leaving
    const IndirectHeartbeat indirect { host(2, 1), milliseconds(500), true, false };
    const bool isChanged =
        this->table.onIndirectHeartbeats(core::DomainName("south"), { &indirect, 1 }, this->now);

    // [THEN] The newer direct heartbeat stays in force
    EXPECT_FALSE(isChanged);
}

TEST_F(FleetTable_Tests, IndirectHeartbeatTargets_AllRounds_DifferBetweenSenders)
{
    // [GIVEN] As many sending hosts as receiving hosts
    FleetTable other { host(1, 1), core::DomainName("north"), this->timing, 1 };
    for (FleetTable *each : { &this->table, &other }) {
        each->onHeartbeat(each == &other ? host(1, 5) : host(1, 1), 1, stateOf("north"), this->now);
        each->onHeartbeat(host(2, 1), 1, stateOf("south"), this->now);
        each->onHeartbeat(host(2, 2), 1, stateOf("south"), this->now);
    }

    // [THEN] In each round the senders select different receivers
    for (const std::uint64_t round : { 0U, 1U, 2U }) {
        EXPECT_NE(this->table.indirectHeartbeatTargets(round, this->now),
                  other.indirectHeartbeatTargets(round, this->now));
    }
}

TEST_F(FleetTable_Tests, Hub_AllHostsRespond_IsFirstByName)
{
    this->addAllHosts();
    EXPECT_EQ(this->table.hub(this->now), host(1, 1));
}

TEST_F(FleetTable_Tests, Hub_KilledHub_IsReplacedWithinHalfASecond)
{
    // [GIVEN] Gossip items were sent to the hub and it has sent nothing since
    this->addAllHosts();
    this->table.onSentToHub(host(1, 1), this->now);

    // [THEN] The next host replaces it long before the hub counts as lost
    EXPECT_EQ(this->table.hub(this->now + milliseconds(400)), host(1, 1));
    EXPECT_EQ(this->table.hub(this->now + milliseconds(501)), host(1, 2));
}

TEST_F(FleetTable_Tests, Hub_ResponsiveHub_IsKept)
{
    // [GIVEN] A hub that has sent a heartbeat after gossip items were sent to it
    this->addAllHosts();
    this->table.onSentToHub(host(1, 1), this->now);
    this->table.onHeartbeat(host(1, 1), 1, stateOf("north"), this->now + milliseconds(100));

    // [THEN] It stays the hub
    EXPECT_EQ(this->table.hub(this->now + milliseconds(600)), host(1, 1));
}

TEST_F(FleetTable_Tests, Hub_HostsWithHigherCorePercent_ArePreferred)
{
    // [GIVEN] Two hosts that report 50 percent of a core, the others report nothing
    this->addAllHosts();
    HostState strong = stateOf("north");
    strong.corePercent = 50;
    this->table.onHeartbeat(host(1, 2), 1, strong, this->now);
    this->table.onHeartbeat(host(1, 9), 1, strong, this->now);

    // [THEN] One of them is the hub, and the other replaces it
    EXPECT_EQ(this->table.hub(this->now), host(1, 2));
    this->table.onSentToHub(host(1, 2), this->now);
    EXPECT_EQ(this->table.hub(this->now + milliseconds(501)), host(1, 9));
}

TEST_F(FleetTable_Tests, Hub_ThisHostHasHighestCorePercent_IsThisHost)
{
    this->table = FleetTable(host(1, 5), core::DomainName("north"), this->timing, 1, 50);
    this->addAllHosts();
    EXPECT_EQ(this->table.hub(this->now), host(1, 5));
}

TEST_F(FleetTable_Tests, Hub_NoOtherHost_IsThisHost)
{
    EXPECT_EQ(this->table.hub(this->now), host(1, 5));
}

TEST_F(FleetTable_Tests, ReachableFraction_DomainCutOff_IsShareOfReachableHosts)
{
    // [GIVEN] Six hosts including this one
    this->addAllHosts();
    constexpr std::chrono::seconds Window { 10 };
    EXPECT_DOUBLE_EQ(this->table.reachableFraction(Window, this->now), 1);

    // [WHEN] The two hosts of the other domain send no more heartbeats
    const auto sendLocalHeartbeats = [this](core::Instant at) {
        for (const int number : { 1, 2, 9 }) {
            this->table.onHeartbeat(host(1, number), 1, stateOf("north"), at);
        }
    };
    const core::Instant later = this->now + this->timing.lostTimeout + milliseconds(1);
    sendLocalHeartbeats(later);

    // [THEN] The fraction is four sixths, since the lost hosts may be alive behind a network cut
    EXPECT_DOUBLE_EQ(this->table.reachableFraction(Window, later), 4.0 / 6);

    // [THEN] After the window they no longer count
    const core::Instant end = this->now + Window + milliseconds(1);
    sendLocalHeartbeats(end);
    EXPECT_DOUBLE_EQ(this->table.reachableFraction(Window, end), 1);
}

} // namespace damaskgate::fleet
