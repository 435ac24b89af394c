#include <chrono>
#include <cstdint>
#include <iostream>

#include <CLI/CLI.hpp>

#include "fleetsimulation.h"

using namespace damaskgate::search;

namespace {

void printFailure(const FaultPlan &plan, const RunResult &result)
{
    std::cout << "violation seed=" << plan.seed << " " << *result.violation << "\n";
    const FaultPlan smallest = shrink(plan, {});
    std::cout << "rate=" << smallest.ratePerSecond << " burst=" << smallest.burst
              << " drift=" << smallest.driftBound << "\n";
    for (const Fault &fault : smallest.faults) {
        std::cout << toText(fault) << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Searches fault schedules for a break of rate and burst or a double holder.");
    double minutes = 1;
    std::uint64_t seed = 1;
    app.add_option("--minutes", minutes, "how long to search");
    app.add_option("--seed", seed, "seed of the first schedule");
    CLI11_PARSE(app, argc, argv);

    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(minutes * 60);
    std::uint64_t schedules = 0;
    std::size_t admitted = 0;
    while (std::chrono::steady_clock::now() < end) {
        const FaultPlan plan = makePlan(seed + schedules);
        const RunResult result = FleetSimulation(plan, {}).run();
        ++schedules;
        admitted += result.admitted;
        if (result.violation) {
            printFailure(plan, result);
            return 1;
        }
    }
    std::cout << "schedules=" << schedules << " first-seed=" << seed << " admitted=" << admitted
              << " violations=0\n";
    return 0;
}
