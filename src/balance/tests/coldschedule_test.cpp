#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/balance/coldslotallocator.h"

#include "coldslotquotas.h"

using namespace damaskgate;
using namespace damaskgate::balance;
using namespace std::chrono_literals;

namespace {

const core::ServiceName Kasa("kasa");
const core::EndpointName Endpoint("kasa-1");

constexpr std::size_t HostCount = 6;
constexpr std::uint32_t Slots = 6;
constexpr auto ExchangeLimit = 1000ms;
constexpr auto Ramp = 5s;
constexpr int ScheduleCount = 200;
constexpr auto StepTime = 10ms;
constexpr int StepsPerSchedule = 3000;

enum class Guard {
    None,
    ReplyAge,
    NewOwnerWait,
    ReportedInFlight,
    Acknowledgement,
};

struct GuardCase
{
    const char *name;
    Guard removed;
};

/**
 * Simulation of entry hosts that use all their quota of one endpoint, with changing owners and a
 * network that loses, delays, repeats and reorders messages. One guard can be removed.
 */
class ColdSchedule
{
public:
    ColdSchedule(std::uint64_t seed, Guard removed)
        : random(seed), removed(removed), hosts(HostCount)
    {
        this->service.name = Kasa;
        this->service.slots = Slots;
        this->service.rampTime = Ramp;
        this->service.endpoints[Endpoint].name = Endpoint;
        settings::Route &route = this->settings.routes[core::RouteName("pay")];
        route.service = Kasa;
        route.timeout = ExchangeLimit;
        for (std::size_t i = 0; i < HostCount; ++i) {
            this->settings.hosts[hostName(i)].name = hostName(i);
            this->start(this->hosts[i]);
        }
        this->changeOwner();
    }

    /** @return whether the requests in flight of all hosts stayed within the limit. */
    bool run()
    {
        for (int i = 0; i < StepsPerSchedule; ++i) {
            this->step();
            if (this->isLimitExceeded) {
                return false;
            }
        }
        return true;
    }

    int dispatched() const
    {
        return this->dispatchCount;
    }

private:
    struct Host
    {
        ColdSlotQuotas quotas { 0 };
        std::uint64_t incarnation = 0;
        std::uint64_t latestSequence = 0;
        core::Instant frozenUntil;
        std::vector<core::Instant> running; //!< end times of the exchanges in flight
    };

    struct Message
    {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        core::Instant arrival;
        std::optional<SlotRequest> request;
        SlotReply reply;
    };

    static core::HostName hostName(std::size_t index)
    {
        return core::HostName("host-" + std::to_string(index));
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    std::chrono::milliseconds below(std::chrono::milliseconds limit)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(0, limit.count() - 1)(this->random));
    }

    void start(Host &host)
    {
        host = Host {};
        host.incarnation = ++this->lastIncarnation;
        host.quotas = ColdSlotQuotas(this->random() / 2);
        host.quotas.applySettings(Ramp, { Endpoint });
    }

    void changeOwner()
    {
        const auto since = this->removed == Guard::NewOwnerWait ? this->now - 1h : this->now;
        this->recordPreviousLimit();
        this->allocator.emplace(++this->leaseId, since);
        this->allocator->applySettings(this->settings, this->service, since);
    }

    /** Records the limit before it is lowered; its grants stay in force for GrantTime. */
    void recordPreviousLimit()
    {
        const std::uint32_t limit = this->allocator ? this->allocator->limit(Endpoint) : 0;
        this->previousLimit =
            this->now <= this->previousLimitEnd ? std::max(this->previousLimit, limit) : limit;
        this->previousLimitEnd = this->now + GrantTime + GrantDriftMargin;
    }

    std::uint32_t limit() const
    {
        const std::uint32_t current = this->allocator->limit(Endpoint);
        return this->now <= this->previousLimitEnd ? std::max(current, this->previousLimit)
                                                   : current;
    }

    void send(Message message)
    {
        while (!this->happens(0.15)) {
            message.arrival = this->now + this->below(this->happens(0.1) ? 2000ms : 30ms);
            this->messages.push_back(message);
            if (this->happens(0.9)) {
                return;
            }
        }
    }

    void step()
    {
        this->now += StepTime;
        if (this->happens(0.0015)) {
            this->changeOwner();
        }
        const bool isWarm = this->allocator->warmupState(Endpoint) == WarmupState::Warm;
        if (isWarm || this->happens(0.0005)) {
            this->recordPreviousLimit();
            this->allocator->onReadmitted(Endpoint, this->now);
        }
        for (std::size_t i = 0; i < HostCount; ++i) {
            this->stepHost(i);
        }
        this->deliver();
    }

    void stepHost(std::size_t index)
    {
        Host &host = this->hosts[index];
        std::erase_if(host.running, [this](core::Instant end) { return end <= this->now; });
        if (this->happens(0.0005)) {
            this->start(host);
        }
        if (this->happens(0.001)) {
            host.frozenUntil = this->now + this->below(3000ms);
        }
        if (this->now < host.frozenUntil) {
            return;
        }
        while (host.running.size() < host.quotas.limit(Endpoint, Slots, this->now)) {
            this->dispatch(host);
        }
        if (this->happens(0.1)) {
            this->sendRequest(index);
        }
    }

    void dispatch(Host &host)
    {
        host.running.push_back(this->now + 10ms + this->below(ExchangeLimit - 20ms));
        ++this->dispatchCount;
        std::size_t running = 0;
        for (const Host &other : this->hosts) {
            running += other.running.size();
        }
        this->isLimitExceeded = this->isLimitExceeded || running > this->limit();
    }

    void sendRequest(std::size_t index)
    {
        Host &host = this->hosts[index];
        const auto running = static_cast<std::uint32_t>(host.running.size());
        const std::uint32_t wanted = this->happens(0.3) ? 0 : Slots;
        const auto counts = [&](const auto &) {
            return ColdSlotQuotas::Counts { running, wanted };
        };
        SlotRequest request = host.quotas.makeRequests(Kasa, this->now, counts).at(0);
        host.latestSequence = request.sequence;
        EndpointUse &use = request.endpoints.front();
        if (this->removed == Guard::ReportedInFlight) {
            use.inFlight = 0;
        }
        if (this->removed == Guard::Acknowledgement) {
            use.appliedSequence = request.sequence;
            use.appliedLeaseId = this->leaseId;
        }
        this->send({ index, host.incarnation, {}, request, {} });
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(this->messages, [&](const Message &message) {
            const bool isAwake = this->now >= this->hosts[message.host].frozenUntil;
            const bool isDue = message.arrival <= this->now && (message.request || isAwake);
            if (isDue) {
                due.push_back(message);
            }
            return isDue;
        });
        std::ranges::shuffle(due, this->random);
        std::ranges::for_each(due, [this](const Message &message) { this->receive(message); });
    }

    void receive(const Message &message)
    {
        if (message.request) {
            this->handleRequest(message);
            return;
        }
        Host &host = this->hosts[message.host];
        SlotReply reply = message.reply;
        if (this->removed == Guard::ReplyAge) {
            this->sendRequest(message.host);
            reply.sequence = host.latestSequence;
        }
        host.quotas.onReply(reply, this->now);
    }

    void handleRequest(const Message &message)
    {
        SlotReply reply = this->allocator->onRequest(hostName(message.host), message.incarnation,
                                                     *message.request, this->now);
        //! NOTE Warm endpoints have no limit over all hosts, so the simulation stays in the cold
        //! phase
        const bool isWarm = std::ranges::any_of(reply.endpoints, [](const auto &quota) {
            return quota.warmupState == WarmupState::Warm;
        });
        if (!isWarm) {
            this->send({ message.host, message.incarnation, {}, std::nullopt, std::move(reply) });
        }
    }

    std::mt19937_64 random;
    Guard removed;
    core::Instant now { 1h };
    core::Instant previousLimitEnd;
    std::uint32_t previousLimit = 0;
    settings::Settings settings;
    settings::Service service;
    std::uint64_t leaseId = 0;
    std::uint64_t lastIncarnation = 0;
    std::optional<ColdSlotAllocator> allocator;
    std::vector<Host> hosts;
    std::vector<Message> messages;
    bool isLimitExceeded = false;
    int dispatchCount = 0;
};

class ColdSchedule_Tests : public testing::TestWithParam<GuardCase>
{};

} // namespace

TEST_P(ColdSchedule_Tests, Run_SumOverAllHosts_StaysWithinTheLimitUnlessAGuardIsRemoved)
{
    // [WHEN] Schedules run with lost, late, repeated and reordered messages, frozen and restarted
    // hosts, new owners and readmissions
    int broken = 0;
    int dispatched = 0;
    for (int seed = 0; seed < ScheduleCount; ++seed) {
        ColdSchedule schedule(static_cast<std::uint64_t>(seed), GetParam().removed);
        broken += schedule.run() ? 0 : 1;
        dispatched += schedule.dispatched();
    }
    RecordProperty("broken", broken);
    RecordProperty("dispatched", dispatched);

    // [THEN] With all guards no schedule exceeds the limit; without one of them some schedule does
    if (GetParam().removed == Guard::None) {
        EXPECT_EQ(broken, 0);
        EXPECT_GT(dispatched, ScheduleCount * 10);
    } else {
        EXPECT_GT(broken, 0);
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, ColdSchedule_Tests,
    testing::Values(GuardCase { "Product", Guard::None },
                    GuardCase { "WithoutReplyAge", Guard::ReplyAge },
                    GuardCase { "WithoutNewOwnerWait", Guard::NewOwnerWait },
                    GuardCase { "WithoutReportedInFlight", Guard::ReportedInFlight },
                    GuardCase { "WithoutAcknowledgement", Guard::Acknowledgement }),
    [](const auto &info) { return std::string(info.param.name); });
