#pragma once

#include "damaskgate/load/experiment.h"
#include "damaskgate/load/report.h"

namespace damaskgate::load {

enum class RunMode {
    ThroughFleet, //!< look-up, then the named entries
    Direct, //!< straight to the endpoints of each route's service
};

/**
 * Runs @p experiment to its end on the calling thread.
 *
 * @return what its requests met
 */
RunReport runExperiment(const Experiment &experiment, RunMode mode);

} // namespace damaskgate::load
