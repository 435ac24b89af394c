#pragma once

#include <functional>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::limits {

/** Admits or refuses requests by the fleet-wide rate and burst of their workspace. */
class IAdmission
{
public:
    using Done = std::function<void(core::Result<void>)>;

    virtual ~IAdmission() = default;

    /**
     * Admits one request of @p workspace if its rate and burst allow it.
     *
     * @param workspace workspace of the key that the request carries
     * @param deadline time after which the caller no longer needs the decision
     * @param done called exactly once on the data thread, possibly before admit() returns; receives
     *        RateLimited or LimiterUnavailable, with verdict NotRun, when the request is refused
     */
    virtual void admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done) = 0;
};

} // namespace damaskgate::limits
