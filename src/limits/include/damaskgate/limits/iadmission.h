#pragma once

#include <functional>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::limits {

/** Decides whether a workspace may have one more request, counted over the whole fleet. */
class IAdmission
{
public:
    using Done = std::function<void(core::Result<void>)>;

    virtual ~IAdmission() = default;

    /**
     * Takes one request from the rate and burst of @p workspace.
     *
     * @param workspace whose key came with the request
     * @param deadline until when the decision is of use
     * @param done called exactly once on the data thread, possibly before this returns; fails with
     *        RateLimited or LimiterUnavailable, always NotRun
     */
    virtual void admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done) = 0;
};

} // namespace damaskgate::limits
