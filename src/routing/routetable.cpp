#include "damaskgate/routing/routetable.h"

#include <mutex>
#include <utility>

namespace damaskgate::routing {

struct RouteTable::Slot
{
    void replace(RouteIndexPtr next)
    {
        const std::lock_guard lock(this->mutex);
        this->index = std::move(next);
    }

    std::mutex mutex;
    RouteIndexPtr index;
};

RouteTable::RouteTable(settings::ISettingsStore &store) : slot(std::make_shared<Slot>())
{
    // A listener lives as long as the store, so that it holds the slot and not the table.
    store.addListener([slot = this->slot](const settings::SettingsPtr &settings) {
        slot->replace(std::make_shared<const RouteIndex>(settings));
    });
    const std::lock_guard lock(this->slot->mutex);
    if (!this->slot->index) {
        this->slot->index = std::make_shared<const RouteIndex>(store.current());
    }
}

RouteIndexPtr RouteTable::current() const
{
    const std::lock_guard lock(this->slot->mutex);
    return this->slot->index;
}

} // namespace damaskgate::routing
