#pragma once

#include <functional>

#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Holds the settings in force. Safe to call from any thread. */
class ISettingsStore
{
public:
    using Listener = std::function<void(const SettingsPtr &)>;

    virtual ~ISettingsStore() = default;

    /** @return the settings in force, or null before the first have been accepted. */
    virtual SettingsPtr current() const = 0;

    /**
     * Calls @p listener after each change, on the thread that made the change.
     * Listeners are added while the process starts and live as long as the store.
     */
    virtual void addListener(Listener listener) = 0;
};

} // namespace damaskgate::settings
