#pragma once

#include <cstdint>
#include <map>

#include "damaskgate/core/time.h"
#include "damaskgate/limits/iadmission.h"
#include "damaskgate/limits/sharedbucket.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::limits {

/**
 * Limits each workspace to its rate and burst over all hosts without a coordinator.
 *
 * Every host keeps a SharedBucket for each workspace. The class is not thread-safe.
 */
class SharedAdmission final : public IAdmission
{
public:
    explicit SharedAdmission(const core::IClock &clock);

    void applySettings(const settings::Settings &settings);

    /**
     * Counts a request that another host admitted.
     *
     * @param nameHash core::nameHash() of the workspace's name; an unknown value is ignored
     */
    void consumeRemote(std::uint32_t nameHash);

    /** Sets the fraction of the fleet's hosts that this host can reach, above 0 and at most 1. */
    void setReachableFraction(double reachableFraction);

    void admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done) override;

private:
    struct WorkspaceBucket
    {
        SharedBucket bucket;
        bool isLimited = false; //!< false for a workspace with rate 0: every request is admitted
    };

    const core::IClock &clock;
    double reachableFraction = 1;
    std::map<core::WorkspaceName, WorkspaceBucket> buckets;
    std::map<std::uint32_t, core::WorkspaceName> namesByHash;
};

} // namespace damaskgate::limits
