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
      slots({ self, incarnation }, dependencies.clock, dependencies.network, this->owners,
            dependencies.events, dependencies.data.balancer(), executorsOf(dependencies)),
      balancer(dependencies.data.balancer()), slotTimer(dependencies.context),
      reportTimer(dependencies.context)
{
    this->balancer.setObserver(&this->collector);
    this->monitor.setReadmissionListener(
        [this](const core::ServiceName &service, const core::EndpointName &endpoint) {
            this->slots.onReadmitted(service, endpoint);
        });
}

UpstreamPlane::~UpstreamPlane()
{
    this->balancer.setObserver(nullptr);
}

void UpstreamPlane::start()
{
    this->scheduleSlots();
    this->scheduleReports();
}

void UpstreamPlane::stop()
{
    this->slotTimer.cancel();
    this->reportTimer.cancel();
}

void UpstreamPlane::applySettings(const settings::SettingsPtr &settings)
{
    this->monitor.applySettings(settings);
    this->slots.applySettings(settings);
}

void UpstreamPlane::scheduleSlots()
{
    this->slotTimer.expires_after(balance::ReportInterval);
    this->slotTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->slots.tick();
            this->scheduleSlots();
        }
    });
}

void UpstreamPlane::scheduleReports()
{
    this->reportTimer.expires_after(health::ReportInterval);
    this->reportTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->monitor.tick();
            this->scheduleReports();
        }
    });
}

} // namespace damaskgate::daemon
