#include <map>

#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/upstreams/endpointbook.h"

namespace damaskgate::upstreams {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EndpointBook_Tests : public testing::Test
{
protected:
    static RegisteredEndpoint endpoint(const std::string &name, std::uint64_t revision = 1)
    {
        RegisteredEndpoint facts;
        facts.endpoint.name = core::EndpointName(name);
        facts.endpoint.domain = core::DomainName("north");
        facts.service = core::ServiceName("booking");
        facts.slots = 6;
        facts.startedAtMillis = 1000;
        facts.sequence = static_cast<std::int64_t>(revision);
        facts.revision = revision;
        return facts;
    }

    void list(std::vector<RegisteredEndpoint> endpoints, bool isSettled = true)
    {
        this->book.setEndpoints(endpoints, isSettled, this->now);
    }

    /** @return how often each endpoint is chosen in @p count requests that are answered at once. */
    std::map<std::string, int> chooseMany(int count)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < count; ++i) {
            const auto choice = this->book.choose(this->request, this->now);
            if (!choice) {
                ++chosen["none"];
                continue;
            }
            ++chosen[choice->grant.endpoint.name.text()];
        }
        return chosen;
    }

    void end(const std::string &name, balance::Outcome outcome)
    {
        const std::uint32_t tag = core::nameHash(name);
        this->book.onStarted(tag, 1, this->now);
        this->book.onEnded(tag, 1, outcome, this->now);
    }

    core::Instant now { std::chrono::hours(1) };
    EndpointBook book { ChoiceModel {}, core::DomainName("north"), 3 };
    balance::WorkRequest request { core::ServiceName("booking"), {}, false, this->now, {} };
};

TEST_F(EndpointBook_Tests, Choose_TwoFailuresOfOtherHosts_AvoidsTheEndpoint)
{
    // [GIVEN] Two sound endpoints
    this->list({ endpoint("a"), endpoint("b") });

    // [WHEN] Another host tells of two failures in a row
    this->end("a", balance::Outcome::ServerError);
    this->end("a", balance::Outcome::ServerError);

    // [THEN] This host, which saw none, sends nothing there
    EXPECT_EQ(this->chooseMany(50)["a"], 0);
}

TEST_F(EndpointBook_Tests, Choose_FastFailures_DoNotAttractWork)
{
    // [GIVEN] An endpoint that is busy and one that fails at once, so that it always looks idle
    this->list({ endpoint("a"), endpoint("b") });
    this->end("a", balance::Outcome::ServerError);
    this->end("a", balance::Outcome::ServerError);
    for (int i = 0; i < 4; ++i) {
        this->book.onStarted(core::nameHash("b"), 1, this->now);
    }

    // [THEN] The busy one gets the work
    EXPECT_EQ(this->chooseMany(50)["a"], 0);
}

TEST_F(EndpointBook_Tests, Choose_LeavingEndpoint_GetsNothing)
{
    auto leaving = endpoint("a", 2);
    leaving.isLeaving = true;
    this->list({ leaving, endpoint("b") });
    EXPECT_EQ(this->chooseMany(20)["a"], 0);
}

TEST_F(EndpointBook_Tests, Choose_WithdrawnDomain_GetsNothingUntilItIsBack)
{
    // [GIVEN] Endpoints of two domains
    auto far = endpoint("b");
    far.endpoint.domain = core::DomainName("south");
    this->list({ endpoint("a"), far });

    // [WHEN] One domain is withdrawn
    this->book.setWithdrawnDomains({ core::DomainName("north") });

    // [THEN] Only the other one serves
    EXPECT_EQ(this->chooseMany(20)["b"], 20);
    this->book.setWithdrawnDomains({});
    EXPECT_GT(this->chooseMany(20)["a"], 0);
}

TEST_F(EndpointBook_Tests, Choose_MisdirectedEndpoint_GetsNothingUntilItStartsAgain)
{
    // [GIVEN] An endpoint whose address has another one
    this->list({ endpoint("a") });
    this->end("a", balance::Outcome::Misdirected);
    EXPECT_EQ(this->chooseMany(5)["none"], 5);

    // [WHEN] It starts again under its name
    auto again = endpoint("a", 2);
    again.startedAtMillis = 2000;
    this->list({ again });

    // [THEN] It serves
    EXPECT_EQ(this->chooseMany(5)["a"], 5);
}

TEST_F(EndpointBook_Tests, SetEndpoints_NewsOfAFormerStart_IsIgnored)
{
    // [GIVEN] An endpoint that has started again
    auto again = endpoint("a", 5);
    again.startedAtMillis = 2000;
    this->list({ again });

    // [WHEN] A late registration of its former start says that it leaves
    auto former = endpoint("a", 6);
    former.isLeaving = true;
    this->list({ former });

    // [THEN] It goes on serving
    EXPECT_EQ(this->chooseMany(5)["a"], 5);
}

TEST_F(EndpointBook_Tests, SetEndpoints_MissingWhileUnsettled_IsKept)
{
    // [GIVEN] An endpoint that serves
    this->list({ endpoint("a"), endpoint("b") });

    // [WHEN] Its registration ran out while the source was away
    this->list({ endpoint("b") }, false);

    // [THEN] It is used until the source has settled
    EXPECT_GT(this->chooseMany(50)["a"], 0);
    this->list({ endpoint("b") }, true);
    EXPECT_EQ(this->chooseMany(50)["a"], 0);
}

TEST_F(EndpointBook_Tests, SetEndpoints_LeavingAndMissingWhileUnsettled_IsGone)
{
    auto leaving = endpoint("a", 2);
    leaving.isLeaving = true;
    this->list({ leaving });
    this->list({}, false);
    EXPECT_EQ(this->chooseMany(5)["none"], 5);
}

TEST_F(EndpointBook_Tests, Choose_ColdEndpoint_GetsWhatItBearsOverAllHosts)
{
    // [GIVEN] A cold endpoint that bears 16 requests a second
    this->book.setServices({ { core::ServiceName("booking"), ServiceBounds { 16 } } });
    auto cold = endpoint("a");
    cold.coldFor = seconds(3);
    this->list({ cold });

    // [WHEN] Much more is asked for, half of it by other hosts
    int sent = 0;
    for (int step = 0; step < 1000; ++step) {
        this->now += milliseconds(1);
        if (step % 20 == 0) {
            this->book.onStarted(core::nameHash("a"), 1, this->now);
            this->book.onEnded(core::nameHash("a"), 1, balance::Outcome::Answered, this->now);
            ++sent;
        }
        if (this->book.choose(this->request, this->now)) {
            ++sent;
        }
    }

    // [THEN] This host sends nothing beyond the bound; the others alone exceed it here
    EXPECT_LE(sent, 50 + 3);
}

TEST_F(EndpointBook_Tests, Choose_ColdEndpointAlone_StaysBelowItsRate)
{
    // [GIVEN] A cold endpoint and nothing else
    this->book.setServices({ { core::ServiceName("booking"), ServiceBounds { 16 } } });
    auto cold = endpoint("a");
    cold.coldFor = seconds(3);
    this->list({ cold });

    // [WHEN] It is asked for a hundred times a second
    int sent = 0;
    for (int step = 0; step < 100; ++step) {
        this->now += milliseconds(10);
        sent += this->book.choose(this->request, this->now) ? 1 : 0;
    }

    // [THEN] It gets less than it bears in a second
    EXPECT_LE(sent, 16);
    EXPECT_GE(sent, 12);
}

TEST_F(EndpointBook_Tests, SetEndpoints_SameRegistrationAgain_DoesNotStayColdLonger)
{
    // [GIVEN] A cold endpoint whose registration is read again and again
    this->book.setServices({ { core::ServiceName("booking"), ServiceBounds { 1 } } });
    auto cold = endpoint("a");
    cold.coldFor = seconds(3);
    for (int second = 0; second < 4; ++second) {
        this->list({ cold });
        this->now += seconds(1);
    }

    // [THEN] It is warm when its time has passed
    EXPECT_EQ(this->chooseMany(20)["a"], 20);
}

TEST_F(EndpointBook_Tests, Choose_ShortQueue_GoesBeforeAKnownBadEndpoint)
{
    // [GIVEN] A service with a usual time of 0.5 s and an objective of 1.5 s
    this->request.latencyObjective = milliseconds(1500);
    for (int i = 0; i < 20; ++i) {
        this->book.onLatency(this->request, milliseconds(500));
    }
    this->list({ endpoint("a"), endpoint("b") });
    for (int i = 0; i < 5; ++i) {
        this->end("a", balance::Outcome::ServerError);
    }

    // [WHEN] Seven requests wait at the sound endpoint, for little more than one round
    for (int i = 0; i < 13; ++i) {
        this->book.onStarted(core::nameHash("b"), 1, this->now);
    }

    // [THEN] Waiting there is better than failing at the other
    EXPECT_EQ(this->chooseMany(50)["a"], 0);
}

TEST_F(EndpointBook_Tests, Choose_StartsWhoseEndsWereLost_AreForgotten)
{
    // [GIVEN] An endpoint at which a killed host had many requests
    this->list({ endpoint("a"), endpoint("b") });
    for (int i = 0; i < 30; ++i) {
        this->book.onStarted(core::nameHash("a"), 1, this->now);
    }
    EXPECT_EQ(this->chooseMany(20)["a"], 0);

    // [THEN] It gets its part again after a while
    this->now += ChoiceModel {}.lostAfter + milliseconds(1);
    EXPECT_GT(this->chooseMany(100)["a"], 20);
}

TEST_F(EndpointBook_Tests, Choose_ManyRequestsFailAtOnce_SuspectsAreUsedAgain)
{
    // [GIVEN] A suspect that failed three seconds ago, and a hundred requests served since
    this->list({ endpoint("a"), endpoint("b"), endpoint("suspect") });
    for (int i = 0; i < 4; ++i) {
        this->end("suspect", balance::Outcome::ServerError);
    }
    for (int i = 0; i < 100; ++i) {
        this->now += milliseconds(30);
        this->end("a", balance::Outcome::Answered);
    }
    EXPECT_EQ(this->chooseMany(50)["suspect"], 0);

    // [WHEN] All requests that are under way at another endpoint fail together
    for (int i = 0; i < 30; ++i) {
        this->book.onStarted(core::nameHash("b"), 1, this->now);
    }
    for (int i = 0; i < 30; ++i) {
        this->book.onEnded(core::nameHash("b"), 1, balance::Outcome::BrokenOff, this->now);
    }

    // [THEN] Each of them counts: more than a tenth is not served, and every endpoint is in use
    EXPECT_GT(this->chooseMany(50)["suspect"], 0);
}

TEST_F(EndpointBook_Tests, Choose_HalfBusyOwnDomain_IsUsedBesideIdleEndpointsElsewhere)
{
    // [GIVEN] Endpoints of two slots; the one of this domain works on one request
    auto own = endpoint("a");
    auto far = endpoint("b");
    own.slots = 2;
    far.slots = 2;
    far.endpoint.domain = core::DomainName("south");
    this->list({ own, far });
    this->end("b", balance::Outcome::Answered);
    this->book.onStarted(core::nameHash("a"), 1, this->now);

    // [THEN] It is used all the same; when both its slots are taken, the other one is
    EXPECT_GT(this->chooseMany(100)["a"], 0);
    this->book.onStarted(core::nameHash("a"), 1, this->now);
    EXPECT_EQ(this->chooseMany(100)["a"], 0);
}

TEST_F(EndpointBook_Tests, Choose_NewEndpoint_GetsTheNextRequest)
{
    // [GIVEN] An endpoint that serves, and one that came two seconds ago
    this->list({ endpoint("a") });
    this->end("a", balance::Outcome::Answered);
    this->list({ endpoint("a"), endpoint("new") });
    this->now += seconds(2);

    // [THEN] It is tried once, and then taken like any other
    EXPECT_EQ(this->chooseMany(20)["new"], 20);
    this->end("new", balance::Outcome::Answered);
    this->end("a", balance::Outcome::Answered);
    EXPECT_LT(this->chooseMany(100)["new"], 80);
}

TEST_F(EndpointBook_Tests, Choose_RequestThatFailedOnce_IsNotSpentOnATrial)
{
    // [GIVEN] A suspect that is due for a trial by work that may be repeated
    this->list({ endpoint("a"), endpoint("b"), endpoint("suspect") });
    for (int i = 0; i < 4; ++i) {
        this->end("suspect", balance::Outcome::ServerError);
    }
    this->now += seconds(4);
    this->request.isRepeatable = true;
    EXPECT_GT(this->chooseMany(50)["suspect"], 0);

    // [THEN] A request that has failed at another endpoint goes to a sound one
    this->request.excluded = { core::EndpointName("a") };
    EXPECT_EQ(this->chooseMany(50)["suspect"], 0);
}

TEST_F(EndpointBook_Tests, Choose_OwnDomain_GoesFirstAmongEqualOnes)
{
    auto far = endpoint("b");
    far.endpoint.domain = core::DomainName("south");
    this->list({ endpoint("a"), far });
    EXPECT_EQ(this->chooseMany(50)["a"], 50);
}

} // namespace damaskgate::upstreams
