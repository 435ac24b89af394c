// Prints detection times and false ejections for several thresholds of FaultDetector and for two
// baseline policies. Usage: damaskgate_detection [--seeds N] [--minutes N]

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "damaskgate/balance/balancer.h"
#include "damaskgate/health/ejectionview.h"
#include "damaskgate/health/evidencecollector.h"
#include "damaskgate/health/serviceowner.h"

using namespace damaskgate;
using namespace damaskgate::health;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 44;
constexpr std::size_t DomainCount = 3;
constexpr auto MeanWork = 20ms;
constexpr auto ExchangeTimeout = 2000ms;
constexpr auto WarmUp = 8s; //!< time before the fault; a new owner ejects nothing at first
constexpr auto FaultTime = 15s;
constexpr auto ShedQueue = 20; //!< number of waiting requests at which an endpoint sheds new ones
constexpr double MessageLoss = 0.01;

const core::ServiceName Stundaskra("stundaskra");

enum class Fault {
    None,
    Slow,
    Errors,
    Hang,
    Flapping,
    HiddenByHealth,
    OneWayCut,
    OneWayCutDomain,
    DomainSlow,
};

struct FaultCase
{
    const char *name;
    Fault fault;
    bool isShownByHealth; //!< whether probes of the health endpoint fail during the fault
};

constexpr FaultCase FaultCases[] = {
    { "slow x5", Fault::Slow, false },
    { "errors 30%", Fault::Errors, false },
    { "hanging", Fault::Hang, true },
    { "flapping 2 s", Fault::Flapping, true },
    { "health path passes", Fault::HiddenByHealth, false },
    { "one-way cut", Fault::OneWayCut, false },
    { "cut from one domain", Fault::OneWayCutDomain, false },
    { "domain slow x5", Fault::DomainSlow, false },
};

struct Setup
{
    std::size_t endpoints = 6;
    std::uint32_t slots = 6;
    double ratePerEndpoint = 20;
    bool isRough = false; //!< RoughErrors and log-normal work times with a long tail
};

constexpr Setup Quiet { 6, 6, 20 };
constexpr Setup Busy { 6, 2, 85 };
constexpr Setup Large { 14, 6, 20 };
constexpr Setup Rough { 6, 6, 20, true };
constexpr double RoughErrors = 0.02; //!< probability of a server error in the Rough setup

/** Decides which endpoints each host avoids; implemented by damaskgate and the baselines. */
class IPolicy
{
public:
    virtual ~IPolicy() = default;
    virtual void onEnded(std::size_t host, std::size_t endpoint, bool isFailure) = 0;
    virtual void tick() = 0;
    /** @return whether at least half of the hosts avoid @p endpoint. */
    virtual bool isDetected(std::size_t endpoint) const = 0;
    /** @return number of ejections of each endpoint so far. */
    virtual const std::vector<int> &ejections() const = 0;
};

core::EndpointName endpointName(std::size_t index)
{
    return core::EndpointName("stundaskra-" + std::to_string(index));
}

core::HostName hostName(std::size_t index)
{
    return core::HostName("host-" + std::to_string(index));
}

core::DomainName domainName(std::size_t index)
{
    return core::DomainName("domain-" + std::to_string(index % DomainCount));
}

/** Simulates the endpoints and entry hosts of one run. */
class Simulation
{
public:
    Simulation(const Setup &setup, Fault fault, std::uint64_t seed)
        : setup(setup), fault(fault), random(seed), endpoints(setup.endpoints)
    {
        this->makeSettings();
        for (std::size_t i = 0; i < HostCount; ++i) {
            this->collectors.push_back(std::make_unique<EvidenceCollector>());
            this->balancers.push_back(std::make_unique<balance::Balancer>(this->clock, seed + i));
            this->balancers[i]->setObserver(this->collectors[i].get());
            this->balancers[i]->applySettings(this->settings);
        }
    }

    void run(core::Duration length, IPolicy &testedPolicy, const std::function<void()> &onTick)
    {
        this->policy = &testedPolicy;
        const core::Instant end = this->clock.now() + length;
        this->scheduleArrival();
        this->scheduleTick(onTick);
        while (this->clock.now() < end) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock.advance(event.at - this->clock.now());
            event.action();
        }
    }

    void at(core::Duration delay, std::function<void()> action)
    {
        this->events.push({ this->clock.now() + delay, ++this->eventCount, std::move(action) });
    }

    bool happens(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    bool isFaulty(std::size_t endpoint) const
    {
        if (this->clock.now() < this->start + WarmUp || this->fault == Fault::None) {
            return false;
        }
        const bool isDomain = this->fault == Fault::DomainSlow;
        return isDomain ? endpoint % DomainCount == 0 : endpoint == 0;
    }

    Setup setup;
    Fault fault;
    core::ManualClock clock;
    core::Instant start = clock.now();
    std::mt19937_64 random;
    settings::SettingsPtr settings;
    std::vector<std::unique_ptr<EvidenceCollector>> collectors;
    std::vector<std::unique_ptr<balance::Balancer>> balancers;
    int lateFailures = 0; //!< exchanges that failed in the last third of the fault
    int lateExchanges = 0;

private:
    struct Event
    {
        core::Instant at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    struct Job
    {
        std::size_t host = 0;
        std::size_t endpoint = 0;
        std::uint64_t grant = 0;
        core::Instant sent;
        std::shared_ptr<bool> isOver = std::make_shared<bool>(false);
    };

    struct EndpointModel
    {
        std::uint32_t running = 0;
        std::deque<Job> waiting;
    };

    void makeSettings()
    {
        auto tree = std::make_shared<settings::Settings>();
        for (std::size_t i = 0; i < HostCount; ++i) {
            settings::Host &host = tree->hosts[hostName(i)];
            host.name = hostName(i);
            host.domain = domainName(i);
        }
        settings::Service &service = tree->services[Stundaskra];
        service.name = Stundaskra;
        service.slots = this->setup.slots;
        for (std::size_t i = 0; i < this->setup.endpoints; ++i) {
            settings::Endpoint &endpoint = service.endpoints[endpointName(i)];
            endpoint.name = endpointName(i);
            endpoint.domain = domainName(i);
            this->indexes[endpoint.name] = i;
        }
        this->settings = tree;
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(this->random);
    }

    static core::Duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
    }

    void scheduleArrival()
    {
        const double rate =
            this->setup.ratePerEndpoint * static_cast<double>(this->setup.endpoints);
        this->at(toDuration(this->exponential(1 / rate)), [this] {
            this->arrive();
            this->scheduleArrival();
        });
    }

    void scheduleTick(const std::function<void()> &onTick)
    {
        this->at(50ms, [this, onTick] {
            for (const auto &balancer : this->balancers) {
                balancer->tick();
            }
            onTick();
            this->scheduleTick(onTick);
        });
    }

    void arrive()
    {
        const std::size_t host =
            std::uniform_int_distribution<std::size_t>(0, HostCount - 1)(this->random);
        balance::WorkRequest request;
        request.service = Stundaskra;
        request.workspace = core::WorkspaceName("hallir");
        request.deadline = this->clock.now() + ExchangeTimeout;
        this->balancers[host]->acquire(request,
                                       [this, host](core::Result<balance::SlotGrant> slot) {
                                           if (slot) {
                                               this->send(host, *slot);
                                           }
                                       });
    }

    void send(std::size_t host, const balance::SlotGrant &slot)
    {
        const std::size_t index = this->indexes.at(slot.endpoint.name);
        Job job { host, index, slot.id, this->clock.now() };
        this->at(ExchangeTimeout, [this, job] { this->end(job, balance::Outcome::Timeout); });
        EndpointModel &endpoint = this->endpoints[index];
        if (this->isFaulty(index)
            && (this->fault == Fault::Hang || this->fault == Fault::OneWayCut)) {
            return;
        }
        if (endpoint.running < this->setup.slots) {
            this->work(job);
        } else if (endpoint.waiting.size() < ShedQueue) {
            endpoint.waiting.push_back(job);
        } else {
            this->at(1ms, [this, job] { this->end(job, balance::Outcome::Shed); });
        }
    }

    void work(const Job &job)
    {
        ++this->endpoints[job.endpoint].running;
        const bool isSlow = this->isFaulty(job.endpoint)
            && (this->fault == Fault::Slow || this->fault == Fault::DomainSlow);
        const double mean = std::chrono::duration<double>(MeanWork).count() * (isSlow ? 5 : 1);
        this->at(toDuration(this->drawWork(mean)) + 1ms, [this, job] { this->finish(job); });
    }

    double drawWork(double mean)
    {
        if (!this->setup.isRough) {
            return this->exponential(mean);
        }
        constexpr double Sigma = 1.2;
        std::lognormal_distribution<double> work(std::log(mean) - Sigma * Sigma / 2, Sigma);
        return work(this->random);
    }

    void finish(const Job &job)
    {
        EndpointModel &endpoint = this->endpoints[job.endpoint];
        --endpoint.running;
        if (!endpoint.waiting.empty()) {
            const Job next = endpoint.waiting.front();
            endpoint.waiting.pop_front();
            this->work(next);
        }
        const bool isCut = this->isFaulty(job.endpoint) && this->fault == Fault::OneWayCutDomain
            && job.host % DomainCount == 1;
        if (!isCut) {
            const bool isError = (this->isFaulty(job.endpoint) && this->fails())
                || (this->setup.isRough && this->happens(RoughErrors));
            this->end(job, isError ? balance::Outcome::ServerError : balance::Outcome::Answered);
        }
    }

    bool fails()
    {
        if (this->fault == Fault::Errors) {
            return this->happens(0.3);
        }
        if (this->fault == Fault::HiddenByHealth) {
            return this->happens(0.6);
        }
        const auto sinceFault = this->clock.now() - this->start - WarmUp;
        return this->fault == Fault::Flapping && (sinceFault / 2s) % 2 == 0;
    }

    void end(const Job &job, balance::Outcome outcome)
    {
        if (*job.isOver) {
            return;
        }
        *job.isOver = true;
        const bool isFailure =
            outcome != balance::Outcome::Answered && outcome != balance::Outcome::Shed;
        this->policy->onEnded(job.host, job.endpoint, isFailure);
        if (this->clock.now() >= this->start + WarmUp + FaultTime * 2 / 3) {
            ++this->lateExchanges;
            this->lateFailures += isFailure ? 1 : 0;
        }
        this->balancers[job.host]->release(job.grant,
                                           { outcome, this->clock.now() - job.sent, {} });
    }

    std::map<core::EndpointName, std::size_t> indexes;
    std::vector<EndpointModel> endpoints;
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
    IPolicy *policy = nullptr;
};

/** Policy of damaskgate: entry hosts report to a ServiceOwner, which detects faults and ejects. */
class OwnerPolicy final : public IPolicy
{
public:
    OwnerPolicy(Simulation &simulation, FaultThresholds thresholds)
        : simulation(simulation), owner(Stundaskra, 1, simulation.start, thresholds),
          hosts(HostCount), counts(simulation.setup.endpoints)
    {
        this->owner.applySettings(*simulation.settings);
        const Floor floor(*simulation.settings, simulation.settings->services.at(Stundaskra));
        std::ranges::for_each(this->hosts, [&](Host &host) { host.view.applyFloor(floor); });
    }

    void onEnded(std::size_t /*host*/, std::size_t /*endpoint*/, bool /*isFailure*/) override {}

    void tick() override
    {
        const int slot = this->tickCount++ % 5;
        for (auto i = static_cast<std::size_t>(slot); i < HostCount; i += 5) {
            this->report(i);
        }
        if (slot != 0) {
            return;
        }
        const core::Instant now = this->simulation.clock.now();
        const auto changes = this->owner.evaluate(now);
        for (const ServiceOwner::Change &change : changes) {
            this->counts[indexOf(change.endpoint)] += change.isEjected ? 1 : 0;
        }
        if (!changes.empty()) {
            for (const auto &[host, update] : this->owner.makeUpdates(now)) {
                this->deliver(std::stoul(host.text().substr(5)), update);
            }
        }
    }

    bool isDetected(std::size_t endpoint) const override
    {
        const auto avoidsEndpoint = [&](const Host &host) {
            return host.view.ejected(this->simulation.clock.now()).contains(endpointName(endpoint));
        };
        return std::ranges::count_if(this->hosts, avoidsEndpoint) * 2 >= std::ssize(this->hosts);
    }

    const std::vector<int> &ejections() const override
    {
        return this->counts;
    }

private:
    struct Host
    {
        EjectionView view;
        std::uint64_t sequence = 0;
    };

    static std::size_t indexOf(const core::EndpointName &name)
    {
        return std::stoul(name.text().substr(name.text().find('-') + 1));
    }

    void report(std::size_t index)
    {
        Host &host = this->hosts[index];
        const core::Instant now = this->simulation.clock.now();
        EvidenceReport report = this->simulation.collectors[index]->collectReport(Stundaskra, now);
        report.sequence = ++host.sequence;
        host.view.onReportSent(report.sequence, now);
        if (!this->simulation.happens(MessageLoss)) {
            this->deliver(index, this->owner.onReport(hostName(index), report, now));
        }
        this->simulation.balancers[index]->setEjected(Stundaskra, host.view.ejected(now));
    }

    void deliver(std::size_t index, const EjectionUpdate &update)
    {
        if (this->simulation.happens(MessageLoss)) {
            return;
        }
        this->simulation.at(2ms, [this, index, update] {
            Host &host = this->hosts[index];
            const core::Instant now = this->simulation.clock.now();
            host.view.onUpdate(update, now);
            this->simulation.collectors[index]->setSlowLimit(Stundaskra, update.slowLimit);
            this->simulation.balancers[index]->setEjected(Stundaskra, host.view.ejected(now));
        });
    }

    Simulation &simulation;
    ServiceOwner owner;
    std::vector<Host> hosts;
    std::vector<int> counts;
    int tickCount = 0;
};

/** Each host avoids an endpoint for 5 s after a given number of consecutive failures. */
class ConsecutivePolicy final : public IPolicy
{
public:
    ConsecutivePolicy(Simulation &simulation, int limit)
        : simulation(simulation), limit(limit), hosts(HostCount), counts(simulation.setup.endpoints)
    {
        for (Host &host : this->hosts) {
            host.failures.resize(simulation.setup.endpoints);
            host.until.resize(simulation.setup.endpoints);
        }
    }

    void onEnded(std::size_t index, std::size_t endpoint, bool isFailure) override
    {
        Host &host = this->hosts[index];
        int &failures = host.failures[endpoint];
        failures = isFailure ? failures + 1 : 0;
        if (failures >= this->limit) {
            host.until[endpoint] = this->simulation.clock.now() + 5s;
            ++this->counts[endpoint];
            failures = 0;
        }
    }

    void tick() override
    {
        for (std::size_t i = 0; i < HostCount; ++i) {
            std::set<core::EndpointName> ejected;
            for (std::size_t e = 0; e < this->simulation.setup.endpoints; ++e) {
                if (this->hosts[i].until[e] > this->simulation.clock.now()) {
                    ejected.insert(endpointName(e));
                }
            }
            this->simulation.balancers[i]->setEjected(Stundaskra, ejected);
        }
    }

    bool isDetected(std::size_t endpoint) const override
    {
        const auto avoidsEndpoint = [&](const Host &host) {
            return host.until[endpoint] > this->simulation.clock.now();
        };
        return std::ranges::count_if(this->hosts, avoidsEndpoint) * 2 >= std::ssize(this->hosts);
    }

    const std::vector<int> &ejections() const override
    {
        return this->counts;
    }

private:
    struct Host
    {
        std::vector<int> failures;
        std::vector<core::Instant> until;
    };

    Simulation &simulation;
    int limit;
    std::vector<Host> hosts;
    std::vector<int> counts;
};

/** Ejects an endpoint after three consecutive failed probes, one per second, of its health path. */
class ProbePolicy final : public IPolicy
{
public:
    ProbePolicy(Simulation &simulation, bool isShownByHealth)
        : simulation(simulation), isShownByHealth(isShownByHealth),
          failures(simulation.setup.endpoints), counts(simulation.setup.endpoints)
    {}

    void onEnded(std::size_t /*host*/, std::size_t /*endpoint*/, bool /*isFailure*/) override {}

    void tick() override
    {
        if (this->tickCount++ % 20 != 0) {
            return;
        }
        for (std::size_t e = 0; e < this->failures.size(); ++e) {
            const bool isProbeFailed = this->isShownByHealth && this->simulation.isFaulty(e);
            this->failures[e] = isProbeFailed ? this->failures[e] + 1 : 0;
            this->counts[e] += this->failures[e] == 3 ? 1 : 0;
        }
    }

    bool isDetected(std::size_t endpoint) const override
    {
        return this->failures[endpoint] >= 3;
    }

    const std::vector<int> &ejections() const override
    {
        return this->counts;
    }

private:
    Simulation &simulation;
    bool isShownByHealth;
    int tickCount = 0;
    std::vector<int> failures;
    std::vector<int> counts;
};

using PolicyFactory = std::function<std::unique_ptr<IPolicy>(Simulation &, const FaultCase &)>;

struct FaultResults
{
    std::vector<double> delays; //!< detection times in seconds; FaultTime for an undetected fault
    int missed = 0;
    int falseEjections = 0;
    int lateFailures = 0;
    int lateExchanges = 0;
};

void runFault(const FaultCase &fault, const PolicyFactory &make, std::uint64_t seed,
              FaultResults &sum)
{
    Simulation simulation(Quiet, fault.fault, seed);
    const std::unique_ptr<IPolicy> policy = make(simulation, fault);
    std::optional<core::Instant> detected;
    simulation.run(WarmUp + FaultTime, *policy, [&] {
        policy->tick();
        if (!detected && simulation.isFaulty(0) && policy->isDetected(0)) {
            detected = simulation.clock.now();
        }
    });
    const core::Duration delay =
        detected ? *detected - simulation.start - WarmUp : core::Duration(FaultTime);
    sum.delays.push_back(std::chrono::duration<double>(delay).count());
    sum.missed += detected ? 0 : 1;
    sum.lateFailures += simulation.lateFailures;
    sum.lateExchanges += simulation.lateExchanges;
    for (std::size_t e = 0; e < Quiet.endpoints; ++e) {
        sum.falseEjections += simulation.isFaulty(e) ? 0 : policy->ejections()[e];
    }
}

int runFaultFree(const Setup &setup, const PolicyFactory &make, std::chrono::minutes length)
{
    Simulation simulation(setup, Fault::None, 1);
    const std::unique_ptr<IPolicy> policy =
        make(simulation, FaultCase { "none", Fault::None, true });
    simulation.run(length, *policy, [&] { policy->tick(); });
    return std::accumulate(policy->ejections().begin(), policy->ejections().end(), 0);
}

void print(const std::string &name, const PolicyFactory &make, int seeds,
           std::chrono::minutes length)
{
    std::printf("%s: false ejections in %ld min: quiet %d, 14 endpoints %d, busy %d, rough %d\n",
                name.c_str(), static_cast<long>(length.count()), runFaultFree(Quiet, make, length),
                runFaultFree(Large, make, length), runFaultFree(Busy, make, length),
                runFaultFree(Rough, make, length));
    for (const FaultCase &fault : FaultCases) {
        FaultResults sum;
        for (int seed = 0; seed < seeds; ++seed) {
            runFault(fault, make, static_cast<std::uint64_t>(seed) * 1000, sum);
        }
        std::ranges::sort(sum.delays);
        std::printf(
            "  %-20s median %5.2f s  worst %5.2f s  missed %d/%d  false %d  late failures %.2f%%\n",
            fault.name, sum.delays[sum.delays.size() / 2], sum.delays.back(), sum.missed, seeds,
            sum.falseEjections, 100.0 * sum.lateFailures / sum.lateExchanges);
    }
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    int seeds = 10;
    int minutes = 10;
    CLI::App app("Detection time against false ejections");
    app.add_option("--seeds", seeds, "runs of each fault");
    app.add_option("--minutes", minutes, "length of the runs without a fault");
    CLI11_PARSE(app, argc, argv);

    for (const double threshold : { 2.0, 3.0, 4.0, 6.0, 8.0, 10.0, 14.0, 20.0 }) {
        print(
            "owner, threshold " + std::to_string(static_cast<int>(threshold)),
            [threshold](Simulation &simulation, const FaultCase &) {
                return std::make_unique<OwnerPolicy>(simulation,
                                                     FaultThresholds { threshold, threshold });
            },
            seeds, std::chrono::minutes(minutes));
    }
    for (const int limit : { 2, 3, 5 }) {
        print(
            "consecutive failures, k " + std::to_string(limit),
            [limit](Simulation &simulation, const FaultCase &) {
                return std::make_unique<ConsecutivePolicy>(simulation, limit);
            },
            seeds, std::chrono::minutes(minutes));
    }
    print(
        "health endpoint alone",
        [](Simulation &simulation, const FaultCase &fault) {
            return std::make_unique<ProbePolicy>(simulation, fault.isShownByHealth);
        },
        seeds, std::chrono::minutes(minutes));
    return 0;
}
