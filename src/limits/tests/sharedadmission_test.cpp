#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/limits/sharedadmission.h"

namespace damaskgate::limits {

namespace {

using std::chrono::milliseconds;

const core::WorkspaceName Halls("halls");
constexpr double Rate = 36;
constexpr double Burst = 36;
constexpr milliseconds Window { 5000 }; //!< window of allowedInWindow()

settings::Settings settingsWith(double rate, double burst)
{
    settings::Settings settings;
    settings::Workspace workspace;
    workspace.name = Halls;
    workspace.ratePerSecond = rate;
    workspace.burst = burst;
    settings.workspaces.emplace(Halls, workspace);
    return settings;
}

/** Hosts that exchange gossip items with a delay, and not at all across a network partition. */
class AdmissionFleet
{
public:
    explicit AdmissionFleet(std::size_t hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            this->hosts.push_back(std::make_unique<SharedAdmission>(this->clock));
            this->hosts.back()->applySettings(settingsWith(Rate, Burst));
        }
    }

    /** Splits the fleet into two parts that do not reach each other. */
    void split(std::size_t firstPartSize)
    {
        this->firstPartSize = firstPartSize;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            const std::size_t size =
                i < firstPartSize ? firstPartSize : this->hosts.size() - firstPartSize;
            this->hosts[i]->setReachableFraction(static_cast<double>(size)
                                                 / static_cast<double>(this->hosts.size()));
        }
    }

    /** Sends @p perSecond requests per second for @p length, each to a random host. */
    void sendRequests(double perSecond, milliseconds length)
    {
        const core::Instant end = this->clock.now() + length;
        const auto interval = std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(1 / perSecond));
        while (this->clock.now() < end) {
            this->clock.advance(interval);
            this->deliverGossip();
            this->sendRequest();
        }
    }

    /** @return the largest number of requests admitted within any Window. */
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->admitted.size(); ++last) {
            while (this->admitted[last] - this->admitted[first] > Window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<core::Instant> admitted;

private:
    struct GossipItem
    {
        core::Instant due;
        std::size_t from;
    };

    void sendRequest()
    {
        const std::size_t host =
            std::uniform_int_distribution<std::size_t>(0, this->hosts.size() - 1)(this->random);
        this->hosts[host]->admit(
            Halls, this->clock.now(), [this, host](const core::Result<void> &result) {
                if (result) {
                    this->admitted.push_back(this->clock.now());
                    this->gossipItems.push_back({ this->clock.now() + GossipDelay, host });
                }
            });
    }

    void deliverGossip()
    {
        while (!this->gossipItems.empty() && this->gossipItems.front().due <= this->clock.now()) {
            const std::size_t from = this->gossipItems.front().from;
            this->gossipItems.pop_front();
            for (std::size_t to = 0; to < this->hosts.size(); ++to) {
                if (to != from && (to < this->firstPartSize) == (from < this->firstPartSize)) {
                    this->hosts[to]->consumeRemote(core::nameHash(Halls.text()));
                }
            }
        }
    }

    static constexpr milliseconds GossipDelay { 120 };

    core::ManualClock clock;
    std::mt19937_64 random { 7 };
    std::size_t firstPartSize = 0;
    std::vector<std::unique_ptr<SharedAdmission>> hosts;
    std::deque<GossipItem> gossipItems;
};

// The users accept 25 % more than the rate and burst of a window allow, plus 20 requests.
std::size_t allowedInWindow()
{
    const double seconds = std::chrono::duration<double>(Window).count();
    return static_cast<std::size_t>((Rate * seconds + Burst) * 1.25 + 20);
}

} // namespace

TEST(SharedAdmission_Tests, Admit_SeveralTimesTheRate_StaysWithinTheLimitOverAllHosts)
{
    // [GIVEN] 44 hosts whose gossip items arrive after 120 ms
    AdmissionFleet fleet(44);

    // [WHEN] A workspace sends seven and a half times its rate
    fleet.sendRequests(Rate * 7.5, milliseconds(20000));

    // [THEN] No window exceeds the accepted number, and at least 95 % of the rate is used
    EXPECT_LE(fleet.mostInWindow(), allowedInWindow());
    EXPECT_GE(fleet.admitted.size(), static_cast<std::size_t>(Rate * 20 * 0.95));
}

TEST(SharedAdmission_Tests, Admit_FleetSplit_StaysWithinTheLimitOverBothParts)
{
    // [GIVEN] A workspace that uses all of its rate
    AdmissionFleet fleet(44);
    fleet.sendRequests(Rate * 5, milliseconds(5000));

    // [WHEN] The fleet is split into two parts that do not reach each other
    fleet.split(15);
    fleet.sendRequests(Rate * 5, milliseconds(15000));

    // [THEN] Both parts together stay within the limit
    EXPECT_LE(fleet.mostInWindow(), allowedInWindow());
}

TEST(SharedAdmission_Tests, Admit_BelowTheRate_RefusesNothing)
{
    // [GIVEN] A workspace that sends nine tenths of its rate
    AdmissionFleet fleet(44);
    fleet.sendRequests(Rate * 0.9, milliseconds(20000));

    // [THEN] All requests are admitted
    EXPECT_GE(fleet.admitted.size(), static_cast<std::size_t>(Rate * 0.9 * 20) - 1);
}

TEST(SharedAdmission_Tests, Admit_NoLimit_IsNeverRefused)
{
    // [GIVEN] A workspace without a rate limit
    core::ManualClock clock;
    SharedAdmission admission(clock);
    admission.applySettings(settingsWith(0, 0));

    // [THEN] A thousand simultaneous requests are admitted
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        admission.admit(Halls, clock.now(), [&admitted](const core::Result<void> &result) {
            admitted += result ? 1 : 0;
        });
    }
    EXPECT_EQ(admitted, 1000);
}

TEST(SharedAdmission_Tests, Admit_OverTheRate_ReturnsRetryAfter)
{
    // [GIVEN] A workspace that has used its burst
    core::ManualClock clock;
    SharedAdmission admission(clock);
    admission.applySettings(settingsWith(4, 1));
    core::Result<void> last;
    for (int i = 0; i < 2; ++i) {
        admission.admit(Halls, clock.now(),
                        [&last](const core::Result<void> &result) { last = result; });
    }

    // [THEN] The refusal has verdict NotRun and contains the time to the next token
    ASSERT_FALSE(last);
    EXPECT_EQ(last.error().reason, core::Reason::RateLimited);
    EXPECT_EQ(last.error().verdict, core::Verdict::NotRun);
    EXPECT_EQ(last.error().retryAfter, milliseconds(250));
}

} // namespace damaskgate::limits
