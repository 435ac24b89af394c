#pragma once

#include <cstdint>
#include <queue>
#include <random>
#include <vector>

#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::upstreams {

/** A service whose endpoints have bad spells, in front of it a few hosts; times in seconds. */
struct GrayScenario
{
    int hosts = 12;
    int endpoints = 13;
    std::uint32_t slots = 6;
    double requestsPerSecond = 51;
    double work = 0.37; //!< mean
    double badShare = 0.3; //!< of the endpoints, drawn anew
    double spell = 9; //!< between two draws of an endpoint
    double failuresWhenBad = 0.85;
    double failuresWhenSound = 0.012;
    double noteDelay = 0.1;
    bool isRepeatable = false;
    double duration = 600;
    std::uint64_t seed = 1;
};

struct GrayResult
{
    int requests = 0;
    int failed = 0; //!< by an endpoint
    double meanLatency = 0; //!< of answers, seconds

    double failedShare() const
    {
        return static_cast<double>(this->failed) / this->requests;
    }
};

/** Plays @p scenario on virtual time with one EndpointSelector for each host. */
GrayResult playGrayScenario(const GrayScenario &scenario, const SelectionPolicy &model);

} // namespace damaskgate::upstreams
