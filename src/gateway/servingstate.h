#pragma once

#include "damaskgate/entry/iservinggate.h"
#include "damaskgate/settings/isettingsstore.h"
#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::gateway {

/**
 * Decides whether this host can serve requests (settings and endpoints have been read) and whether
 * callers should be sent to it (it is not leaving either).
 */
class ServingState final : public entry::IServingGate
{
public:
    ServingState(const settings::ISettingsStore &store,
                 const upstreams::EndpointSelector &selector);

    core::Result<void> checkServing() const override;

    /** Marks this host as not ready because it stops soon; it continues to serve requests. */
    void startLeaving();

    bool isLeaving() const;

    /** @return whether callers should be sent to this host. */
    bool isReady() const;

private:
    const settings::ISettingsStore &store;
    const upstreams::EndpointSelector &selector;
    bool wasLeaveRequested = false;
};

} // namespace damaskgate::gateway
