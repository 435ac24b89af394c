#include "servingstate.h"

namespace damaskgate::gateway {

ServingState::ServingState(const settings::ISettingsStore &store,
                           const upstreams::EndpointBook &book)
    : store(store), book(book)
{}

core::Result<void> ServingState::checkServing() const
{
    if (!this->store.current() || !this->book.isFilled()) {
        return core::notRun(core::Reason::SettingsStale, "no settings have been read yet");
    }
    return {};
}

void ServingState::leave()
{
    this->hasLeft = true;
}

bool ServingState::isLeaving() const
{
    return this->hasLeft;
}

bool ServingState::isReady() const
{
    return !this->hasLeft && this->checkServing().has_value();
}

} // namespace damaskgate::gateway
