#pragma once

#include <cstdint>
#include <queue>
#include <random>
#include <vector>

#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::upstreams {

/** A service whose endpoints have fault episodes, and its hosts. Times are in seconds. */
struct GrayScenario
{
    int hosts = 12;
    int endpoints = 13;
    std::uint32_t slots = 6;
    double requestsPerSecond = 51;
    double work = 0.37; //!< mean time to serve a request
    double faultyFraction = 0.3; //!< probability that an endpoint is drawn as faulty
    double redrawInterval = 9; //!< time between two draws of an endpoint's state
    double failureRateWhenFaulty = 0.85;
    double failureRateWhenHealthy = 0.012;
    double gossipDelay = 0.1;
    bool isRepeatable = false;
    double duration = 600;
    std::uint64_t seed = 1;
};

struct GrayResult
{
    int requests = 0;
    int failed = 0; //!< requests that failed or got no endpoint
    double meanLatency = 0; //!< of successful responses, in seconds

    double failedFraction() const
    {
        return static_cast<double>(this->failed) / this->requests;
    }
};

/** Runs @p scenario in virtual time with one EndpointSelector for each host. */
GrayResult runGrayScenario(const GrayScenario &scenario, const SelectionPolicy &policy);

} // namespace damaskgate::upstreams
