#include "servingstate.h"

namespace damaskgate::gateway {

namespace {

// A starting host reads settings and endpoints in less time than this.
constexpr std::chrono::milliseconds StartupRetryAfter { 250 };

} // namespace

ServingState::ServingState(const settings::ISettingsStore &store,
                           const upstreams::EndpointSelector &selector)
    : store(store), selector(selector)
{}

core::Result<void> ServingState::checkServing() const
{
    if (!this->store.current() || !this->selector.hasEndpointList()) {
        return tl::unexpected(core::Error { core::Reason::SettingsStale, core::Verdict::NotRun,
                                            "settings or endpoints have not been read yet",
                                            StartupRetryAfter });
    }
    return {};
}

void ServingState::startLeaving()
{
    this->wasLeaveRequested = true;
}

bool ServingState::isLeaving() const
{
    return this->wasLeaveRequested;
}

bool ServingState::isReady() const
{
    return !this->wasLeaveRequested && this->checkServing().has_value();
}

} // namespace damaskgate::gateway
