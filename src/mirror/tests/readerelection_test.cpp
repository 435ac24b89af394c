#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/mirror/readerelection.h"

namespace damaskgate::mirror {

using std::chrono::milliseconds;

class ReaderElection_Tests : public testing::Test
{
protected:
    ReaderElection_Tests()
    {
        for (int number = 1; number <= 44; ++number) {
            this->hosts.emplace_back("10.1.0." + std::to_string(number));
        }
        this->hosts = core::rankHosts(this->hosts, "source-reader");
    }

    /** @return all hosts except that of @p rank; the first @p reaching hosts reach the source. */
    std::vector<ReaderCandidate> otherHosts(std::size_t rank, std::size_t reaching) const
    {
        std::vector<ReaderCandidate> others;
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (other != rank) {
                others.push_back({ this->hosts[other],
                                   other < reaching ? std::optional(this->now) : std::nullopt });
            }
        }
        return others;
    }

    bool isElected(std::size_t rank, std::size_t reaching, core::Duration after)
    {
        ReaderElection election(this->hosts[rank]);
        election.shouldRead(this->otherHosts(rank, reaching), this->now);
        return election.shouldRead(this->otherHosts(rank, reaching), this->now + after);
    }

    std::vector<core::HostName> hosts;
    core::Instant now { std::chrono::hours(1) };
};

TEST_F(ReaderElection_Tests, ShouldRead_HighestRanks_AtOnce)
{
    EXPECT_TRUE(this->isElected(0, 0, core::Duration::zero()));
    EXPECT_TRUE(this->isElected(1, 0, core::Duration::zero()));
}

TEST_F(ReaderElection_Tests, ShouldRead_LargerCpuQuota_RanksFirst)
{
    // [GIVEN] The two hosts ranked last by name hash have a larger CPU quota than all others
    const std::size_t last = this->hosts.size() - 1;
    auto others = this->otherHosts(0, 0);
    for (ReaderCandidate &other : others) {
        other.corePercent =
            other.name == this->hosts[last] || other.name == this->hosts[last - 1] ? 50 : 10;
    }

    // [THEN] They read at once; the host ranked first by name hash does not
    EXPECT_TRUE(
        ReaderElection(this->hosts[last], 50).shouldRead(this->otherHosts(last, 0), this->now));
    EXPECT_FALSE(ReaderElection(this->hosts[0], 10).shouldRead(others, this->now));
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersReachTheSource_OthersDoNot)
{
    for (std::size_t rank = 2; rank < this->hosts.size(); ++rank) {
        EXPECT_FALSE(this->isElected(rank, 2, std::chrono::seconds(1))) << rank;
    }
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersRefusedByTheSource_NextInRankReadsFirst)
{
    // [WHEN] The source refuses the first two hosts
    // [THEN] The third reads within 300 ms; a host of a low rank does so later, within 1 s
    EXPECT_TRUE(this->isElected(2, 0, milliseconds(300)));
    EXPECT_FALSE(this->isElected(40, 0, milliseconds(300)));
    EXPECT_TRUE(this->isElected(40, 0, milliseconds(1000)));
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersSilent_AreReplacedAfterMaxContactAge)
{
    // [GIVEN] A host that knows of two readers
    ReaderElection election(this->hosts[2]);
    const auto others = this->otherHosts(2, 2);
    ASSERT_FALSE(election.shouldRead(others, this->now));

    // [WHEN] They send no message for longer than MaxContactAge
    const core::Instant late = this->now + ReaderElection::MaxContactAge + milliseconds(1);
    election.shouldRead(others, late);

    // [THEN] It reads the source itself
    EXPECT_TRUE(election.shouldRead(others, late + milliseconds(250)));
}

TEST_F(ReaderElection_Tests, ShouldRead_NoOtherHost_ReadsItself)
{
    ReaderElection election(this->hosts[7]);
    EXPECT_TRUE(election.shouldRead({}, this->now));
}

/** Hosts of several failure domains, all of which are lost at the same time. */
class LostReaders_Tests : public testing::Test
{
protected:
    struct Host
    {
        std::string name;
        std::string domain;
        std::uint8_t corePercent = 20;
    };

    void addHosts(const std::string &domain, int count, std::uint8_t corePercent)
    {
        for (int number = 0; number < count; ++number) {
            this->hosts.push_back({ domain + std::to_string(number), domain, corePercent });
        }
    }

    /** @return the hosts that read while all hosts live, which is also when they are first heard.
     */
    std::set<std::string> readers()
    {
        std::set<std::string> reading;
        // Each host sees the readers that were elected before it.
        for (int round = 0; round < 3; ++round) {
            std::set<std::string> next;
            for (const Host &host : this->hosts) {
                ReaderElection election(core::HostName(host.name), host.corePercent,
                                        core::DomainName(host.domain));
                if (election.shouldRead(this->others(host, reading, {}, this->now), this->now)) {
                    next.insert(host.name);
                }
            }
            reading = next;
        }
        return reading;
    }

    /** @return what @p host knows at @p at, if the hosts @p lost have been silent since `now`. */
    std::vector<ReaderCandidate> others(const Host &host, const std::set<std::string> &reading,
                                        const std::set<std::string> &lost, core::Instant at) const
    {
        std::vector<ReaderCandidate> others;
        for (const Host &other : this->hosts) {
            if (other.name == host.name) {
                continue;
            }
            const core::Instant heardAt = lost.contains(other.name) ? this->now : at;
            others.push_back({ core::HostName(other.name),
                               reading.contains(other.name) ? std::optional(heardAt) : std::nullopt,
                               other.corePercent, core::DomainName(other.domain), at - heardAt });
        }
        return others;
    }

    /** @return the time from the loss of @p lost until the first other host reads the source. */
    core::Duration timeWithoutReader(const std::set<std::string> &lost)
    {
        const std::set<std::string> reading = this->readers();
        std::map<std::string, ReaderElection> elections;
        for (const Host &host : this->hosts) {
            elections.emplace(host.name,
                              ReaderElection(core::HostName(host.name), host.corePercent,
                                             core::DomainName(host.domain)));
        }
        constexpr milliseconds Step { 25 };
        for (core::Duration elapsed {}; elapsed < std::chrono::seconds(5); elapsed += Step) {
            const core::Instant at = this->now + elapsed;
            for (const Host &host : this->hosts) {
                const bool isLost = lost.contains(host.name);
                if (!isLost
                    && elections.at(host.name).shouldRead(this->others(host, reading, lost, at),
                                                          at)) {
                    return elapsed;
                }
            }
        }
        return std::chrono::seconds(5);
    }

    std::set<std::string> hostsOf(const std::string &domain) const
    {
        std::set<std::string> names;
        for (const Host &host : this->hosts) {
            if (host.domain == domain) {
                names.insert(host.name);
            }
        }
        return names;
    }

    core::Instant now { std::chrono::hours(1) };
    std::vector<Host> hosts;
};

// Guards against a failure domain whose loss takes all readers with it.
TEST_F(LostReaders_Tests, ShouldRead_AllStrongHostsInOneDomain_ReadersAreInTwoDomains)
{
    // [GIVEN] A domain with all hosts of the largest CPU quota
    this->addHosts("a", 16, 50);
    this->addHosts("b", 3, 20);
    this->addHosts("c", 3, 20);

    // [THEN] One of the two readers is in another domain, so the loss of one leaves a reader
    const std::set<std::string> reading = this->readers();
    EXPECT_EQ(reading.size(), ReaderElection::TargetReaderCount);
    for (const char *domain : { "a", "b", "c" }) {
        EXPECT_EQ(this->timeWithoutReader(this->hostsOf(domain)), core::Duration::zero()) << domain;
    }
}

// Guards against settings that are late, because the hosts that are left wait for lost ones. The
// settings must be in force 2 s after a change; the hosts need the rest to distribute them.
TEST_F(LostReaders_Tests, ShouldRead_ReadersAndAllStrongHostsLost_IsReplacedInTime)
{
    constexpr milliseconds Allowed { 1450 };
    for (const int strongPerDomain : { 1, 5, 16 }) {
        for (const int weakPerDomain : { 1, 12 }) {
            SCOPED_TRACE(std::to_string(strongPerDomain) + "+" + std::to_string(weakPerDomain));

            // [GIVEN] Three failure domains with strong and weak hosts
            this->hosts.clear();
            std::set<std::string> strong;
            for (const std::string domain : { "a", "b", "c" }) {
                this->addHosts(domain + "-strong", strongPerDomain, 50);
                this->addHosts(domain + "-weak", weakPerDomain, 20);
            }
            for (Host &host : this->hosts) {
                host.domain = host.domain.substr(0, 1);
                if (host.corePercent == 50) {
                    strong.insert(host.name);
                }
            }

            // [WHEN] All strong hosts are lost, or both readers only
            // [THEN] Another host reads the source soon
            EXPECT_LE(this->timeWithoutReader(strong), Allowed);
            EXPECT_LE(this->timeWithoutReader(this->readers()), milliseconds(1000));
        }
    }
}

TEST_F(LostReaders_Tests, ShouldRead_ReadersCutOffFromTheSource_AreReplacedInTime)
{
    for (const std::vector<std::string> &domains :
         std::vector<std::vector<std::string>> { { "a" }, { "a", "b" }, { "a", "b", "c" } }) {
        SCOPED_TRACE(domains.size());

        // [GIVEN] Readers that no longer reach the source, but are heard by the others
        this->hosts.clear();
        for (const std::string &domain : domains) {
            this->addHosts(domain, 6, 20);
        }
        const std::set<std::string> reading = this->readers();

        // [WHEN] The contact with the source is older than MaxContactAge
        const core::Instant agedAt = this->now + ReaderElection::MaxContactAge + milliseconds(1);
        const core::Instant at = agedAt + milliseconds(250);
        bool isRead = false;
        for (const Host &host : this->hosts) {
            ReaderElection election(core::HostName(host.name), host.corePercent,
                                    core::DomainName(host.domain));
            for (const core::Instant seenAt : { agedAt, at }) {
                auto others = this->others(host, reading, reading, seenAt);
                for (ReaderCandidate &other : others) {
                    other.silence = core::Duration::zero();
                }
                isRead = election.shouldRead(others, seenAt) && !reading.contains(host.name)
                    ? true
                    : isRead;
            }
        }

        // [THEN] Another host reads within 0.25 s
        EXPECT_TRUE(isRead);
    }
}

TEST_F(LostReaders_Tests, ShouldRead_OneReaderLost_FewHostsTakeOver)
{
    // [GIVEN] A fleet whose first reader is silent, while the second one is heard
    for (const char *domain : { "a", "b", "c", "d", "e" }) {
        this->addHosts(domain, 20, 20);
    }
    const std::set<std::string> reading = this->readers();
    const std::set<std::string> lost { *reading.begin() };

    // [WHEN] The time passes after which the next one takes over
    const core::Instant at = this->now + ReaderElection::MaxReaderSilence + milliseconds(300);
    std::size_t takingOver = 0;
    for (const Host &host : this->hosts) {
        if (reading.contains(host.name)) {
            continue;
        }
        ReaderElection election(core::HostName(host.name), host.corePercent,
                                core::DomainName(host.domain));
        const core::Instant noticedAt =
            this->now + ReaderElection::MaxReaderSilence + milliseconds(1);
        election.shouldRead(this->others(host, reading, lost, noticedAt), noticedAt);
        takingOver += election.shouldRead(this->others(host, reading, lost, at), at) ? 1U : 0U;
    }

    // [THEN] Not the whole fleet reads
    EXPECT_GE(takingOver, 1U);
    EXPECT_LE(takingOver, 3U);
}

TEST_F(LostReaders_Tests, NextDecisionAt_TwoReaders_IsWhenTheFirstOneCountsAsSilent)
{
    // [GIVEN] A host that has heard two readers, one of them 0.3 s ago
    this->addHosts("a", 1, 20);
    this->addHosts("b", 1, 50);
    this->addHosts("c", 1, 50);
    auto others = this->others(this->hosts.front(), { "b0", "c0" }, {}, this->now);
    others.back().silence = milliseconds(300);
    ReaderElection election(core::HostName("a0"), 20, core::DomainName("a"));

    // [THEN] It decides again when that one counts as silent
    EXPECT_FALSE(election.shouldRead(others, this->now));
    EXPECT_EQ(election.nextDecisionAt(),
              this->now + ReaderElection::MaxReaderSilence - milliseconds(300));
}

} // namespace damaskgate::mirror
