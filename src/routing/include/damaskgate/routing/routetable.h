#pragma once

#include <memory>

#include "damaskgate/settings/isettingsstore.h"

#include "damaskgate/routing/routeindex.h"

namespace damaskgate::routing {

/** Holds the index of the current settings and replaces it when they change. */
class RouteTable
{
public:
    explicit RouteTable(settings::ISettingsStore &store);

    /** @return the current index, never null. Thread-safe. */
    RouteIndexPtr current() const;

private:
    struct SharedIndex;
    std::shared_ptr<SharedIndex> sharedIndex;
};

} // namespace damaskgate::routing
