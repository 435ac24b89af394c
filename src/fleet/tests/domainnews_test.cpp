#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/fleet/fleettable.h"

namespace damaskgate::fleet {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RoundInterval { 1000 };

// A domain of each size that a remote domain may have relative to the sender's: smaller, equal,
// twice as large and much larger.
const std::vector<int> UnequalDomains { 1, 2, 8, 17, 63 };

core::DomainName domainName(int domain)
{
    return core::DomainName("domain-" + std::to_string(domain));
}

core::HostName hostName(int domain, int number)
{
    return core::HostName("10." + std::to_string(domain) + ".0." + std::to_string(number));
}

HostState stateOf(int domain)
{
    HostState state;
    state.domain = domainName(domain);
    state.isServing = true;
    return state;
}

/** The tables of all hosts of a fleet, which send each other their heartbeats once a second. */
class VirtualFleet
{
public:
    VirtualFleet(const std::vector<int> &domainSizes, double lossRate, std::uint64_t seed)
        : lossRate(lossRate), random(seed)
    {
        for (int domain = 0; domain < static_cast<int>(domainSizes.size()); ++domain) {
            for (int number = 0; number < domainSizes.at(domain); ++number) {
                this->addHost(domain, number);
            }
        }
        this->introduceAll();
    }

    void addHost(int domain, int number)
    {
        const core::HostName name = hostName(domain, number);
        this->hosts.emplace(
            name, Host { domain, FleetTable(name, domainName(domain), this->timing, domain) });
    }

    void removeHost(const core::HostName &name)
    {
        this->hosts.erase(name);
    }

    /** Makes all hosts known to each other, as after their start. */
    void introduceAll()
    {
        for (auto &[name, host] : this->hosts) {
            for (const auto &[otherName, other] : this->hosts) {
                host.table.onHeartbeat(otherName, 1, stateOf(other.domain), this->now);
            }
        }
    }

    void runRounds(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->now += RoundInterval;
            ++this->round;
            this->mostTargets = 0;
            this->reached.clear();
            for (auto &[name, host] : this->hosts) {
                this->sendLocally(name, host);
            }
            for (auto &[name, host] : this->hosts) {
                this->sendToOtherDomains(host);
            }
            for (const auto &[name, host] : this->hosts) {
                this->countLost(host);
            }
        }
    }

    /** @return whether each host got a message from each other domain in the last round. */
    bool isEachReachedFromEachDomain() const
    {
        std::set<int> domains;
        for (const auto &[name, host] : this->hosts) {
            domains.insert(host.domain);
        }
        return std::ranges::all_of(this->hosts, [this, &domains](const auto &item) {
            const auto found = this->reached.find(item.first);
            const std::size_t count = found == this->reached.end() ? 0 : found->second.size();
            return count == domains.size() - 1;
        });
    }

    std::map<core::DomainName, int> domainSizes() const
    {
        std::map<core::DomainName, int> sizes;
        for (const auto &[name, host] : this->hosts) {
            ++sizes[domainName(host.domain)];
        }
        return sizes;
    }

    std::size_t lostCount = 0; //!< hosts that were not live in another host's view, over all rounds
    std::size_t mostTargets = 0; //!< most messages from one host to other domains in a round

private:
    struct Host
    {
        int domain = 0;
        FleetTable table;
    };

    bool isDelivered()
    {
        return !std::bernoulli_distribution(this->lossRate)(this->random);
    }

    void sendLocally(const core::HostName &name, Host &host)
    {
        for (const core::HostName &to : host.table.dueHosts(this->now)) {
            const auto receiver = this->hosts.find(to);
            if (receiver != this->hosts.end() && this->isDelivered()) {
                receiver->second.table.onHeartbeat(name, 1, stateOf(host.domain), this->now);
            }
        }
    }

    void sendToOtherDomains(Host &host)
    {
        const auto news = host.table.indirectHeartbeats(this->now);
        const auto targets = host.table.indirectHeartbeatTargets(this->round, this->now);
        this->mostTargets = std::max(this->mostTargets, targets.size());
        for (const core::HostName &to : targets) {
            const auto receiver = this->hosts.find(to);
            if (receiver == this->hosts.end() || !this->isDelivered()) {
                continue;
            }
            FleetTable &table = receiver->second.table;
            table.onHeartbeat(host.table.self(), 1, stateOf(host.domain), this->now);
            table.onIndirectHeartbeats(domainName(host.domain), news, this->now);
            this->reached[to].insert(host.domain);
        }
    }

    void countLost(const Host &host)
    {
        this->lostCount += static_cast<std::size_t>(
            std::ranges::count_if(this->hosts, [this, &host](const auto &other) {
                return other.first != host.table.self()
                    && !host.table.isLive(other.first, this->now);
            }));
    }

    FleetTiming timing;
    double lossRate;
    std::mt19937_64 random;
    core::Instant now { std::chrono::hours(1) };
    std::uint64_t round = 0;
    std::map<core::HostName, Host> hosts;
    std::map<core::HostName, std::set<int>> reached; //!< domains heard from in the last round
};

/** @return the most messages that one host of any domain sends to the other domains in a round. */
std::size_t targetLimit(const std::map<core::DomainName, int> &sizes)
{
    std::size_t limit = 0;
    for (const auto &[domain, size] : sizes) {
        std::size_t sum = 0;
        for (const auto &[other, otherSize] : sizes) {
            sum += other == domain ? 0 : static_cast<std::size_t>((otherSize + size - 1) / size);
        }
        limit = std::max(limit, sum);
    }
    return limit;
}

} // namespace

TEST(DomainNews_Tests, IndirectHeartbeats_DomainsOfUnequalSizes_NoHostIsLost)
{
    // [GIVEN] Domains with 1 to 63 hosts, all healthy
    VirtualFleet fleet(UnequalDomains, 0, 1);

    // [WHEN] A minute passes
    fleet.runRounds(60);

    // [THEN] No host has ever lost another from its view
    EXPECT_EQ(fleet.lostCount, 0U);
}

TEST(DomainNews_Tests, IndirectHeartbeats_LossyLinks_NoHostIsLost)
{
    // [GIVEN] Domains of unequal sizes, and links that lose one message in fifty
    VirtualFleet fleet(UnequalDomains, 0.02, 2);

    // [WHEN] A minute passes
    fleet.runRounds(60);

    // [THEN] No host has ever lost another from its view
    EXPECT_EQ(fleet.lostCount, 0U);
}

TEST(DomainNews_Tests, IndirectHeartbeats_HostsJoinAndLeave_ViewsAreCompleteAgain)
{
    // [GIVEN] Domains of unequal sizes
    VirtualFleet fleet(UnequalDomains, 0.02, 3);
    fleet.runRounds(5);

    // [WHEN] Half of a domain stops at once and new hosts start in another
    for (int number = 0; number < 8; ++number) {
        fleet.removeHost(hostName(3, number));
        fleet.addHost(1, 100 + number);
    }
    fleet.introduceAll();
    fleet.runRounds(8);

    // [THEN] The hosts see each other without a gap afterwards
    fleet.lostCount = 0;
    fleet.runRounds(30);
    EXPECT_EQ(fleet.lostCount, 0U);
}

TEST(DomainNews_Tests, IndirectHeartbeatTargets_AnySizes_EachRoundReachesEachHost)
{
    // [GIVEN] Fleets with random domain sizes
    std::mt19937_64 random(4);
    std::uniform_int_distribution<int> pickDomainCount(2, 6);
    std::uniform_int_distribution<int> pickSize(1, 40);
    for (int fleetNumber = 0; fleetNumber < 25; ++fleetNumber) {
        std::vector<int> sizes(static_cast<std::size_t>(pickDomainCount(random)));
        std::ranges::generate(sizes, [&random, &pickSize] { return pickSize(random); });
        VirtualFleet fleet(sizes, 0, static_cast<std::uint64_t>(fleetNumber));

        // [THEN] In each round each host hears from each other domain, and the hosts of a domain
        // share the messages
        for (int round = 0; round < 3; ++round) {
            fleet.runRounds(1);
            EXPECT_TRUE(fleet.isEachReachedFromEachDomain()) << testing::PrintToString(sizes);
            EXPECT_LE(fleet.mostTargets, targetLimit(fleet.domainSizes()))
                << testing::PrintToString(sizes);
        }
    }
}

} // namespace damaskgate::fleet
