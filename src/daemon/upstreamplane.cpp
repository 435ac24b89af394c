#include "upstreamplane.h"

#include <functional>
#include <utility>

#include <boost/asio/post.hpp>

namespace damaskgate::daemon {

namespace {

balance::Executors executorsOf(const UpstreamPlane::Dependencies &dependencies)
{
    DataPlane &data = dependencies.data;
    boost::asio::io_context &control = dependencies.context;
    return balance::Executors {
        [&data](std::function<void()> task) { data.post(std::move(task)); },
        [&control](std::function<void()> task) { boost::asio::post(control, std::move(task)); },
    };
}

} // namespace

UpstreamPlane::UpstreamPlane(const Dependencies &dependencies, const core::HostName &self,
                             std::uint64_t incarnation)
    : owners(incarnation, dependencies.leases),
      monitor(self, incarnation, dependencies.clock, dependencies.network, this->owners,
              dependencies.events, dependencies.data.balancer(), this->collector,
              executorsOf(dependencies)),
      slotCoordinator({ self, incarnation }, dependencies.clock, dependencies.network, this->owners,
                      dependencies.events, dependencies.data.balancer(), executorsOf(dependencies)),
      balancer(dependencies.data.balancer()), slotTimer(dependencies.context),
      healthTimer(dependencies.context)
{
    this->balancer.setObserver(&this->collector);
    this->monitor.setReadmissionListener(
        [this](const core::ServiceName &service, const core::EndpointName &endpoint) {
            this->slotCoordinator.onReadmitted(service, endpoint);
        });
}

UpstreamPlane::~UpstreamPlane()
{
    this->balancer.setObserver(nullptr);
}

void UpstreamPlane::start()
{
    this->scheduleSlotTick();
    this->scheduleHealthTick();
}

void UpstreamPlane::stop()
{
    this->slotTimer.cancel();
    this->healthTimer.cancel();
}

void UpstreamPlane::applySettings(const settings::SettingsPtr &settings)
{
    this->monitor.applySettings(settings);
    this->slotCoordinator.applySettings(settings);
}

void UpstreamPlane::scheduleSlotTick()
{
    this->slotTimer.expires_after(balance::ReportInterval);
    this->slotTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->slotCoordinator.tick();
            this->scheduleSlotTick();
        }
    });
}

void UpstreamPlane::scheduleHealthTick()
{
    this->healthTimer.expires_after(health::ReportInterval);
    this->healthTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->monitor.tick();
            this->scheduleHealthTick();
        }
    });
}

} // namespace damaskgate::daemon
