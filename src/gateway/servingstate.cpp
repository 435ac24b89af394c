#include "servingstate.h"

namespace damaskgate::gateway {

namespace {

constexpr std::chrono::milliseconds StartRetryAfter { 250 }; // a host that starts reads in less

} // namespace

ServingState::ServingState(const settings::ISettingsStore &store,
                           const upstreams::EndpointSelector &book)
    : store(store), book(book)
{}

core::Result<void> ServingState::checkServing() const
{
    if (!this->store.current() || !this->book.hasEndpointList()) {
        return tl::unexpected(core::Error { core::Reason::SettingsStale, core::Verdict::NotRun,
                                            "no settings have been read yet", StartRetryAfter });
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
