#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "fleetsimulation.h"
#include "guardtable.h"

using namespace damaskgate::search;

namespace {

void printFailure(const FaultPlan &plan, const RunResult &result, const Guards &guards)
{
    std::cout << "violation seed=" << plan.seed << " " << *result.violation << "\n";
    const FaultPlan smallest = shrink(plan, guards);
    std::cout << "rate=" << smallest.ratePerSecond << " burst=" << smallest.burst
              << " drift=" << smallest.driftBound << "\n";
    for (const Fault &fault : smallest.faults) {
        std::cout << toText(fault) << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Searches random fault schedules for a violated rate limit or a partition with "
                 "two holders.");
    double minutes = 1;
    std::uint64_t seed = 1;
    app.add_option("--minutes", minutes, "duration of the search, in minutes");
    app.add_option("--seed", seed, "seed of the first schedule");
    std::string without;
    app.add_option("--without", without, "safety rule to disable, to show that it is needed");
    CLI11_PARSE(app, argc, argv);

    Guards guards;
    if (!without.empty()) {
        const auto *rule = std::ranges::find(GuardTable, without, &GuardEntry::name);
        if (rule == GuardTable.end()) {
            std::cerr << "unknown safety rule: " << without << "\n";
            return 2;
        }
        rule->remove(guards);
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(minutes * 60);
    std::uint64_t schedules = 0;
    std::size_t admitted = 0;
    while (std::chrono::steady_clock::now() < end) {
        const FaultPlan plan = makePlan(seed + schedules);
        const RunResult result = FleetSimulation(plan, guards).run();
        ++schedules;
        admitted += result.admitted;
        if (result.violation) {
            printFailure(plan, result, guards);
            return 1;
        }
    }
    std::cout << "schedules=" << schedules << " first-seed=" << seed << " admitted=" << admitted
              << " violations=0\n";
    return 0;
}
