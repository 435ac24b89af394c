#pragma once

#include "damaskgate/load/experiment.h"
#include "damaskgate/load/report.h"

namespace damaskgate::load {

enum class RunMode {
    ThroughFleet, //!< callers look up entry hosts and send requests to them
    Direct, //!< callers send requests directly to the endpoints of each route's service
};

/**
 * Runs @p experiment to its end on the calling thread.
 *
 * @return the results of its requests
 */
RunReport runExperiment(const Experiment &experiment, RunMode mode);

} // namespace damaskgate::load
