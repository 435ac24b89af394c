#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskgate/core/time.h"

namespace damaskgate::search {

enum class FaultKind {
    Loss, //!< half of all messages are lost
    Repeat, //!< half of all messages arrive twice
    Late, //!< half of all messages are delayed, by up to 4 s, and so arrive out of order
    OneWayCut, //!< messages between one host and some others are lost in one direction
    SplitInTwo,
    SplitInThree,
    Freeze, //!< a process is suspended and resumes later
    Kill, //!< one or several processes are killed, and new ones start at their addresses
    Leave, //!< a planned stop and a restart
    Roster, //!< the published list of hosts changes; each host gets it at a different time
    Settings, //!< rate and burst change; each host gets them at a different time
};

constexpr std::size_t FaultKindCount = 11;

struct Fault
{
    FaultKind kind = FaultKind::Loss;
    core::Duration start {};
    core::Duration length {};
    std::size_t host = 0; //!< affected host
    std::uint64_t randomBits = 0; //!< source of the other random properties of the fault
};

/** Inputs of one simulation run; equal plans give equal runs. */
struct FaultPlan
{
    std::uint64_t seed = 0;
    double ratePerSecond = 50;
    double burst = 20;
    double driftBound = 0.001;
    std::vector<Fault> faults;
};

/** @return the random plan of @p seed. */
FaultPlan makePlan(std::uint64_t seed);

/** @return @p fault as one line. */
std::string toText(const Fault &fault);

} // namespace damaskgate::search
