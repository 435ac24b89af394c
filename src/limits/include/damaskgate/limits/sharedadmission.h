#pragma once

#include <cstdint>
#include <map>

#include "damaskgate/core/time.h"
#include "damaskgate/limits/iadmission.h"
#include "damaskgate/limits/sharedbucket.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::limits {

/**
 * Holds each workspace within its rate and burst over all hosts without a coordinator: every host
 * keeps a SharedBucket of each workspace. Used on one thread.
 */
class SharedAdmission final : public IAdmission
{
public:
    explicit SharedAdmission(const core::IClock &clock);

    void applySettings(const settings::Settings &settings);

    /** Counts a request that another host let in for the workspace @p tag, a core::tagOf(). */
    void consumeRemote(std::uint32_t nameHash);

    /** Tells which part of the fleet this host hears, above 0 and at most 1. */
    void setReachableFraction(double reachableFraction);

    void admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done) override;

private:
    struct WorkspaceBucket
    {
        SharedBucket bucket;
        bool isLimited = false;
    };

    const core::IClock &clock;
    double reachableFraction = 1;
    std::map<core::WorkspaceName, WorkspaceBucket> buckets;
    std::map<std::uint32_t, core::WorkspaceName> namesByHash;
};

} // namespace damaskgate::limits
