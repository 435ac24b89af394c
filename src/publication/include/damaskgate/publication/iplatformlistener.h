#pragma once

#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::publication {

/** Is notified when the platform confirms that the settings in force are up to date. */
class IPlatformListener
{
public:
    virtual ~IPlatformListener() = default;

    /**
     * Called on the control thread when a response of the platform contained the revision in force
     * or a higher one. A response with a lower revision comes from a stale replica and is not
     * reported.
     *
     * @param sentAt time at which the request was sent
     */
    virtual void onPlatformAnswered(core::Instant sentAt) = 0;
};

} // namespace damaskgate::publication
