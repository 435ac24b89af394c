#include "damaskgate/supervise/supervisor.h"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::supervise;
using namespace std::chrono_literals;

namespace {

/** Runs each task when the virtual time reaches its due time. */
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

using CallLog = std::vector<std::string>;

/** Records the calls it receives. */
class FakeComponent final : public IComponent
{
public:
    FakeComponent(std::string name, CallLog &calls) : name(std::move(name)), calls(calls) {}

    core::Result<void> start(ExitHandler onExit) override
    {
        this->calls.push_back("start " + this->name);
        if (this->failingStarts > 0) {
            --this->failingStarts;
            return core::notRun(core::Reason::Internal, "no start");
        }
        this->onExit = std::move(onExit);
        return {};
    }

    void stop(StopHandler done) override
    {
        this->calls.push_back("stop " + this->name);
        if (this->stopsImmediately) {
            done();
        }
    }

    void halt() override
    {
        this->calls.push_back("halt " + this->name);
    }

    std::string name;
    CallLog &calls;
    ExitHandler onExit;
    int failingStarts = 0;
    bool stopsImmediately = true;
};

class Supervisor_Tests : public ::testing::Test
{
protected:
    std::unique_ptr<Supervisor> makeSupervisor(Strategy strategy)
    {
        const RestartLimits limits { 2, 10s, 100ms, 1s };
        auto supervisor =
            std::make_unique<Supervisor>(SupervisorOptions { "root", strategy, limits },
                                         this->scheduler, this->scheduler.clock, this->events);
        for (const char *name : { "a", "b", "c" }) {
            auto component = std::make_unique<FakeComponent>(name, this->calls);
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
        this->calls.clear();
    }

    void fail(const std::string &name)
    {
        this->components[name]->onExit(ExitKind::Failure, "broken");
    }

    VirtualScheduler scheduler;
    core::NullEventSink events;
    CallLog calls;
    std::map<std::string, FakeComponent *> components;
    int exits = 0;
};

} // namespace

TEST_F(Supervisor_Tests, OneForOne_ChildFails_OnlyThisChildIsRestarted)
{
    // [GIVEN] Three running children
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);

    // [WHEN] The first child fails
    this->fail("a");
    this->scheduler.advance(99ms);

    // [THEN] It is restarted after the delay of 100 ms, not earlier
    EXPECT_EQ(this->calls, CallLog {});
    this->scheduler.advance(1ms);
    EXPECT_EQ(this->calls, CallLog({ "start a" }));
    EXPECT_EQ(supervisor->status().front().restarts, 1U);
}

TEST_F(Supervisor_Tests, RestForOne_ChildFails_LaterChildrenAreHaltedAndRestarted)
{
    // [GIVEN] Three running children
    const auto supervisor = this->makeSupervisor(Strategy::RestForOne);
    this->startAll(*supervisor);

    // [WHEN] The second child fails
    this->fail("b");
    this->scheduler.advance(100ms);

    // [THEN] The third child is halted immediately, and both are restarted in order
    EXPECT_EQ(this->calls, CallLog({ "halt c", "start b", "start c" }));
}

TEST_F(Supervisor_Tests, RestForOne_EarlierChildFailsDuringBackoffOfALaterOne_EachStartsOnce)
{
    // [GIVEN] A failed child whose restart delay has not ended
    const auto supervisor = this->makeSupervisor(Strategy::RestForOne);
    this->startAll(*supervisor);
    this->fail("b");
    this->scheduler.advance(50ms);

    // [WHEN] A child that was started earlier fails
    this->fail("a");
    this->scheduler.advance(5s);

    // [THEN] The restart of the earlier child restarts the later ones too
    EXPECT_EQ(this->calls, CallLog({ "halt c", "start a", "start b", "start c" }));
}

TEST_F(Supervisor_Tests, Failures_MoreThanMaxRestarts_StopAllAndReportToTheParent)
{
    // [GIVEN] A supervisor that allows two restarts
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);

    // [WHEN] A child fails three times
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(this->exits, 0);
        this->fail("b");
        this->scheduler.advance(1s);
    }

    // [THEN] The others are halted in reverse order, and the exit is reported once
    EXPECT_EQ(this->exits, 1);
    EXPECT_EQ(this->calls, CallLog({ "start b", "start b", "halt c", "halt a" }));
}

TEST_F(Supervisor_Tests, RestartFails_CountsAsAFailure)
{
    // [GIVEN] A child whose next two starts fail
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->components["b"]->failingStarts = 2;

    // [WHEN] It fails
    this->fail("b");
    this->scheduler.advance(5s);

    // [THEN] Both failed starts count as failures, and the supervisor escalates
    EXPECT_EQ(this->exits, 1);
}

TEST_F(Supervisor_Tests, Exit_OfAnEarlierRun_IsIgnored)
{
    // [GIVEN] A child that has been restarted
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);
    const IComponent::ExitHandler earlierOnExit = this->components["a"]->onExit;
    this->fail("a");
    this->scheduler.advance(1s);
    this->calls.clear();

    // [WHEN] The exit handler of its earlier run is called
    earlierOnExit(ExitKind::Failure, "late");
    this->scheduler.advance(1s);

    // [THEN] The child is not restarted again
    EXPECT_EQ(this->calls, CallLog {});
}

TEST_F(Supervisor_Tests, Stop_RunningChildren_StopsInReverseOrder)
{
    // [GIVEN] Three running children
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);

    // [WHEN] The supervisor is stopped
    int stopped = 0;
    supervisor->stop([&stopped] { ++stopped; });

    // [THEN] The last started child stops first, and completion is reported once
    EXPECT_EQ(this->calls, CallLog({ "stop c", "stop b", "stop a" }));
    this->scheduler.advance(10s);
    EXPECT_EQ(stopped, 1);
    EXPECT_EQ(this->calls.size(), 3U);
}

TEST_F(Supervisor_Tests, Stop_ChildHangs_IsHaltedAfterItsTimeout)
{
    // [GIVEN] A child that does not complete its stop
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->components["b"]->stopsImmediately = false;

    // [WHEN] The supervisor is stopped and the timeout passes
    int stopped = 0;
    supervisor->stop([&stopped] { ++stopped; });
    EXPECT_EQ(stopped, 0);
    this->scheduler.advance(5s);

    // [THEN] The child is halted, and the next child is stopped
    EXPECT_EQ(this->calls, CallLog({ "stop c", "stop b", "halt b", "stop a" }));
    EXPECT_EQ(stopped, 1);
}

TEST_F(Supervisor_Tests, Halt_DuringStop_HaltsTheRestAndEndsTheStop)
{
    // [GIVEN] A supervisor that waits for a child to stop
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->components["b"]->stopsImmediately = false;
    int stopped = 0;
    supervisor->stop([&stopped] { ++stopped; });

    // [WHEN] The supervisor is halted
    supervisor->halt();
    this->scheduler.advance(10s);

    // [THEN] The remaining children are halted, and completion of the stop is reported once
    EXPECT_EQ(this->calls, CallLog({ "stop c", "stop b", "halt b", "halt a" }));
    EXPECT_EQ(stopped, 1);
}

TEST_F(Supervisor_Tests, Stop_WhileARestartIsPending_DoesNotRestart)
{
    // [GIVEN] A failed child whose restart delay has not ended
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->startAll(*supervisor);
    this->fail("a");
    this->scheduler.advance(10ms);

    // [WHEN] The supervisor is stopped
    supervisor->stop([] {});
    this->scheduler.advance(10s);

    // [THEN] The child is not started again
    EXPECT_EQ(this->calls, CallLog({ "stop c", "stop b" }));
}

TEST_F(Supervisor_Tests, Start_AChildFails_HaltsThoseAlreadyStarted)
{
    // [GIVEN] A child that cannot start
    const auto supervisor = this->makeSupervisor(Strategy::OneForOne);
    this->components["b"]->failingStarts = 1;

    // [WHEN] The supervisor is started
    const auto result = supervisor->start([](ExitKind, const std::string &) {});

    // [THEN] The start fails, and the child that was already running is halted
    EXPECT_FALSE(result);
    EXPECT_EQ(this->calls, CallLog({ "start a", "start b", "halt a" }));
}

TEST_F(Supervisor_Tests, NestedSupervisor_Escalates_IsRestartedByItsParent)
{
    // [GIVEN] A supervisor that is a child of another one
    Supervisor root({ "root", Strategy::OneForOne, { 1, 10s, 100ms, 1s } }, this->scheduler,
                    this->scheduler.clock, this->events);
    root.addChild("group", this->makeSupervisor(Strategy::OneForOne));
    this->startAll(root);

    // [WHEN] A child of the nested supervisor fails more often than allowed
    for (int i = 0; i < 3; ++i) {
        this->fail("c");
        this->scheduler.advance(1s);
    }

    // [THEN] The root restarts the nested supervisor with all children, and does not escalate
    EXPECT_EQ(
        this->calls,
        CallLog({ "start c", "start c", "halt b", "halt a", "start a", "start b", "start c" }));
    EXPECT_EQ(this->exits, 0);
}
