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

    /** Counts a request that another host let in for the workspace @p tag, a core::nameHash(). */
    void takeRemote(std::uint32_t tag);

    /** Tells which part of the fleet this host hears, above 0 and at most 1. */
    void setShare(double share);

    void admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done) override;

private:
    struct Account
    {
        SharedBucket bucket;
        bool isLimited = false;
    };

    const core::IClock &clock;
    double share = 1;
    std::map<core::WorkspaceName, Account> accounts;
    std::map<std::uint32_t, core::WorkspaceName> namesByTag;
};

} // namespace damaskgate::limits
