#include "damaskgate/upstreams/fleetbalancer.h"

#include <chrono>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::upstreams {

namespace {

constexpr std::chrono::milliseconds NoEndpointRetryAfter { 500 }; // a registration may come soon

enum class NoteKind : std::uint8_t {
    Started = 1, //!< the first attempt of a request
    Repeated = 2, //!< a further attempt of a request
    Ended = 3, //!< amount is the outcome
    Refused = 5, //!< a host refused a request; the subject is the service
    Redirected = 4, //!< a further attempt of a request that no endpoint has got yet
    RetrialEnded = 6, //!< as Ended, of a request that tried a suspect
};

constexpr int LateFactor = 3; // times the usual time
constexpr std::chrono::milliseconds LateMargin { 50 }; // beyond it
constexpr std::uint32_t PlainAttemptsPerLine = 16;
constexpr std::uint16_t LastOutcome = static_cast<std::uint16_t>(balance::Outcome::Cancelled);

} // namespace

FleetBalancer::FleetBalancer(const Dependencies &dependencies) : dependencies(dependencies)
{
    this->dependencies.notes.addListener([this](const fleet::Note &note) { this->onNote(note); });
}

std::uint64_t FleetBalancer::acquire(const balance::WorkRequest &request, Done done)
{
    const core::Instant now = this->dependencies.clock.now();
    auto choice = this->dependencies.book.choose(request, now);
    if (!choice) {
        core::Error error { core::Reason::NoEndpoint, core::Verdict::NotRun,
                            "no endpoint of the service may take it", NoEndpointRetryAfter };
        done(tl::unexpected(std::move(error)));
        return 0;
    }
    const std::uint32_t tag = choice->tag;
    choice->grant.id = ++this->lastGrant;
    if (const auto usual = this->dependencies.book.usualLatency(request)) {
        choice->grant.lateThreshold = *usual * LateFactor + LateMargin;
    }
    const std::uint64_t id = choice->grant.id;
    this->held.emplace(id, Held { request, *choice });
    this->dependencies.book.onStarted(tag, 0, now);
    const bool isFurther = !request.excluded.empty();
    const std::uint32_t account =
        isFurther || request.workspace.isEmpty() ? 0 : core::tagOf(request.workspace.text());
    const NoteKind kind = request.isRetry ? NoteKind::Repeated
        : isFurther                       ? NoteKind::Redirected
                                          : NoteKind::Started;
    this->dependencies.notes.publish({ static_cast<std::uint8_t>(kind), 0, tag, account, 0 });
    done(std::move(choice->grant));
    return 0;
}

void FleetBalancer::cancel(std::uint64_t /*requestId*/) {}

void FleetBalancer::release(std::uint64_t grantId, const balance::ExchangeReport &report)
{
    const auto found = this->held.find(grantId);
    if (found == this->held.end()) {
        return;
    }
    const Held attempt = std::move(found->second);
    this->held.erase(found);
    const std::uint32_t tag = attempt.choice.tag;
    this->report(attempt, report);
    if (report.outcome == balance::Outcome::Answered) {
        this->dependencies.book.onLatency(attempt.request, report.latency);
    }
    const balance::Outcome outcome = this->judge(attempt, report);
    const bool isRetrial = attempt.choice.isRetrial;
    this->dependencies.book.onEnded(tag, 0, outcome, this->dependencies.clock.now(), isRetrial);
    const NoteKind kind = isRetrial ? NoteKind::RetrialEnded : NoteKind::Ended;
    this->dependencies.notes.publish(
        { static_cast<std::uint8_t>(kind), static_cast<std::uint16_t>(outcome), tag, 0, 0 });
}

void FleetBalancer::onRefused(const core::ServiceName &service)
{
    this->dependencies.book.onUnserved(service, this->dependencies.clock.now());
    this->dependencies.notes.publish(
        { static_cast<std::uint8_t>(NoteKind::Refused), 0, core::tagOf(service.text()), 0, 0 });
}

// A time-out says something of the endpoint only after much more than the service's usual time.
balance::Outcome FleetBalancer::judge(const Held &attempt,
                                      const balance::ExchangeReport &report) const
{
    if (report.outcome != balance::Outcome::Timeout) {
        return report.outcome;
    }
    const auto usual = this->dependencies.book.usualLatency(attempt.request);
    return usual && report.latency > *usual * LateFactor ? balance::Outcome::Timeout
                                                         : balance::Outcome::Cancelled;
}

// Attempts that end well are sampled by the trace, so that all hosts keep the same ones.
void FleetBalancer::report(const Held &attempt, const balance::ExchangeReport &report)
{
    const bool isPlain =
        report.outcome == balance::Outcome::Answered && attempt.request.excluded.empty();
    if (isPlain && core::tagOf(attempt.request.traceId) % PlainAttemptsPerLine != 0) {
        return;
    }
    const auto latency = std::chrono::duration_cast<std::chrono::milliseconds>(report.latency);
    this->dependencies.events.record({ "attempt-ended",
                                       { { "trace", attempt.request.traceId },
                                         { "service", attempt.choice.grant.service.text() },
                                         { "endpoint", attempt.choice.grant.endpoint.name.text() },
                                         { "outcome", balance::toText(report.outcome) },
                                         { "first_byte_ms", latency.count() },
                                         { "attempt", attempt.request.excluded.size() + 1 },
                                         { "badness", attempt.choice.badness },
                                         { "evidence_age_ms", attempt.choice.evidenceAge.count() },
                                         { "in_flight", attempt.choice.inFlight },
                                         { "retrial", attempt.choice.isRetrial } } });
}

void FleetBalancer::onNote(const fleet::Note &note)
{
    switch (static_cast<NoteKind>(note.kind)) {
    case NoteKind::Started:
        this->onRemoteStart(note, false);
        return;
    case NoteKind::Repeated:
        this->onRemoteStart(note, true);
        return;
    case NoteKind::Refused:
        this->onRemoteRefusal(note.subject);
        return;
    case NoteKind::Redirected:
        this->dependencies.book.onStarted(note.subject, note.origin,
                                          this->dependencies.clock.now());
        return;
    case NoteKind::Ended:
    case NoteKind::RetrialEnded:
        if (note.amount <= LastOutcome) {
            this->dependencies.book.onEnded(
                note.subject, note.origin, static_cast<balance::Outcome>(note.amount),
                this->dependencies.clock.now(),
                static_cast<NoteKind>(note.kind) == NoteKind::RetrialEnded);
        }
        return;
    }
}

void FleetBalancer::onRemoteRefusal(std::uint32_t serviceTag)
{
    const auto service = this->dependencies.book.findService(serviceTag);
    if (service) {
        this->dependencies.book.onUnserved(*service, this->dependencies.clock.now());
    }
}

void FleetBalancer::onRemoteStart(const fleet::Note &note, bool isRetry)
{
    this->dependencies.book.onStarted(note.subject, note.origin, this->dependencies.clock.now());
    if (note.account != 0) {
        this->dependencies.admission.takeRemote(note.account);
    }
    const auto service = this->dependencies.book.serviceOf(note.subject);
    if (!service) {
        return;
    }
    if (isRetry) {
        this->dependencies.retries.takeRemote(*service);
    } else {
        this->dependencies.retries.onRequest(*service);
    }
}

} // namespace damaskgate::upstreams
