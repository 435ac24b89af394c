#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskgate/lease/leasetable.h"
#include "damaskgate/limits/limiterstatemachine.h"
#include "damaskgate/support/lossynetwork.h"
#include "damaskgate/support/random.h"
#include "damaskgate/support/virtualtime.h"
#include "damaskgate/support/windowcheck.h"

#include "faultplan.h"

namespace damaskgate::search {

/** Result of a simulation run. */
struct RunResult
{
    std::optional<std::string> violation; //!< the first violation
    std::size_t offered = 0;
    std::size_t admitted = 0;
    std::size_t answered = 0;
    double excess = 0; //!< largest excess of admissions over the limit; negative if below
};

/** Safety rules; a run may disable one to show that it is needed. */
struct Guards
{
    lease::LeaseGuards lease;
    limits::LimiterGuards limits;
};

/** Runs the lease tables and limiters of several hosts on virtual time under a plan of faults. */
class FleetSimulation
{
public:
    static constexpr std::size_t HostCount = 7; //!< the last host joins with the second roster
    static constexpr core::Duration Length = std::chrono::seconds(24);

    FleetSimulation(const FaultPlan &plan, const Guards &guards);
    ~FleetSimulation();

    RunResult run();

private:
    struct Process;

    struct Machine
    {
        core::HostName name;
        support::MachineClock clock;
        std::unique_ptr<Process> process;
        std::deque<support::VirtualTime::Task> inbox; //!< deliveries delayed by a freeze
        int freezes = 0;
        bool isStopped = false; //!< whether no process runs
        bool isLeaving = false;
        lease::RosterPtr roster;
        settings::SettingsPtr settings;
    };

    struct Arrival
    {
        std::size_t host = 0;
    };

    void build();
    void startProcess(std::size_t index);
    void stopProcess(std::size_t index);
    void scheduleTicks(std::size_t index, core::Duration interval, bool isLease);
    void scheduleArrival();
    void scheduleLiveList();
    void publishLiveList();
    void admitAt(std::size_t index);
    void deliverTo(std::size_t index, std::uint64_t incarnation,
                   const support::VirtualTime::Task &task);
    void processOutput(std::size_t index);
    void sendLeases(std::size_t index);
    void sendTokens(std::size_t index);
    void applyLeaseChanges(std::size_t index);
    void checkHolders(std::size_t index);
    void fail(const std::string &text);
    core::Instant localNow(std::size_t index) const;
    std::size_t indexOf(const core::HostName &name) const;

    void schedule(const Fault &fault);
    void scheduleNetworkQuality(const Fault &fault);
    void scheduleOneWayCut(const Fault &fault);
    void scheduleSplit(const Fault &fault);
    void scheduleFreeze(const Fault &fault);
    void scheduleKill(const Fault &fault);
    void scheduleLeave(const Fault &fault);
    void scheduleRoster(const Fault &fault);
    void scheduleSettings(const Fault &fault);
    void scheduleCut(std::size_t from, std::size_t to, const Fault &fault);
    void scheduleRestart(std::size_t index, core::Duration delay);

    FaultPlan plan;
    Guards guards;
    lease::LeasePolicy leasePolicy;
    limits::LimiterPolicy limiterPolicy;
    support::VirtualTime time;
    support::Random random;
    support::LossyNetwork network;
    support::WindowCheck check;
    std::vector<Machine> machines;
    std::vector<core::HostName> liveList;
    lease::PartitionId partition;
    std::uint64_t lastIncarnation = 0;
    bool isRosterChanged = false;
    RunResult result;
};

/** @return a plan that still fails, without the faults that the violation does not need. */
FaultPlan shrink(const FaultPlan &plan, const Guards &guards);

} // namespace damaskgate::search
