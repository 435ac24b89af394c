#pragma once

#include <map>
#include <string>

#include "damaskgate/core/event.h"
#include "damaskgate/entry/irequestobserver.h"
#include "damaskgate/metrics/registry.h"

namespace damaskgate::requestlog {

/**
 * Records every finished request in the metrics, and every refusal as an event. Used on the data
 * thread.
 */
class RequestRecorder final : public entry::IRequestObserver
{
public:
    RequestRecorder(metrics::Registry &registry, core::IEventSink &events);

    void onRequestFinished(const entry::RequestRecord &record) override;

private:
    struct ServiceMetrics
    {
        metrics::Counter *answered = nullptr;
        metrics::Histogram *total = nullptr;
        metrics::Histogram *queued = nullptr;
        metrics::Histogram *added = nullptr; //!< total time minus upstream time
    };

    ServiceMetrics &metricsForService(const core::ServiceName &service);
    void recordRefusal(const entry::RequestRecord &record);

    metrics::Registry &registry;
    core::IEventSink &events;
    metrics::Counter &cancelled;
    metrics::Counter &abandonedAttempts;
    metrics::Counter &abandonedRequests;
    std::map<core::ServiceName, ServiceMetrics> services;
};

} // namespace damaskgate::requestlog
