#include "damaskgate/limits/limiterservice.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::limits;
using namespace std::chrono_literals;

namespace {

const core::WorkspaceName Workspace("bookings");

using Tasks = std::deque<std::function<void()>>;

/** Queues datagrams as tasks, which deliver them in order. */
class QueuedNetwork final : public peer::IPeerNetwork
{
public:
    QueuedNetwork(core::HostName self, Tasks &tasks, std::map<core::HostName, QueuedNetwork *> &all)
        : self(std::move(self)), tasks(tasks), all(all)
    {
        this->all[this->self] = this;
    }

    void send(const core::HostName &to, peer::MessageKind kind,
              std::span<const std::byte> payload) override
    {
        const peer::Datagram datagram { this->self, 1, kind, { payload.begin(), payload.end() } };
        this->tasks.emplace_back(
            [this, to, datagram] { this->all.at(to)->handlers.at(datagram.kind)(datagram); });
    }

    void setHandler(peer::MessageKind kind, Handler handler) override
    {
        this->handlers[kind] = std::move(handler);
    }

private:
    core::HostName self;
    Tasks &tasks;
    std::map<core::HostName, QueuedNetwork *> &all;
    std::map<peer::MessageKind, Handler> handlers;
};

struct Host
{
    Host(const core::HostName &name, core::IClock &clock, core::IEventSink &events, Tasks &tasks,
         std::map<core::HostName, QueuedNetwork *> &all)
        : network(name, tasks, all), leases({ name, 1 }, clock, network, events, 7),
          limiter({ name, 1 }, leases, clock, network, events,
                  [&tasks](std::function<void()> task) { tasks.push_back(std::move(task)); })
    {}

    QueuedNetwork network;
    lease::LeaseService leases;
    LimiterService limiter;
};

class LimiterServiceTests : public testing::Test
{
protected:
    LimiterServiceTests()
    {
        auto settings = std::make_shared<settings::Settings>();
        settings->workspaces[Workspace] = { Workspace, 10, 5, 1, {} };
        for (const char *text : { "ves-01", "bre-02", "gra-03" }) {
            const core::HostName name(text);
            this->names.push_back(name);
            settings->hosts[name] = { name, core::DomainName(text), "127.0.0.1", 0, 0, 0, true };
            this->hosts.push_back(
                std::make_unique<Host>(name, this->clock, this->events, this->tasks, this->all));
        }
        for (const auto &host : this->hosts) {
            host->leases.applySettings(*settings);
            host->leases.setLiveHosts(this->names);
            host->limiter.applySettings(settings);
        }
        this->run(6s);
    }

    void run(core::Duration time)
    {
        for (core::Duration passed {}; passed < time; passed += 5ms) {
            this->clock.advance(5ms);
            for (const auto &host : this->hosts) {
                host->leases.tick();
                host->limiter.tick();
            }
            while (!this->tasks.empty()) {
                const auto task = std::move(this->tasks.front());
                this->tasks.pop_front();
                task();
            }
        }
    }

    void admitAt(std::size_t host)
    {
        this->hosts[host]->limiter.admit(Workspace, this->clock.now() + 1s,
                                         [this](const core::Result<void> &result) {
                                             this->results.push_back(result.has_value());
                                         });
    }

    core::ManualClock clock;
    core::NullEventSink events;
    Tasks tasks;
    std::map<core::HostName, QueuedNetwork *> all;
    std::vector<core::HostName> names;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<bool> results;
};

} // namespace

TEST_F(LimiterServiceTests, Admit_AtEveryHost_SharesOneBurst)
{
    // [WHEN] Three requests arrive at each of three hosts at once
    for (std::size_t index = 0; index < 9; ++index) {
        this->admitAt(index % 3);
    }
    this->run(1ms);

    // [THEN] The burst of five is admitted over all hosts
    this->run(500ms);
    EXPECT_EQ(this->results.size(), 9U);
    const auto admitted = std::ranges::count(this->results, true);
    EXPECT_GE(admitted, 5);
    EXPECT_LE(admitted, 6); // one request may have waited for the next token
}

TEST_F(LimiterServiceTests, Leave_Holder_SuccessorHasItsTokens)
{
    // [GIVEN] The holder of the bucket, which contains five tokens
    const lease::PartitionId partition = partitionOf(Workspace);
    const auto isHolder = [&](const auto &host) {
        return host->leases.holds(partition, this->clock.now());
    };
    const auto holder = std::ranges::find_if(this->hosts, isHolder);
    ASSERT_NE(holder, this->hosts.end());
    this->admitAt(static_cast<std::size_t>(holder - this->hosts.begin()));

    // [WHEN] The holder leaves the fleet
    (*holder)->leases.leave();
    this->run(200ms);

    // [THEN] Another host holds the lease and has the remaining four tokens
    const auto successor = std::ranges::find_if(this->hosts, isHolder);
    ASSERT_NE(successor, this->hosts.end());
    EXPECT_NE(successor, holder);
    this->results.clear();
    for (int count = 0; count < 4; ++count) {
        this->admitAt(static_cast<std::size_t>(successor - this->hosts.begin()));
    }
    EXPECT_EQ(this->results, std::vector<bool>(4, true));
}
