#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskgate/core/time.h"

namespace damaskgate::search {

enum class FaultKind {
    Loss, //!< most messages are lost
    Repeat, //!< many messages arrive twice
    Late, //!< many messages arrive seconds late, and so out of order
    OneWayCut, //!< nothing arrives from one host at some of the others
    SplitInTwo,
    SplitInThree,
    Freeze, //!< a process stops and wakes up late
    Kill, //!< one or several processes die, and others start at their addresses
    Leave, //!< a planned stop and a new start
    Roster, //!< a host is replaced in the published list, known to each host at another time
    Settings, //!< rate and burst change, known to each host at another time
};

constexpr std::size_t FaultKindCount = 11;

struct Fault
{
    FaultKind kind = FaultKind::Loss;
    core::Duration start {};
    core::Duration length {};
    std::size_t host = 0; //!< that the fault is about
    std::uint64_t choice = 0; //!< settles what else is random about the fault
};

/** One run of the fleet: everything random follows from it. */
struct FaultPlan
{
    std::uint64_t seed = 0;
    double ratePerSecond = 50;
    double burst = 20;
    double driftBound = 0.001;
    std::vector<Fault> faults;
};

/** @return a random plan. */
FaultPlan makePlan(std::uint64_t seed);

/** @return @p fault as one line. */
std::string toText(const Fault &fault);

} // namespace damaskgate::search
