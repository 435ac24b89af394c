#include "damaskgate/requestlog/requestrecorder.h"

#include <algorithm>
#include <chrono>

namespace damaskgate::requestlog {

namespace {

double toSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RequestRecorder::RequestRecorder(metrics::Registry &registry, core::IEventSink &events)
    : registry(registry), events(events),
      cancelled(registry.counter("damaskgate_requests_cancelled_total",
                                 "Requests whose caller left before the whole answer")),
      abandonedAttempts(registry.counter("damaskgate_attempts_abandoned_total",
                                         "Attempts that this host ended before their response")),
      abandonedRequests(
          registry.counter("damaskgate_requests_abandoned_total",
                           "Requests refused by this host after it had ended an attempt"))
{}

void RequestRecorder::onRequestFinished(const entry::RequestRecord &record)
{
    if (record.isCancelled) {
        this->cancelled.add();
    }
    this->abandonedAttempts.add(record.abandonedAttempts);
    if (record.reason) {
        this->recordRefusal(record);
        return;
    }
    ServiceMetrics &service = this->metricsForService(record.service);
    service.answered->add();
    service.total->record(toSeconds(record.total));
    service.queued->record(toSeconds(record.queued));
    service.added->record(
        toSeconds(std::max(record.total - record.upstream, core::Duration::zero())));
}

RequestRecorder::ServiceMetrics &
RequestRecorder::metricsForService(const core::ServiceName &service)
{
    ServiceMetrics &metrics = this->services[service];
    if (metrics.answered == nullptr) {
        const metrics::Labels labels { { "service", service.text() } };
        metrics.answered = &this->registry.counter("damaskgate_requests_answered_total",
                                                   "Requests answered by an upstream", labels);
        metrics.total = &this->registry.histogram(
            "damaskgate_request_seconds", "Time from the whole header to the answer's end", labels);
        metrics.queued = &this->registry.histogram("damaskgate_request_queue_seconds",
                                                   "Time spent waiting for an endpoint", labels);
        metrics.added =
            &this->registry.histogram("damaskgate_request_added_seconds",
                                      "Time beyond that of the upstream exchange", labels);
    }
    return metrics;
}

void RequestRecorder::recordRefusal(const entry::RequestRecord &record)
{
    const std::string_view reason = core::toText(*record.reason);
    const std::string_view verdict = core::toText(record.verdict);
    this->registry
        .counter("damaskgate_requests_refused_total", "Requests refused by this host",
                 { { "reason", std::string(reason) }, { "verdict", std::string(verdict) } })
        .add();
    if (record.abandonedAttempts > 0) {
        this->abandonedRequests.add();
    }
    this->events.record({ "request-refused",
                          { { "trace", record.traceId },
                            { "workspace", record.workspace.text() },
                            { "route", record.route.text() },
                            { "reason", reason },
                            { "verdict", verdict },
                            { "status", record.status } } });
}

} // namespace damaskgate::requestlog
