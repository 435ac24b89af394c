#pragma once

#include "damaskgate/limits/iadmission.h"

namespace damaskgate::daemon {

/** Admits everything; stands in until the limiter is wired. */
class OpenAdmission final : public limits::IAdmission
{
public:
    void admit(const core::WorkspaceName & /*workspace*/, core::Instant /*deadline*/,
               Done done) override
    {
        done({});
    }
};

} // namespace damaskgate::daemon
