#include "damaskgate/routing/routetable.h"

#include <mutex>
#include <utility>

namespace damaskgate::routing {

struct RouteTable::SharedIndex
{
    void replace(RouteIndexPtr next)
    {
        const std::lock_guard lock(this->mutex);
        this->index = std::move(next);
    }

    std::mutex mutex;
    RouteIndexPtr index;
};

RouteTable::RouteTable(settings::ISettingsStore &store)
    : sharedIndex(std::make_shared<SharedIndex>())
{
    // The store keeps the listener after the table is destroyed, so the listener owns a reference
    // to the shared index and does not access the table.
    store.addListener([sharedIndex = this->sharedIndex](const settings::SettingsPtr &settings) {
        sharedIndex->replace(std::make_shared<const RouteIndex>(settings));
    });
    const std::lock_guard lock(this->sharedIndex->mutex);
    if (!this->sharedIndex->index) {
        this->sharedIndex->index = std::make_shared<const RouteIndex>(store.current());
    }
}

RouteIndexPtr RouteTable::current() const
{
    const std::lock_guard lock(this->sharedIndex->mutex);
    return this->sharedIndex->index;
}

} // namespace damaskgate::routing
