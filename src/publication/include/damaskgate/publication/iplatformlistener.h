#pragma once

#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::publication {

/** Learns what the platform told, as evidence that settings in force are fresh. */
class IPlatformListener
{
public:
    virtual ~IPlatformListener() = default;

    /**
     * Called on the control thread when the platform confirmed the revision in force or a higher
     * one. Answers with a lower revision come from a stale replica and are not reported.
     *
     * @param sentAt when the request that was answered was sent
     */
    virtual void onPlatformAnswered(core::Instant sentAt) = 0;
};

} // namespace damaskgate::publication
