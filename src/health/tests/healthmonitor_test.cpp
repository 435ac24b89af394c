#include "damaskgate/health/healthmonitor.h"

#include <map>
#include <memory>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::health;
using namespace std::chrono_literals;

namespace {

const core::ServiceName Booking("booking");
const core::HostName EntryHost("entry");
const core::HostName OwnerHost("owner");

/** Counts the datagrams sent. */
class CountingNetwork final : public peer::IPeerNetwork
{
public:
    void send(const core::HostName & /*to*/, peer::MessageKind /*kind*/,
              std::span<const std::byte> /*payload*/) override
    {
        ++this->sent;
    }

    void setHandler(peer::MessageKind /*kind*/, Handler /*handler*/) override {}

    int sent = 0;
};

class OtherOwner final : public balance::IServiceOwners
{
public:
    std::optional<balance::Ownership> ownership(const core::ServiceName & /*service*/,
                                                core::Instant /*now*/) const override
    {
        return std::nullopt;
    }

    std::vector<core::HostName> reportTargets(const core::ServiceName & /*service*/) const override
    {
        return { OwnerHost };
    }
};

/** An entry host whose service is owned by another host. */
class HealthMonitor_Tests : public testing::Test
{
protected:
    HealthMonitor_Tests()
    {
        auto tree = std::make_shared<settings::Settings>();
        settings::Service &service = tree->services[Booking];
        service.name = Booking;
        service.endpoints[this->endpoint.name] = this->endpoint;
        this->balancer.applySettings(tree);
        this->monitor.applySettings(tree);
    }

    void tickFor(core::Duration length, bool isBusy)
    {
        for (core::Duration passed {}; passed < length; passed += ReportInterval) {
            this->clock.advance(ReportInterval);
            if (isBusy) {
                this->collector.onStarted({ ++this->grants, Booking, this->endpoint }, true,
                                          this->clock.now());
                this->collector.onEnded(this->grants, {}, this->clock.now());
            }
            this->monitor.tick();
        }
    }

    static balance::Executors sameThread()
    {
        const auto run = [](const std::function<void()> &work) {
            work();
        };
        return { run, run };
    }

    settings::Endpoint endpoint { core::EndpointName("booking-1"), {}, {}, 0, true };
    core::ManualClock clock;
    CountingNetwork network;
    OtherOwner owners;
    core::NullEventSink events;
    balance::Balancer balancer { this->clock, 1 };
    EvidenceCollector collector;
    HealthMonitor monitor { EntryHost,      1,
                            this->clock,    this->network,
                            this->owners,   this->events,
                            this->balancer, this->collector,
                            sameThread() };
    std::uint64_t grants = 0;
};

} // namespace

TEST_F(HealthMonitor_Tests, Tick_NoExchanges_ReportsAtTheIdleInterval)
{
    // [WHEN] There are no exchanges for 10 s
    this->tickFor(10s, false);

    // [THEN] One report a second renews the list of ejections before it expires
    EXPECT_EQ(this->network.sent, 10);
}

TEST_F(HealthMonitor_Tests, Tick_Exchanges_ReportsAtEveryInterval)
{
    // [WHEN] An exchange ends in every report interval for 10 s
    this->tickFor(10s, true);

    // [THEN] A report is sent in every interval
    EXPECT_EQ(this->network.sent, 40);
}
