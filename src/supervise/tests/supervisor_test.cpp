#include "damaskgate/supervise/supervisor.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::supervise;
using namespace std::chrono_literals;

namespace {

/** Runs tasks when the virtual time reaches them. */
class VirtualScheduler final : public IScheduler
{
public:
    void runAfter(core::Duration delay, Task task) override
    {
        this->tasks.emplace(this->clock.now() + delay, std::move(task));
    }

    void advance(core::Duration step)
    {
        const core::Instant end = this->clock.now() + step;
        while (!this->tasks.empty() && this->tasks.begin()->first <= end) {
            auto node = this->tasks.extract(this->tasks.begin());
            this->clock.advance(std::max(core::Duration(0), node.key() - this->clock.now()));
            node.mapped()();
        }
        this->clock.advance(end - this->clock.now());
    }

    core::ManualClock clock;

private:
    std::multimap<core::Instant, Task> tasks;
};

using Journal = std::vector<std::string>;

/** Writes what is asked of it into a journal. */
class FakeComponent final : public IComponent
{
public:
    FakeComponent(std::string name, Journal &journal) : name(std::move(name)), journal(journal) {}

    core::Result<void> start(ExitHandler onExit) override
    {
        this->journal.push_back("start " + this->name);
        if (this->failingStarts > 0) {
            --this->failingStarts;
            return core::notRun(core::Reason::Internal, "no start");
        }
        this->onExit = std::move(onExit);
        return {};
    }

    void stop(StopHandler done) override
    {
        this->journal.push_back("stop " + this->name);
        if (this->stopsAtOnce) {
            done();
        }
    }

    void halt() override
    {
        this->journal.push_back("halt " + this->name);
    }

    std::string name;
    Journal &journal;
    ExitHandler onExit;
    int failingStarts = 0;
    bool stopsAtOnce = true;
};

class Supervisor_Tests : public ::testing::Test
{
protected:
    std::unique_ptr<Supervisor> makeTree(Strategy strategy)
    {
        const RestartLimits limits { 2, 10s, 100ms, 1s };
        auto supervisor =
            std::make_unique<Supervisor>(SupervisorOptions { "root", strategy, limits },
                                         this->scheduler, this->scheduler.clock, this->events);
        for (const char *name : { "a", "b", "c" }) {
            auto component = std::make_unique<FakeComponent>(name, this->journal);
            this->components[name] = component.get();
            supervisor->addChild(name, std::move(component));
        }
        return supervisor;
    }

    void startAll(Supervisor &supervisor)
    {
        const auto onExit = [this](ExitKind, const std::string &) {
            ++this->exits;
        };
        ASSERT_TRUE(supervisor.start(onExit));
        this->journal.clear();
    }

    void fail(const std::string &name)
    {
        this->components[name]->onExit(ExitKind::Failure, "broken");
    }

    VirtualScheduler scheduler;
    core::NullEventSink events;
    Journal journal;
    std::map<std::string, FakeComponent *> components;
    int exits = 0;
};

} // namespace

TEST_F(Supervisor_Tests, OneForOne_ChildFails_OnlyThisChildIsRestarted)
{
    // [GIVEN] Three running children
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);

    // [WHEN] The first one fails
    this->fail("a");
    this->scheduler.advance(99ms);

    // [THEN] It is restarted after the delay and not before
    EXPECT_EQ(this->journal, Journal {});
    this->scheduler.advance(1ms);
    EXPECT_EQ(this->journal, Journal({ "start a" }));
    EXPECT_EQ(supervisor->status().front().restarts, 1U);
}

TEST_F(Supervisor_Tests, RestForOne_ChildFails_LaterChildrenAreHaltedAndRestarted)
{
    // [GIVEN] Three running children
    const auto supervisor = this->makeTree(Strategy::RestForOne);
    this->startAll(*supervisor);

    // [WHEN] The second one fails
    this->fail("b");
    this->scheduler.advance(100ms);

    // [THEN] The third is halted at once, and both are restarted in order
    EXPECT_EQ(this->journal, Journal({ "halt c", "start b", "start c" }));
}

TEST_F(Supervisor_Tests, RestForOne_EarlierChildFailsWhileALaterOneWaits_EachStartsOnce)
{
    // [GIVEN] A child that waits for its restart
    const auto supervisor = this->makeTree(Strategy::RestForOne);
    this->startAll(*supervisor);
    this->fail("b");
    this->scheduler.advance(50ms);

    // [WHEN] One before it fails
    this->fail("a");
    this->scheduler.advance(5s);

    // [THEN] The restart of the earlier one covers both
    EXPECT_EQ(this->journal, Journal({ "halt c", "start a", "start b", "start c" }));
}

TEST_F(Supervisor_Tests, Failures_MoreThanTheIntensity_StopAllAndReportToTheParent)
{
    // [GIVEN] A supervisor that allows two restarts
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);

    // [WHEN] A child fails three times
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(this->exits, 0);
        this->fail("b");
        this->scheduler.advance(1s);
    }

    // [THEN] The others are halted, the last first, and the parent is told once
    EXPECT_EQ(this->exits, 1);
    EXPECT_EQ(this->journal, Journal({ "start b", "start b", "halt c", "halt a" }));
}

TEST_F(Supervisor_Tests, RestartFails_CountsAsAFailure)
{
    // [GIVEN] A child whose next two starts fail
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->components["b"]->failingStarts = 2;

    // [WHEN] It fails
    this->fail("b");
    this->scheduler.advance(5s);

    // [THEN] Both failed starts count, and the supervisor gives up
    EXPECT_EQ(this->exits, 1);
}

TEST_F(Supervisor_Tests, Exit_OfAnEarlierRun_IsIgnored)
{
    // [GIVEN] A child that has been restarted
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);
    const IComponent::ExitHandler earlier = this->components["a"]->onExit;
    this->fail("a");
    this->scheduler.advance(1s);
    this->journal.clear();

    // [WHEN] Its earlier run reports a failure late
    earlier(ExitKind::Failure, "late");
    this->scheduler.advance(1s);

    // [THEN] Nothing happens
    EXPECT_EQ(this->journal, Journal {});
}

TEST_F(Supervisor_Tests, Stop_RunningChildren_StopsInReverseOrder)
{
    // [GIVEN] Three running children
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);

    // [WHEN] The supervisor is stopped
    int stopped = 0;
    supervisor->stop([&stopped] { ++stopped; });

    // [THEN] The last started stops first, and the end is told once
    EXPECT_EQ(this->journal, Journal({ "stop c", "stop b", "stop a" }));
    this->scheduler.advance(10s);
    EXPECT_EQ(stopped, 1);
    EXPECT_EQ(this->journal.size(), 3U);
}

TEST_F(Supervisor_Tests, Stop_ChildHangs_IsHaltedAfterItsTimeout)
{
    // [GIVEN] A child that does not finish its stop
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->components["b"]->stopsAtOnce = false;

    // [WHEN] The supervisor is stopped and the timeout passes
    int stopped = 0;
    supervisor->stop([&stopped] { ++stopped; });
    EXPECT_EQ(stopped, 0);
    this->scheduler.advance(5s);

    // [THEN] The child is halted and the stop goes on
    EXPECT_EQ(this->journal, Journal({ "stop c", "stop b", "halt b", "stop a" }));
    EXPECT_EQ(stopped, 1);
}

TEST_F(Supervisor_Tests, Halt_DuringStop_HaltsTheRestAndEndsTheStop)
{
    // [GIVEN] A stop that waits for a child
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->components["b"]->stopsAtOnce = false;
    int stopped = 0;
    supervisor->stop([&stopped] { ++stopped; });

    // [WHEN] The supervisor is halted
    supervisor->halt();
    this->scheduler.advance(10s);

    // [THEN] The rest is halted and the stop has ended once
    EXPECT_EQ(this->journal, Journal({ "stop c", "stop b", "halt b", "halt a" }));
    EXPECT_EQ(stopped, 1);
}

TEST_F(Supervisor_Tests, Stop_WhileARestartIsPending_DoesNotRestart)
{
    // [GIVEN] A child that waits for its restart
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->fail("a");
    this->scheduler.advance(10ms);

    // [WHEN] The supervisor is stopped
    supervisor->stop([] {});
    this->scheduler.advance(10s);

    // [THEN] The child is not started again
    EXPECT_EQ(this->journal, Journal({ "stop c", "stop b" }));
}

TEST_F(Supervisor_Tests, Start_AChildFails_HaltsThoseAlreadyStarted)
{
    // [GIVEN] A child that cannot start
    const auto supervisor = this->makeTree(Strategy::OneForOne);
    this->components["b"]->failingStarts = 1;

    // [WHEN] The supervisor is started
    const auto result = supervisor->start([](ExitKind, const std::string &) {});

    // [THEN] It fails with all children at rest
    EXPECT_FALSE(result);
    EXPECT_EQ(this->journal, Journal({ "start a", "start b", "halt a" }));
}

TEST_F(Supervisor_Tests, NestedSupervisor_GivesUp_IsRestartedByItsParent)
{
    // [GIVEN] A supervisor below another one
    Supervisor root({ "root", Strategy::OneForOne, { 1, 10s, 100ms, 1s } }, this->scheduler,
                    this->scheduler.clock, this->events);
    root.addChild("group", this->makeTree(Strategy::OneForOne));
    this->startAll(root);

    // [WHEN] A child of the lower one fails too often
    for (int i = 0; i < 3; ++i) {
        this->fail("c");
        this->scheduler.advance(1s);
    }

    // [THEN] The whole group runs again, and the root has not given up
    EXPECT_EQ(
        this->journal,
        Journal({ "start c", "start c", "halt b", "halt a", "start a", "start b", "start c" }));
    EXPECT_EQ(this->exits, 0);
}
