#include "fleetsimulation.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace damaskgate::search {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration LeaseTick = 20ms;
constexpr core::Duration LimiterTick = 5ms;
constexpr core::Duration LiveListInterval = 1s;
constexpr core::Duration LiveListLag = 3s;
constexpr double OverloadFactor = 2.0;

std::vector<lease::RosterHost> listHosts(std::size_t first, std::size_t count)
{
    std::vector<lease::RosterHost> hosts;
    for (std::size_t index = first; index < first + count; ++index) {
        hosts.push_back({ core::HostName(std::string("h").append(std::to_string(index))),
                          core::DomainName(std::string("d").append(std::to_string(index % 3))) });
    }
    return hosts;
}

const core::WorkspaceName Bookings("bookings");

lease::RosterPtr firstRoster()
{
    static const auto shared = std::make_shared<const lease::Roster>(
        1, listHosts(0, FleetSimulation::HostCount - 1), std::vector<lease::RosterHost> {},
        limits::partitionOf(Bookings));
    return shared;
}

//! NOTE The second roster lacks three hosts of the first one and has a new one, so that the grantor
//! sets of the two rosters share fewer hosts than a majority.
lease::RosterPtr secondRoster()
{
    static const auto shared = std::make_shared<const lease::Roster>(
        2, listHosts(3, FleetSimulation::HostCount - 3),
        listHosts(0, FleetSimulation::HostCount - 1), limits::partitionOf(Bookings));
    return shared;
}

settings::SettingsPtr makeSettings(const core::WorkspaceName &name, double rate, double burst)
{
    auto settings = std::make_shared<settings::Settings>();
    settings->workspaces[name] = { name, rate, burst, 1, {} };
    return settings;
}

double largestConfigured(double value, const FaultPlan &plan)
{
    const bool isChanged = std::ranges::any_of(
        plan.faults, [](const Fault &fault) { return fault.kind == FaultKind::Settings; });
    return isChanged ? value * 1.5 : value;
}

} // namespace

struct FleetSimulation::Process
{
    Process(const lease::HolderId &self, core::Instant now, std::uint64_t seed,
            const FleetSimulation &fleet)
        : self(self), leases(self, now, seed, fleet.leasePolicy, fleet.guards.lease),
          limiter(self, leases, fleet.limiterPolicy, fleet.guards.limits)
    {}

    lease::HolderId self;
    lease::LeaseTable leases;
    limits::LimiterStateMachine limiter;
};

FleetSimulation::FleetSimulation(const FaultPlan &plan, const Guards &guards)
    : plan(plan), guards(guards), random(plan.seed), network(time, random, HostCount),
      check(largestConfigured(plan.ratePerSecond, plan), largestConfigured(plan.burst, plan)),
      partition(limits::partitionOf(Bookings))
{
    this->leasePolicy.driftBound = plan.driftBound;
    this->limiterPolicy.driftBound = plan.driftBound;
    this->build();
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::build()
{
    const auto settings = makeSettings(Bookings, this->plan.ratePerSecond, this->plan.burst);
    const auto hosts = listHosts(0, HostCount);
    this->machines.resize(HostCount);
    for (std::size_t index = 0; index < HostCount; ++index) {
        Machine &machine = this->machines[index];
        machine.name = hosts[index].name;
        machine.clock.origin = core::Instant(this->random.between(1h, 1000h));
        const double offset = this->random.fraction() - 0.5;
        machine.clock.speed = 1 + offset * this->plan.driftBound * 0.98;
        machine.roster = firstRoster();
        machine.settings = settings;
        this->liveList.push_back(machine.name);
        this->startProcess(index);
        this->scheduleTicks(index, LeaseTick, true);
        this->scheduleTicks(index, LimiterTick, false);
    }
    this->scheduleArrival();
    this->scheduleLiveList();
    std::ranges::for_each(this->plan.faults, [this](const Fault &fault) { this->schedule(fault); });
}

RunResult FleetSimulation::run()
{
    while (!this->result.violation && this->time.now() < Length) {
        this->time.runUntil(this->time.now() + 50ms);
    }
    this->result.excess = this->check.excess();
    return this->result;
}

void FleetSimulation::startProcess(std::size_t index)
{
    Machine &machine = this->machines[index];
    const core::Instant now = this->localNow(index);
    machine.isStopped = false;
    machine.isLeaving = false;
    machine.process = std::make_unique<Process>(
        lease::HolderId { machine.name, ++this->lastIncarnation }, now, this->random.next(), *this);
    machine.process->leases.applyRoster(machine.roster);
    machine.process->leases.setLiveHosts(this->liveList);
    machine.process->limiter.applySettings(machine.settings, now);
}

void FleetSimulation::stopProcess(std::size_t index)
{
    Machine &machine = this->machines[index];
    machine.isStopped = true;
    machine.inbox.clear();
    machine.process.reset();
}

void FleetSimulation::scheduleTicks(std::size_t index, core::Duration interval, bool isLease)
{
    this->time.runAfter(this->random.between(interval / 2, interval), [=, this] {
        const Machine &machine = this->machines[index];
        if (machine.process && machine.freezes == 0) {
            Process &process = *machine.process;
            if (isLease) {
                process.leases.tick(this->localNow(index));
            } else {
                process.limiter.tick(this->localNow(index));
            }
            this->processOutput(index);
        }
        this->scheduleTicks(index, interval, isLease);
    });
}

void FleetSimulation::scheduleArrival()
{
    const double rate = this->plan.ratePerSecond * OverloadFactor;
    this->time.runAfter(this->random.arrival(rate), [this] {
        const bool isAtPreferredHost = this->random.chance(0.5);
        const auto &ranking = firstRoster()->ranking(this->partition);
        const std::size_t index = isAtPreferredHost ? this->indexOf(ranking[this->random.below(3)])
                                                    : this->random.below(HostCount);
        const std::size_t count = this->random.chance(0.02) ? 10 : 1;
        for (std::size_t request = 0; request < count; ++request) {
            this->admitAt(index);
        }
        this->scheduleArrival();
    });
}

void FleetSimulation::admitAt(std::size_t index)
{
    if (this->machines[index].isStopped) {
        return;
    }
    ++this->result.offered;
    const std::uint64_t incarnation = this->machines[index].process->self.incarnation;
    this->deliverTo(index, incarnation, [this, index] {
        const core::Instant now = this->localNow(index);
        this->machines[index].process->limiter.admit(Bookings, now + 1s, now);
    });
}

void FleetSimulation::deliverTo(std::size_t index, std::uint64_t incarnation,
                                const support::VirtualTime::Task &task)
{
    Machine &machine = this->machines[index];
    const bool isDeliverable =
        machine.process && (incarnation == 0 || machine.process->self.incarnation == incarnation);
    if (!isDeliverable) {
        return;
    }
    if (machine.freezes > 0) {
        machine.inbox.push_back(task);
        return;
    }
    task();
    this->processOutput(index);
}

void FleetSimulation::processOutput(std::size_t index)
{
    this->applyLeaseChanges(index);
    this->sendTokens(index);
    this->sendLeases(index);
    this->checkHolders(index);
}

void FleetSimulation::applyLeaseChanges(std::size_t index)
{
    Process &process = *this->machines[index].process;
    for (const lease::LeaseChange &change : process.leases.takeChanges()) {
        if (change.kind == lease::LeaseChange::Kind::Releasing) {
            process.limiter.onReleasing(change.partition, change.epoch, change.successor,
                                        this->localNow(index));
        }
    }
}

void FleetSimulation::sendTokens(std::size_t index)
{
    Process &process = *this->machines[index].process;
    const limits::LimiterActions actions = process.limiter.takeActions();
    const core::Instant now = this->localNow(index);
    for (const limits::Decision &decision : actions.decisions) {
        ++this->result.answered;
        if (!decision.result) {
            continue;
        }
        ++this->result.admitted;
        if (!this->check.admit(this->time.now())) {
            this->fail("more requests admitted than rate and burst allow");
        }
    }
    for (const auto &[host, message] : actions.messages) {
        const std::size_t to = this->indexOf(host);
        this->network.send(index, to, [=, this, from = process.self] {
            this->deliverTo(to, 0, [=, this] {
                this->machines[to].process->limiter.onMessage(from, message, this->localNow(to));
            });
        });
    }
    for (const lease::PartitionId requested : actions.takeoverRequests) {
        process.leases.requestTakeover(requested, now);
    }
    for (const lease::PartitionId released : actions.released) {
        process.leases.confirmRelease(released, now);
    }
}

void FleetSimulation::sendLeases(std::size_t index)
{
    Process &process = *this->machines[index].process;
    for (const auto &[host, batch] : process.leases.takeOutbox(this->localNow(index))) {
        const std::size_t to = this->indexOf(host);
        this->network.send(index, to, [=, this, from = process.self] {
            this->deliverTo(to, 0, [=, this] {
                this->machines[to].process->leases.onBatch(from, batch, this->localNow(to));
            });
        });
    }
}

void FleetSimulation::checkHolders(std::size_t index)
{
    const auto holds = [this](std::size_t other) {
        const Machine &machine = this->machines[other];
        return machine.process
            && machine.process->leases.holds(this->partition, this->localNow(other));
    };
    if (!holds(index)) {
        return;
    }
    for (std::size_t other = 0; other < HostCount; ++other) {
        if (other != index && holds(other)) {
            this->fail("a partition has two holders");
        }
    }
}

void FleetSimulation::fail(const std::string &text)
{
    if (this->result.violation) {
        return;
    }
    std::ostringstream violation;
    violation << text << " at " << std::chrono::duration<double>(this->time.now()).count() << "s";
    this->result.violation = violation.str();
}

void FleetSimulation::scheduleLiveList()
{
    this->time.runAfter(LiveListInterval, [this] {
        std::vector<core::HostName> live;
        for (const Machine &machine : this->machines) {
            if (!machine.isStopped && !machine.isLeaving) {
                live.push_back(machine.name);
            }
        }
        this->time.runAfter(LiveListLag, [this, live] {
            this->liveList = live;
            this->publishLiveList();
        });
        this->scheduleLiveList();
    });
}

void FleetSimulation::publishLiveList()
{
    for (std::size_t index = 0; index < HostCount; ++index) {
        if (this->random.chance(0.8)) {
            this->deliverTo(index, 0, [this, index, live = this->liveList] {
                this->machines[index].process->leases.setLiveHosts(live);
            });
        }
    }
}

core::Instant FleetSimulation::localNow(std::size_t index) const
{
    return this->machines[index].clock.at(this->time.now());
}

std::size_t FleetSimulation::indexOf(const core::HostName &name) const
{
    const auto found = std::ranges::find(this->machines, name, &Machine::name);
    return static_cast<std::size_t>(found - this->machines.begin());
}

void FleetSimulation::schedule(const Fault &fault)
{
    using Handler = void (FleetSimulation::*)(const Fault &);
    static constexpr std::array<Handler, FaultKindCount> Handlers {
        &FleetSimulation::scheduleNetworkQuality, &FleetSimulation::scheduleNetworkQuality,
        &FleetSimulation::scheduleNetworkQuality, &FleetSimulation::scheduleOneWayCut,
        &FleetSimulation::scheduleSplit,          &FleetSimulation::scheduleSplit,
        &FleetSimulation::scheduleFreeze,         &FleetSimulation::scheduleKill,
        &FleetSimulation::scheduleLeave,          &FleetSimulation::scheduleRoster,
        &FleetSimulation::scheduleSettings,
    };
    (this->*Handlers[static_cast<std::size_t>(fault.kind)])(fault);
}

void FleetSimulation::scheduleNetworkQuality(const Fault &fault)
{
    const auto change = [this, kind = fault.kind](double value) {
        auto &quality = this->network.quality;
        double &changed = kind == FaultKind::Loss ? quality.loss
            : kind == FaultKind::Repeat           ? quality.repeat
                                                  : quality.late;
        changed = value;
    };
    const bool isShort = (fault.randomBits & 1U) != 0;
    this->time.runAt(fault.start, [=, this] {
        this->network.quality.lateness = isShort ? 900ms : 4s;
        change(0.5);
    });
    this->time.runAt(fault.start + fault.length, [change] { change(0); });
}

void FleetSimulation::scheduleCut(std::size_t from, std::size_t to, const Fault &fault)
{
    this->time.runAt(fault.start, [=, this] { this->network.changeCut(from, to, 1); });
    this->time.runAt(fault.start + fault.length,
                     [=, this] { this->network.changeCut(from, to, -1); });
}

void FleetSimulation::scheduleOneWayCut(const Fault &fault)
{
    for (std::size_t other = 0; other < HostCount; ++other) {
        const bool isCut = ((fault.randomBits >> other) & 3U) != 0;
        const bool isOutward = ((fault.randomBits >> 32U) & 1U) != 0;
        if (isCut && other != fault.host) {
            const auto [from, to] =
                isOutward ? std::pair(fault.host, other) : std::pair(other, fault.host);
            this->scheduleCut(from, to, fault);
        }
    }
}

void FleetSimulation::scheduleSplit(const Fault &fault)
{
    const std::uint64_t parts = fault.kind == FaultKind::SplitInTwo ? 2 : 3;
    const auto partOf = [&](std::size_t host) {
        return (fault.randomBits >> (host * 4)) % 16 % parts;
    };
    for (std::size_t from = 0; from < HostCount; ++from) {
        for (std::size_t to = 0; to < HostCount; ++to) {
            if (partOf(from) != partOf(to)) {
                this->scheduleCut(from, to, fault);
            }
        }
    }
}

void FleetSimulation::scheduleFreeze(const Fault &fault)
{
    const std::size_t host = fault.host;
    this->time.runAt(fault.start, [this, host] { ++this->machines[host].freezes; });
    this->time.runAt(fault.start + fault.length, [this, host] {
        Machine &machine = this->machines[host];
        --machine.freezes;
        while (machine.freezes == 0 && !machine.inbox.empty()) {
            const auto task = machine.inbox.front();
            machine.inbox.pop_front();
            this->deliverTo(host, 0, task);
        }
    });
}

void FleetSimulation::scheduleRestart(std::size_t index, core::Duration delay)
{
    this->time.runAfter(delay, [this, index] {
        if (this->machines[index].isStopped) {
            this->startProcess(index);
        }
    });
}

void FleetSimulation::scheduleKill(const Fault &fault)
{
    this->time.runAt(fault.start, [this, fault] {
        const bool isQuick = (fault.randomBits & 1U) != 0;
        const bool isSeveral = (fault.randomBits & 2U) != 0;
        for (std::size_t index = 0; index < HostCount; ++index) {
            const bool isChosen = ((fault.randomBits >> (8 + index)) & 1U) != 0;
            if (index == fault.host || (isSeveral && isChosen)) {
                this->stopProcess(index);
                this->scheduleRestart(index, isQuick ? 100ms : fault.length);
            }
        }
    });
}

void FleetSimulation::scheduleLeave(const Fault &fault)
{
    const std::size_t host = fault.host;
    this->time.runAt(fault.start, [this, host] {
        this->machines[host].isLeaving = true;
        this->deliverTo(host, 0, [this, host] {
            this->machines[host].process->leases.leave(this->localNow(host));
        });
    });
    this->time.runAt(fault.start + 1s, [this, fault] {
        this->stopProcess(fault.host);
        this->scheduleRestart(fault.host, fault.length);
    });
}

void FleetSimulation::scheduleRoster(const Fault &fault)
{
    if (std::exchange(this->isRosterChanged, true)) {
        return;
    }
    for (std::size_t index = 0; index < HostCount; ++index) {
        // Some hosts get the new roster at once, others after more than the duration of a lease.
        const bool isSlow = ((fault.randomBits >> index) & 1U) != 0;
        const core::Duration delay = isSlow ? fault.length * 2 : 0s;
        this->time.runAt(fault.start + delay, [this, index] {
            this->machines[index].roster = secondRoster();
            this->deliverTo(index, 0, [this, index] {
                this->machines[index].process->leases.applyRoster(secondRoster());
            });
        });
    }
}

void FleetSimulation::scheduleSettings(const Fault &fault)
{
    const std::array factors { 0.5, 1.0, 1.5 };
    const auto settings =
        makeSettings(Bookings, this->plan.ratePerSecond * factors[fault.randomBits % 3],
                     this->plan.burst * factors[(fault.randomBits >> 8U) % 3]);
    for (std::size_t index = 0; index < HostCount; ++index) {
        const core::Duration delay = this->random.between(0s, fault.length);
        this->time.runAt(fault.start + delay, [this, index, settings] {
            this->machines[index].settings = settings;
            this->deliverTo(index, 0, [this, index, settings] {
                this->machines[index].process->limiter.applySettings(settings,
                                                                     this->localNow(index));
            });
        });
    }
}

FaultPlan shrink(const FaultPlan &plan, const Guards &guards)
{
    FaultPlan smallest = plan;
    for (std::size_t index = 0; index < smallest.faults.size();) {
        FaultPlan fewer = smallest;
        fewer.faults.erase(fewer.faults.begin() + static_cast<std::ptrdiff_t>(index));
        if (FleetSimulation(fewer, guards).run().violation) {
            smallest = std::move(fewer);
        } else {
            ++index;
        }
    }
    return smallest;
}

} // namespace damaskgate::search
