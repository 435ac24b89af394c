#include "faultplan.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

#include "damaskgate/support/random.h"

#include "fleetsimulation.h"

namespace damaskgate::search {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, FaultKindCount> KindNames {
    "loss",   "repeat", "late",  "one-way-cut", "split-in-two", "split-in-three",
    "freeze", "kill",   "leave", "roster",      "settings",
};

template <typename T, std::size_t N>
T pick(support::Random &random, const std::array<T, N> &values)
{
    return values[random.below(N)];
}

} // namespace

FaultPlan makePlan(std::uint64_t seed)
{
    support::Random random(seed * 0x9e3779b97f4a7c15ULL + 1);
    FaultPlan plan;
    plan.seed = seed;
    plan.ratePerSecond = pick(random, std::array { 5.0, 30.0, 100.0 });
    plan.burst = pick(random, std::array { 1.0, 4.0, 20.0, 60.0 });
    plan.driftBound = pick(random, std::array { 0.001, 0.03 });
    const std::size_t count = 2 + random.below(7);
    for (std::size_t index = 0; index < count; ++index) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(random.below(FaultKindCount));
        fault.start = random.between(4s, FleetSimulation::Length - 4s);
        fault.length = random.between(100ms, 7s);
        fault.host = random.below(FleetSimulation::HostCount);
        fault.randomBits = random.next();
        const bool isRepeated = !plan.faults.empty() && random.chance(0.2);
        if (isRepeated) {
            fault.kind = plan.faults.back().kind;
            fault.host = plan.faults.back().host;
            fault.start = std::min(plan.faults.back().start + random.between(0s, 4s),
                                   FleetSimulation::Length - 1s);
        }
        plan.faults.push_back(fault);
    }
    return plan;
}

std::string toText(const Fault &fault)
{
    using Seconds = std::chrono::duration<double>;
    std::ostringstream text;
    text << "fault kind=" << KindNames[static_cast<std::size_t>(fault.kind)]
         << " start=" << Seconds(fault.start).count()
         << "s length=" << Seconds(fault.length).count() << "s host=" << fault.host
         << " choice=" << fault.randomBits;
    return text.str();
}

} // namespace damaskgate::search
