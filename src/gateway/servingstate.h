#pragma once

#include "damaskgate/entry/iservinggate.h"
#include "damaskgate/settings/isettingsstore.h"
#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::gateway {

/** Tells whether this host knows enough to serve, and whether callers should come to it. */
class ServingState final : public entry::IServingGate
{
public:
    ServingState(const settings::ISettingsStore &store, const upstreams::EndpointSelector &book);

    core::Result<void> checkServing() const override;

    /** Notes that this host ends soon. */
    void leave();

    bool isLeaving() const;

    /** @return whether callers should come to this host. */
    bool isReady() const;

private:
    const settings::ISettingsStore &store;
    const upstreams::EndpointSelector &book;
    bool hasLeft = false;
};

} // namespace damaskgate::gateway
