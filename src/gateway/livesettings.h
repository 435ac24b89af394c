#pragma once

#include <vector>

#include "damaskgate/settings/isettingsstore.h"

namespace damaskgate::gateway {

/** Holds the settings in force on this host. Used on one thread. */
class LiveSettings final : public settings::ISettingsStore
{
public:
    settings::SettingsPtr current() const override;
    void addListener(Listener listener) override;

    /**
     * Puts @p next into force if its revision is later than the current one, and notifies the
     * listeners.
     *
     * @return whether the settings were replaced
     */
    bool replace(settings::Settings next);

private:
    settings::SettingsPtr settings;
    std::vector<Listener> listeners;
};

} // namespace damaskgate::gateway
