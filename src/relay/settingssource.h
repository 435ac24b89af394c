#pragma once

#include "damaskgate/settings/settingsstore.h"

#include "relay.capnp.h"

namespace damaskgate::relay {

/** RPC server that provides the settings bundle in force to other hosts. */
class SettingsSource final : public wire::SettingsSource::Server
{
public:
    explicit SettingsSource(const settings::SettingsStore &store);

    kj::Promise<void> manifest(ManifestContext context) override;
    kj::Promise<void> branches(BranchesContext context) override;

private:
    const settings::SettingsStore &store;
};

} // namespace damaskgate::relay
