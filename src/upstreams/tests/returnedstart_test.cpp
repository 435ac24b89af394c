#include "damaskgate/upstreams/returnedstart.h"

#include <gtest/gtest.h>

#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::upstreams {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Kind = EndpointChange::Kind;

/** An endpoint `a` whose registration was removed, beside an endpoint `b` that stays. */
class ReturnedStart_Tests : public testing::Test
{
protected:
    ReturnedStart_Tests()
    {
        this->list({ this->leaver, this->other });
        this->advance(seconds(20));
        this->list({ this->other });
    }

    static RegisteredEndpoint endpoint(const char *name)
    {
        RegisteredEndpoint registration;
        registration.endpoint.name = core::EndpointName(name);
        registration.service = core::ServiceName("booking");
        registration.startedAtMillis = 1000;
        registration.sequence = 10;
        registration.revision = 100;
        registration.createdRevision = 100;
        return registration;
    }

    /** @return a report of `a` with @p sequence, which the source applies now. */
    RegisteredEndpoint report(std::int64_t sequence)
    {
        RegisteredEndpoint registration = this->leaver;
        registration.sequence = sequence;
        registration.revision = ++this->revision;
        registration.createdRevision = this->revision;
        return registration;
    }

    std::vector<EndpointChange> list(const std::vector<RegisteredEndpoint> &endpoints,
                                     bool isSourceStable = true)
    {
        return this->selector.setEndpoints(endpoints, isSourceStable, this->now);
    }

    void advance(core::Duration duration)
    {
        this->now += duration;
        this->selector.confirmReturns(this->now);
    }

    bool isUsed(const char *name)
    {
        return isUsedBy(this->selector, name, this->now);
    }

    static bool isUsedBy(EndpointSelector &selector, const char *name, core::Instant now)
    {
        const balance::WorkRequest request { core::ServiceName("booking"), {}, false, now, {} };
        constexpr int Choices = 100;
        for (int i = 0; i < Choices; ++i) {
            const auto choice = selector.choose(request, now);
            if (choice && choice->grant.endpoint.name.text() == name) {
                return true;
            }
        }
        return false;
    }

    static constexpr core::Duration LapseTime = milliseconds(5000);

    core::Instant now { std::chrono::hours(1) };
    EndpointSelector selector { SelectionPolicy {}, core::DomainName(), 3 };
    RegisteredEndpoint leaver = endpoint("a");
    RegisteredEndpoint other = endpoint("b");
    std::uint64_t revision = 200;
};

// Guards against requests to an endpoint that has left, after the source has applied a report from
// before that late.
TEST_F(ReturnedStart_Tests, SetEndpoints_LateReportAfterRemoval_EndpointGetsNothing)
{
    for (const std::int64_t sequence : { 9, 10, 17 }) {
        SCOPED_TRACE(sequence);

        // [WHEN] A report from before the removal appears, older or newer than the last one seen
        const auto changes = this->list({ this->report(sequence), this->other });

        // [THEN] The endpoint gets no requests until the source removes the report again
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_EQ(changes.front().kind, Kind::Returned);
        EXPECT_FALSE(this->isUsed("a"));
        this->advance(LapseTime - milliseconds(1));
        EXPECT_FALSE(this->isUsed("a"));
        this->list({ this->other });
        EXPECT_FALSE(this->isUsed("a"));
        EXPECT_TRUE(this->isUsed("b"));
    }
}

TEST_F(ReturnedStart_Tests, SetEndpoints_TwoLateReports_EndpointGetsNothing)
{
    // [WHEN] A second late report extends the time until the source removes the first one
    RegisteredEndpoint first = this->report(17);
    this->list({ first, this->other });
    this->advance(seconds(3));
    RegisteredEndpoint second = this->report(18);
    second.createdRevision = first.createdRevision;
    this->list({ second, this->other });

    // [THEN] The endpoint gets no requests all the while
    this->advance(LapseTime - milliseconds(1));
    EXPECT_FALSE(this->isUsed("a"));
}

TEST_F(ReturnedStart_Tests, SetEndpoints_LateReportOfAnEarlierStart_EndpointGetsNothing)
{
    RegisteredEndpoint former = this->report(30);
    former.startedAtMillis = 500;
    this->list({ former, this->other });
    EXPECT_FALSE(this->isUsed("a"));
}

TEST_F(ReturnedStart_Tests, ConfirmReturns_ReportOutlivesTheLapseTime_EndpointIsUsedAgain)
{
    // [GIVEN] An endpoint that was cut off from the source and registers again
    this->list({ this->report(17), this->other });

    // [WHEN] Its registration has not lapsed, since it is renewed without a visible change
    this->now += LapseTime;
    const auto changes = this->selector.confirmReturns(this->now);

    // [THEN] It is used again, and a later removal counts as a new one
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().kind, Kind::Confirmed);
    EXPECT_TRUE(this->isUsed("a"));
    EXPECT_TRUE(this->selector.recentDepartures(this->now).empty());
}

TEST_F(ReturnedStart_Tests, ConfirmReturns_VisibleRenewals_EndpointIsUsedAgain)
{
    // [GIVEN] An endpoint that has returned, whose reports are visible one by one
    RegisteredEndpoint renewed = this->report(17);
    const std::uint64_t createdRevision = renewed.createdRevision;
    this->list({ renewed, this->other });

    // [WHEN] It reports as often as it does in the lapse time
    for (std::int64_t sequence = 18; sequence <= 20; ++sequence) {
        EXPECT_FALSE(this->isUsed("a"));
        this->advance(milliseconds(1500));
        renewed = this->report(sequence);
        renewed.createdRevision = createdRevision;
        this->list({ renewed, this->other });
    }
    this->advance(milliseconds(1));

    // [THEN] It is used again
    EXPECT_TRUE(this->isUsed("a"));
}

TEST_F(ReturnedStart_Tests, SetEndpoints_NewStartAfterRemoval_IsUsedAtOnce)
{
    RegisteredEndpoint again = this->report(1);
    again.startedAtMillis = 9000;
    this->list({ again, this->other });
    EXPECT_TRUE(this->isUsed("a"));
}

TEST_F(ReturnedStart_Tests, SetEndpoints_NewStartWhileReturnIsUnconfirmed_IsUsedAtOnce)
{
    this->list({ this->report(17), this->other });
    RegisteredEndpoint again = this->report(1);
    again.startedAtMillis = 9000;
    this->list({ again, this->other });
    EXPECT_TRUE(this->isUsed("a"));
}

TEST_F(ReturnedStart_Tests, SetEndpoints_LongAfterRemoval_IsUsedAtOnce)
{
    this->advance(DepartureTable::Memory + milliseconds(1));
    this->list({ this->report(17), this->other });
    EXPECT_TRUE(this->isUsed("a"));
}

// Guards against a removal that this host does not see, because a late report has followed it
// before the next list.
TEST_F(ReturnedStart_Tests, SetEndpoints_RemovedAndCreatedBetweenTwoLists_EndpointGetsNothing)
{
    for (const std::int64_t sequence : { 9, 17 }) {
        SCOPED_TRACE(sequence);

        // [GIVEN] A host that holds both registrations
        EndpointSelector late { SelectionPolicy {}, core::DomainName(), 3 };
        late.setEndpoints(std::vector { this->leaver, this->other }, true, this->now);

        // [WHEN] The next list has a registration that was created after the one that it holds
        late.setEndpoints(std::vector { this->report(sequence), this->other }, true, this->now);

        // [THEN] The endpoint gets no requests
        EXPECT_FALSE(isUsedBy(late, "a", this->now));
    }
}

// Guards against holding back endpoints whose registrations lapsed with the source itself.
TEST_F(ReturnedStart_Tests, SetEndpoints_LapsedWhileSourceUnstable_IsUsedOnReturn)
{
    // [GIVEN] A host that keeps an endpoint whose registration is missing, since the source was
    // away
    EndpointSelector keeping { SelectionPolicy {}, core::DomainName(), 3 };
    keeping.setEndpoints(std::vector { this->leaver, this->other }, true, this->now);
    keeping.setEndpoints(std::vector { this->other }, false, this->now);

    // [WHEN] The endpoint registers again
    keeping.setEndpoints(std::vector { this->report(17), this->other }, false, this->now);

    // [THEN] It is used
    EXPECT_TRUE(isUsedBy(keeping, "a", this->now));
}

TEST_F(ReturnedStart_Tests, OnDeparture_BeforeOrAfterTheLateReport_EndpointGetsNothing)
{
    for (const bool isToldFirst : { true, false }) {
        SCOPED_TRACE(isToldFirst);

        // [GIVEN] A host that has started after the removal
        EndpointSelector started { SelectionPolicy {}, core::DomainName(), 3 };
        const auto tell = [this, &started] {
            for (const Departure &departure : this->selector.recentDepartures(this->now)) {
                started.onDeparture(departure, this->now);
            }
        };

        // [WHEN] Another host tells it of the removal, before or after it reads the late report
        if (isToldFirst) {
            tell();
        }
        started.setEndpoints(std::vector { this->report(17), this->other }, true, this->now);
        if (!isToldFirst) {
            tell();
        }

        // [THEN] The endpoint gets no requests
        EXPECT_FALSE(isUsedBy(started, "a", this->now));
        EXPECT_TRUE(isUsedBy(started, "b", this->now));
    }
}

// Guards against a host that has just started and reads a late report of an earlier start before it
// is told of the departure.
TEST_F(ReturnedStart_Tests, OnDeparture_AfterTheLateReportOfAnEarlierStart_EndpointGetsNothing)
{
    // [GIVEN] A host that has started and holds a late report of an earlier start
    EndpointSelector started { SelectionPolicy {}, core::DomainName(), 3 };
    RegisteredEndpoint former = this->report(30);
    former.startedAtMillis = 500;
    started.setEndpoints(std::vector { former, this->other }, true, this->now);

    // [WHEN] Another host tells it of the departure of the later start
    for (const Departure &departure : this->selector.recentDepartures(this->now)) {
        started.onDeparture(departure, this->now);
    }

    // [THEN] The endpoint gets no requests
    EXPECT_FALSE(isUsedBy(started, "a", this->now));
}

// Guards against holding back an endpoint that has started again since the departure.
TEST_F(ReturnedStart_Tests, OnDeparture_OfAnEarlierStart_NewStartIsUsed)
{
    // [GIVEN] A host that has started and holds a later start than the departed one
    EndpointSelector started { SelectionPolicy {}, core::DomainName(), 3 };
    RegisteredEndpoint again = this->report(1);
    again.startedAtMillis = 1001;
    started.setEndpoints(std::vector { again, this->other }, true, this->now);

    // [WHEN] Another host tells it of the departure of the earlier start
    for (const Departure &departure : this->selector.recentDepartures(this->now)) {
        started.onDeparture(departure, this->now);
    }

    // [THEN] The endpoint is used
    EXPECT_TRUE(isUsedBy(started, "a", this->now));
}

// Guards against an endpoint that stays unused since several hosts tell of the same departure.
TEST_F(ReturnedStart_Tests, OnDeparture_ToldAgain_DoesNotExtendTheConfirmation)
{
    for (const std::int64_t startedAtMillis : { 500, 1000 }) {
        SCOPED_TRACE(startedAtMillis);

        // [GIVEN] A host that has started and is told of a departure after it reads a report
        EndpointSelector started { SelectionPolicy {}, core::DomainName(), 3 };
        RegisteredEndpoint returned = this->report(17);
        returned.startedAtMillis = startedAtMillis;
        started.setEndpoints(std::vector { returned, this->other }, true, this->now);
        const Departure departure = this->selector.recentDepartures(this->now).front();
        started.onDeparture(departure, this->now);

        // [WHEN] It is told again before the lapse time is over, and once more after that
        started.onDeparture(departure, this->now + LapseTime - milliseconds(1));
        EXPECT_FALSE(isUsedBy(started, "a", this->now + LapseTime - milliseconds(1)));
        started.confirmReturns(this->now + LapseTime);
        started.onDeparture(departure, this->now + LapseTime);

        // [THEN] The endpoint, whose registration has not lapsed, is used
        EXPECT_TRUE(isUsedBy(started, "a", this->now + LapseTime));
    }
}

// Guards against a departure that is forgotten once a late report of an earlier start has lapsed.
TEST_F(ReturnedStart_Tests, SetEndpoints_LateReportsOfTwoStarts_EndpointGetsNothing)
{
    // [GIVEN] A late report of an earlier start, which has lapsed
    RegisteredEndpoint former = this->report(30);
    former.startedAtMillis = 500;
    this->list({ former, this->other });
    this->list({ this->other });

    // [WHEN] A late report of the removed start follows
    this->list({ this->report(17), this->other });

    // [THEN] The endpoint gets no requests
    EXPECT_FALSE(this->isUsed("a"));
}

} // namespace damaskgate::upstreams
