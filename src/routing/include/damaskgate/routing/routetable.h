#pragma once

#include <memory>

#include "damaskgate/settings/isettingsstore.h"

#include "damaskgate/routing/routeindex.h"

namespace damaskgate::routing {

/** Holds the index of the settings in force and replaces it when they change. */
class RouteTable
{
public:
    explicit RouteTable(settings::ISettingsStore &store);

    /** @return the index in force, never null. Safe to call from any thread. */
    RouteIndexPtr current() const;

private:
    struct Slot;
    std::shared_ptr<Slot> slot;
};

} // namespace damaskgate::routing
