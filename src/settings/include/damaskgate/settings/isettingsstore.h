#pragma once

#include <functional>

#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Provides the settings in force. Thread-safe. */
class ISettingsStore
{
public:
    using Listener = std::function<void(const SettingsPtr &)>;

    virtual ~ISettingsStore() = default;

    /** @return the settings in force, or null before the first revision is accepted. */
    virtual SettingsPtr current() const = 0;

    /**
     * Registers @p listener, which is called after each change on the thread that made the change.
     * Listeners are added during start-up and stay registered for the lifetime of the store.
     */
    virtual void addListener(Listener listener) = 0;
};

} // namespace damaskgate::settings
