#include "damaskgate/upstreams/endpointselector.h"

#include <algorithm>
#include <array>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::upstreams {

namespace {

// Costs are relative to a failed request, which costs 1.

// Bonus for the first request to a new endpoint, which shows early whether it adds capacity. The
// bonus lasts longer than most endpoints stay cold.
constexpr double UnusedBonus = 0.1;
constexpr core::Duration UnusedBonusTime = std::chrono::seconds(5);

// Cost of an endpoint that has shed a request within OverloadedTime.
constexpr double OverloadedCost = 0.6;

// Upper limit of the random cost that spreads hosts over equal endpoints if they choose at the same
// time.
constexpr double TieBreakRange = 0.06;

// The same where the choice itself spreads the hosts: it only decides among equal endpoints.
constexpr double SpreadTieBreakRange = 0.001;

// Cost of an endpoint at which requests stay twice as long as at the average of its service.
constexpr double SlownessCost = 0.15;

// Bonus of an endpoint to which this host holds an idle connection: as much as another failure
// domain costs.
constexpr double ReuseBonus = 0.06;

// Time after a failure at an endpoint in which none of its connections is preferred.
constexpr core::Duration NoReuseAfterFailure = std::chrono::seconds(10);

constexpr core::Duration OverloadedTime = std::chrono::milliseconds(300);

// Responses in the moving average of the latency, and the weight of its initial value in responses.
constexpr int LatencySamples = 16;
constexpr int LatencyPriorSamples = 2;

// The floor of endpoints in use is kept from this part of the failure rate on that demands it.
// Hosts learn of outcomes late, and failed probes and requests whose caller has left do not count
// there.
constexpr double FloorRateMargin = 0.7;

// Fraction of the requests sent to idle endpoints, per fraction of the endpoints that are idle.
constexpr double FloorFractionFactor = 3;

// Time for which the announcement of an endpoint that is no longer registered is remembered.
constexpr core::Duration LeavingMemory = std::chrono::minutes(5);

// A shed request is weaker evidence of a fault than a failed one.
constexpr double ShedEvidenceWeight = 0.3;

// Returns whether the endpoint issued registration before held.
bool isOlder(const RegisteredEndpoint &registration, const RegisteredEndpoint &held)
{
    return std::pair(registration.startedAtMillis, registration.sequence)
        < std::pair(held.startedAtMillis, held.sequence);
}

// Returns the value that stands for a start of an endpoint in gossip items.
std::uint32_t startStampOf(const RegisteredEndpoint &registration)
{
    return static_cast<std::uint32_t>(registration.startedAtMillis);
}

// Stamps are the low bits of a time, so they are compared by their distance.
bool isLaterStart(std::uint32_t stamp, std::uint32_t other)
{
    return static_cast<std::int32_t>(stamp - other) > 0;
}

} // namespace

std::string_view toText(EndpointChange::Kind kind)
{
    constexpr std::array<std::string_view, 7> Texts { "added",    "restarted", "leaving",  "gone",
                                                      "outdated", "returned",  "confirmed" };
    return Texts[static_cast<std::size_t>(kind)];
}

bool isFailure(balance::Outcome outcome)
{
    using balance::Outcome;
    return outcome == Outcome::ServerError || outcome == Outcome::ConnectFailed
        || outcome == Outcome::Timeout || outcome == Outcome::BrokenOff;
}

EndpointSelector::EndpointSelector(SelectionPolicy policy, core::DomainName domain,
                                   std::uint64_t seed)
    : policy(policy), domain(std::move(domain)), random(seed)
{}

void EndpointSelector::setServices(std::map<core::ServiceName, ServiceLimits> services)
{
    this->services = std::move(services);
    this->servicesByHash.clear();
    for (const auto &[name, serviceLimits] : this->services) {
        this->servicesByHash.emplace(core::nameHash(name.text()), name);
    }
}

void EndpointSelector::setHosts(const core::HostName &self, std::span<const core::HostName> others,
                                core::Instant now)
{
    if (!this->hosts.setHosts(self, others)) {
        return;
    }
    for (auto &[name, entry] : this->entries) {
        if (now < entry.coldUntil) {
            this->updateOwnColdBucket(entry, now);
        }
        this->updateRank(entry, now);
    }
}

void EndpointSelector::setRegistrationLapseTime(core::Duration lapseTime)
{
    this->policy.registrationLapseTime = lapseTime;
}

void EndpointSelector::setWithdrawnDomains(std::set<core::DomainName> domains)
{
    this->withdrawnDomains = std::move(domains);
}

std::vector<EndpointChange>
EndpointSelector::setEndpoints(std::span<const RegisteredEndpoint> endpoints, bool isSourceStable,
                               core::Instant now)
{
    this->isEndpointListSet = true;
    std::vector<EndpointChange> changes;
    std::set<core::EndpointName> listed;
    for (const RegisteredEndpoint &registration : endpoints) {
        listed.insert(registration.endpoint.name);
        if (const auto kind = this->applyRegistration(registration, isSourceStable, now)) {
            changes.push_back(
                { *kind, registration.endpoint.name, registration.service, registration.revision });
        }
    }
    const auto isGone = [this, &listed, isSourceStable, now, &changes](const auto &item) {
        const RegisteredEndpoint &registration = item.second.registration;
        const bool isKept =
            !isSourceStable && !registration.isLeaving && !item.second.hasAnnouncedLeaving;
        if (listed.contains(item.first) || isKept) {
            return false;
        }
        changes.push_back({ EndpointChange::Kind::Gone, item.first, registration.service,
                            registration.revision });
        this->departures.add({ item.second.nameHash, startStampOf(registration) }, now);
        return true;
    };
    std::erase_if(this->entries, isGone);
    this->departures.forgetOld(now);
    this->entriesByHash.clear();
    for (auto &[name, entry] : this->entries) {
        this->entriesByHash.emplace(entry.nameHash, &entry);
    }
    this->forgetLeavingStarts(now);
    return changes;
}

std::optional<EndpointChange::Kind>
EndpointSelector::applyRegistration(const RegisteredEndpoint &registration, bool isSourceStable,
                                    core::Instant now)
{
    const auto found = this->entries.find(registration.endpoint.name);
    const bool isKnown = found != this->entries.end();
    if (isKnown && registration.revision == found->second.registration.revision) {
        return std::nullopt;
    }
    if (isKnown && registration.startedAtMillis <= found->second.registration.startedAtMillis) {
        return this->applyNextReport(found->second, registration, isSourceStable, now);
    }
    const EndpointChange::Kind kind = this->addEntry(registration, now);
    return isKnown ? EndpointChange::Kind::Restarted : kind;
}

// Applies a report of the known start of an endpoint, or of an earlier one.
std::optional<EndpointChange::Kind>
EndpointSelector::applyNextReport(Entry &entry, const RegisteredEndpoint &registration,
                                  bool isSourceStable, core::Instant now)
{
    using Kind = EndpointChange::Kind;
    RegisteredEndpoint &held = entry.registration;
    // The registration was removed and created again between two lists.
    const bool wasRemoved = isSourceStable && held.createdRevision != 0
        && registration.createdRevision > held.createdRevision;
    if (wasRemoved) {
        this->departures.add({ entry.nameHash, startStampOf(held) }, now);
        this->awaitConfirmation(entry, now);
    } else if (entry.isReturnUnconfirmed) {
        this->returnConfirmations.at(registration.endpoint.name).onReport(now);
    }
    if (isOlder(registration, held)) {
        // Stores the revisions so that the outdated registration is reported only once.
        held.revision = registration.revision;
        held.createdRevision = registration.createdRevision;
        return wasRemoved ? Kind::Returned : Kind::Outdated;
    }
    const bool wasLeaving = held.isLeaving;
    held = registration;
    entry.hasAnnouncedLeaving = this->hasAnnouncedLeaving(registration);
    this->applyColdTime(entry, now);
    if (wasRemoved) {
        return Kind::Returned;
    }
    return registration.isLeaving && !wasLeaving ? std::optional(Kind::Leaving) : std::nullopt;
}

EndpointChange::Kind EndpointSelector::addEntry(const RegisteredEndpoint &registration,
                                                core::Instant now)
{
    const std::uint32_t nameHash = core::nameHash(registration.endpoint.name.text());
    const FaultEstimator initialEstimator(this->policy.faultModel, now);
    Entry added { registration, nameHash, initialEstimator, {}, {}, {}, {}, {}, {}, now };
    Entry &entry =
        this->entries.insert_or_assign(registration.endpoint.name, std::move(added)).first->second;
    entry.hasAnnouncedLeaving = this->hasAnnouncedLeaving(registration);
    this->applyColdTime(entry, now);
    if (!this->departures.contains(nameHash, startStampOf(registration), now)) {
        return EndpointChange::Kind::Added;
    }
    this->awaitConfirmation(entry, now);
    return EndpointChange::Kind::Returned;
}

void EndpointSelector::awaitConfirmation(Entry &entry, core::Instant now)
{
    entry.isReturnUnconfirmed = true;
    entry.isReturnConfirmed = false;
    this->returnConfirmations.insert_or_assign(
        entry.registration.endpoint.name,
        ReturnConfirmation(this->policy.registrationLapseTime, now));
}

std::vector<EndpointChange> EndpointSelector::confirmReturns(core::Instant now)
{
    std::vector<EndpointChange> changes;
    std::erase_if(this->returnConfirmations, [this, now, &changes](const auto &item) {
        const auto &[name, confirmation] = item;
        const auto found = this->entries.find(name);
        if (found == this->entries.end() || !found->second.isReturnUnconfirmed) {
            return true;
        }
        if (!confirmation.isConfirmed(now)) {
            return false;
        }
        Entry &entry = found->second;
        entry.isReturnUnconfirmed = false;
        entry.isReturnConfirmed = true;
        this->departures.remove(entry.nameHash);
        changes.push_back({ EndpointChange::Kind::Confirmed, name, entry.registration.service,
                            entry.registration.revision });
        return true;
    });
    return changes;
}

std::vector<Departure> EndpointSelector::recentDepartures(core::Instant now) const
{
    return this->departures.recent(now);
}

void EndpointSelector::onDeparture(const Departure &departure, core::Instant now)
{
    Entry *entry = this->findByHash(departure.nameHash);
    if (entry == nullptr) {
        this->departures.add(departure, now);
    } else if (departure.covers(startStampOf(entry->registration)) && !entry->isReturnUnconfirmed
               && !entry->isReturnConfirmed) {
        this->awaitConfirmation(*entry, now);
    }
}

void EndpointSelector::applyColdTime(Entry &entry, core::Instant now)
{
    const RegisteredEndpoint &registration = entry.registration;
    if (registration.coldFor <= core::Duration::zero()) {
        return;
    }
    entry.coldUntil = std::max(entry.coldUntil, now + registration.coldFor);
    const auto serviceLimits = this->services.find(registration.service);
    if (!entry.coldBucket && serviceLimits != this->services.end()
        && serviceLimits->second.coldRatePerSecond > 0) {
        const double rate = serviceLimits->second.coldRatePerSecond * this->policy.coldRateFraction;
        entry.coldBucket.emplace(limits::BucketLimits { rate, this->policy.coldBurst }, now);
    }
    this->updateOwnColdBucket(entry, now);
}

// Gossip about other hosts' requests arrives too late when many hosts find a cold endpoint idle at
// the same moment. Therefore only a few hosts use a cold endpoint, each within its part of the
// rate.
void EndpointSelector::updateOwnColdBucket(Entry &entry, core::Instant now)
{
    const auto serviceLimits = this->services.find(entry.registration.service);
    if (serviceLimits == this->services.end()
        || this->hosts.rankFor(entry.nameHash) >= this->policy.maxColdHosts) {
        entry.ownColdBucket.reset();
        return;
    }
    const auto hostCount =
        static_cast<double>(std::min(this->hosts.size(), this->policy.maxColdHosts));
    const limits::BucketLimits size { serviceLimits->second.coldRatePerSecond
                                          * this->policy.coldRateFraction / hostCount,
                                      std::max(this->policy.coldBurst / hostCount, 1.0) };
    if (entry.ownColdBucket) {
        entry.ownColdBucket->setLimits(size, now);
        return;
    }
    entry.ownColdBucket.emplace(size, now);
}

std::optional<Choice> EndpointSelector::choose(const balance::WorkRequest &request,
                                               core::Instant now)
{
    const Candidates found = this->findCandidates(request, now);
    if (found.best == nullptr) {
        return std::nullopt;
    }
    std::uniform_real_distribution<double> unit(0, 1);
    // A request that has already failed is not used as a probe.
    const bool isFirst = request.excluded.empty() && !request.isSpeculative;
    const bool isForFloor = isFirst && found.idle != nullptr
        && unit(this->random)
            < std::max(this->policy.floorMinFraction, FloorFractionFactor * found.idleFraction);
    const bool isProbe = isForFloor
        || (isFirst && found.probe != nullptr && found.best != found.probe
            && unit(this->random) < this->policy.probeFraction);
    Entry &chosen = isForFloor ? *found.idle : isProbe ? *found.probe : *found.best;
    if (now < chosen.coldUntil && chosen.coldBucket && chosen.ownColdBucket) {
        chosen.coldBucket->tryConsume(now);
        chosen.ownColdBucket->tryConsume(now);
    }
    if (chosen.rateLimit) {
        chosen.rateLimit->consume(now);
    }
    return Choice { { 0, chosen.registration.service, chosen.registration.endpoint },
                    chosen.nameHash,
                    chosen.faultEstimator.faultProbability(now),
                    chosen.inFlight.size(),
                    isProbe,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - chosen.faultEstimator.lastEvidenceAt()),
                    startStampOf(chosen.registration) };
}

EndpointSelector::Candidates EndpointSelector::findCandidates(const balance::WorkRequest &request,
                                                              core::Instant now)
{
    Candidates found;
    std::vector<Entry *> usable;
    std::vector<SpreadCandidate> costs;
    int idleCount = 0;
    // A failure at a suspected endpoint costs a repeatable request little, and a success shows
    // early that the endpoint is healthy again.
    const bool isFailureRateHigh = this->isFailureRateHigh(request.service, now);
    const bool isFloorNeeded = isFailureRateHigh || request.isRepeatable;
    const double tieBreakRange = this->policy.isLoadSpread ? SpreadTieBreakRange : TieBreakRange;
    std::uniform_real_distribution<double> unit(0, 1);
    for (auto &[name, entry] : this->entries) {
        if (!this->isUsable(entry, request, now)) {
            continue;
        }
        if (this->isProbeDue(entry, now)) {
            found.probe = &entry;
        }
        // Picks each idle endpoint with the same probability, so that hosts that choose at the same
        // time are likely to pick different ones.
        if (isFloorNeeded && this->isIdleTooLong(entry, isFailureRateHigh, now)
            && unit(this->random) * ++idleCount < 1) {
            found.idle = &entry;
        }
        usable.push_back(&entry);
        costs.push_back(this->spreadCandidate(entry, request, now));
        costs.back().sharedCost += tieBreakRange * unit(this->random);
    }
    if (!usable.empty()) {
        found.best = usable[this->chooseByCost(costs, request, now)];
    }
    const auto usableCount = static_cast<double>(usable.size());
    found.idleFraction = usable.empty() ? 0 : idleCount / usableCount;
    return found;
}

std::size_t EndpointSelector::chooseByCost(std::span<const SpreadCandidate> costs,
                                           const balance::WorkRequest &request, core::Instant now)
{
    const std::optional<double> latencyRatio = this->typicalLatencyRatio(request);
    if (this->policy.isLoadSpread) {
        const std::chrono::duration<double> learningTime = this->policy.learningTime;
        const double expected =
            this->arrivals[request.service].perSecond(now) * learningTime.count();
        return chooseSpread(costs, latencyRatio, static_cast<std::size_t>(expected) + 1,
                            this->random);
    }
    const auto costOf = [latencyRatio](const SpreadCandidate &candidate) {
        return candidate.sharedCost + candidate.ownCost
            + loadCost(candidate.inFlight, candidate.slots, latencyRatio);
    };
    return static_cast<std::size_t>(std::ranges::min_element(costs, {}, costOf) - costs.begin());
}

Room EndpointSelector::room(const core::ServiceName &service, core::Instant now)
{
    balance::WorkRequest any;
    any.service = service;
    Room room;
    for (auto &[name, entry] : this->entries) {
        if (!this->isUsable(entry, any, now) || now < entry.coldUntil) {
            continue;
        }
        this->expireLostRequests(entry, now);
        const auto slots = static_cast<double>(entry.registration.slots);
        // An endpoint that sheds requests is no less in use than its requests in flight show.
        const double healthy =
            entry.hasLastRequestFailed ? 1 - entry.faultEstimator.faultProbability(now) : 1;
        room.slots += slots * healthy;
        room.free += std::max(slots - static_cast<double>(entry.inFlight.size()), 0.0) * healthy;
    }
    return room;
}

std::size_t EndpointSelector::hostCount() const
{
    return this->hosts.size();
}

void EndpointSelector::onStarted(std::uint32_t endpointHash, std::uint32_t host, core::Instant now)
{
    Entry *entry = this->findByHash(endpointHash);
    if (entry == nullptr) {
        return;
    }
    entry->inFlight.push_back({ host, now });
    this->arrivals[entry->registration.service].add(now);
    if (host == 0) {
        entry->reuse.onStarted();
    }
    entry->isUnused = false;
    entry->lastUsedAt = now;
    if (entry->faultEstimator.faultProbability(now) > this->policy.suspectThreshold) {
        entry->lastProbeAt = now;
    }
    if (host != 0 && now < entry->coldUntil && entry->coldBucket) {
        entry->coldBucket->consumeRemote(now);
    }
    if (host != 0 && entry->rateLimit) {
        entry->rateLimit->consumeRemote(now);
    }
}

void EndpointSelector::onEnded(std::uint32_t endpointHash, std::uint32_t host,
                               balance::Outcome outcome, core::Instant now, bool isFailureCounted)
{
    Entry *entry = this->findByHash(endpointHash);
    if (entry == nullptr) {
        return;
    }
    const auto request = std::ranges::find(entry->inFlight, host, &InFlightRequest::host);
    std::optional<core::Instant> startedAt;
    if (request != entry->inFlight.end()) {
        startedAt = request->startedAt;
        entry->inFlight.erase(request);
    }
    if (host == 0) {
        entry->reuse.onEnded(outcome, now);
    }
    switch (outcome) {
    case balance::Outcome::Cancelled:
        return;
    case balance::Outcome::Misdirected:
        entry->isMisdirected = true;
        return;
    case balance::Outcome::Shed:
        entry->overloadedUntil = now + OverloadedTime;
        entry->faultEstimator.onOutcome(true, ShedEvidenceWeight, now);
        return;
    default:
        const bool hasFailed = isFailure(outcome);
        // Failed probes do not count in the failure rate, or they would cause more probes. A
        // request that was in flight when its endpoint became suspected is not a probe.
        if (!hasFailed || isFailureCounted) {
            this->successRates[entry->registration.service].count(!hasFailed, now);
        }
        this->updateFaultEstimate(*entry, hasFailed, startedAt, now);
        if (!hasFailed && startedAt) {
            entry->speed.onStay(now - *startedAt);
            this->serviceSpeeds
                .try_emplace(entry->registration.service, EndpointSpeed::ServiceRequests)
                .first->second.onStay(now - *startedAt);
        }
    }
}

// Failures often come much faster than successes. An endpoint that has begun to fail still
// completes requests that it got before, which says nothing of those that it gets now.
void EndpointSelector::updateFaultEstimate(Entry &entry, bool isFailure,
                                           std::optional<core::Instant> startedAt,
                                           core::Instant now) const
{
    const core::Instant from = startedAt.value_or(now);
    if (!isFailure && from < entry.lastFailureStartedAt) {
        return;
    }
    if (isFailure) {
        entry.lastFailureStartedAt = std::max(entry.lastFailureStartedAt, from);
    }
    entry.hasLastRequestFailed = isFailure;
    entry.faultEstimator.onOutcome(isFailure, 1, now);
}

std::optional<EndpointChange>
EndpointSelector::onLeaving(std::uint32_t endpointHash, std::uint32_t startStamp, core::Instant now)
{
    const auto known = this->leavingStarts.find(endpointHash);
    if (known == this->leavingStarts.end() || isLaterStart(startStamp, known->second.startStamp)) {
        this->leavingStarts.insert_or_assign(endpointHash, LeavingStart { startStamp, now });
    }
    Entry *entry = this->findByHash(endpointHash);
    if (entry == nullptr || entry->hasAnnouncedLeaving
        || startStampOf(entry->registration) != startStamp) {
        return std::nullopt;
    }
    const RegisteredEndpoint &registration = entry->registration;
    entry->hasAnnouncedLeaving = true;
    return EndpointChange { EndpointChange::Kind::Leaving, registration.endpoint.name,
                            registration.service, registration.revision };
}

void EndpointSelector::onPause(std::uint32_t endpointHash, std::uint32_t startStamp,
                               core::Duration pause, core::Instant now)
{
    Entry *entry = this->findByHash(endpointHash);
    if (entry != nullptr && startStampOf(entry->registration) == startStamp) {
        entry->pausedUntil = std::max(entry->pausedUntil, now + pause);
    }
}

bool EndpointSelector::onRateLimit(std::uint32_t endpointHash,
                                   std::optional<double> requestsPerSecond, core::Instant now)
{
    Entry *entry = this->findByHash(endpointHash);
    if (entry == nullptr) {
        return false;
    }
    const bool isNews = entry->rateLimit.has_value() != requestsPerSecond.has_value();
    if (!requestsPerSecond) {
        entry->rateLimit.reset();
    } else if (entry->rateLimit) {
        entry->rateLimit->setRate(*requestsPerSecond, now);
    } else {
        entry->rateLimit.emplace(*requestsPerSecond, now);
        this->updateRank(*entry, now);
    }
    return isNews;
}

void EndpointSelector::updateRank(Entry &entry, core::Instant now)
{
    if (entry.rateLimit) {
        entry.rateLimit->setRank(this->hosts.rankFor(entry.nameHash), this->hosts.size(), now);
    }
}

std::vector<EndpointBelief> EndpointSelector::beliefs(core::Instant now) const
{
    std::vector<EndpointBelief> beliefs;
    for (const auto &[name, entry] : this->entries) {
        const double faultProbability = entry.faultEstimator.faultProbability(now);
        const bool isSuspected =
            entry.faultEstimator.hasEvidence() && faultProbability > this->policy.suspectThreshold;
        if (!isSuspected && !entry.rateLimit && !entry.hasAnnouncedLeaving) {
            continue;
        }
        EndpointBelief belief { entry.nameHash, startStampOf(entry.registration), faultProbability,
                                std::nullopt, entry.hasAnnouncedLeaving };
        if (entry.rateLimit) {
            belief.requestsPerSecond = entry.rateLimit->rate();
        }
        beliefs.push_back(belief);
    }
    return beliefs;
}

bool EndpointSelector::onBelief(std::uint32_t endpointHash, double faultProbability,
                                core::Instant now)
{
    Entry *entry = this->findByHash(endpointHash);
    if (entry == nullptr || entry->faultEstimator.hasEvidence()) {
        return false;
    }
    entry->faultEstimator.adopt(faultProbability, now);
    entry->hasLastRequestFailed = faultProbability > this->policy.suspectThreshold;
    return true;
}

std::optional<core::EndpointName> EndpointSelector::nameOf(std::uint32_t endpointHash) const
{
    const Entry *entry = this->findByHash(endpointHash);
    return entry == nullptr ? std::nullopt : std::optional(entry->registration.endpoint.name);
}

bool EndpointSelector::hasAnnouncedLeaving(const RegisteredEndpoint &registration) const
{
    const auto found = this->leavingStarts.find(core::nameHash(registration.endpoint.name.text()));
    return found != this->leavingStarts.end()
        && found->second.startStamp == startStampOf(registration);
}

void EndpointSelector::forgetLeavingStarts(core::Instant now)
{
    std::erase_if(this->leavingStarts, [this, now](const auto &item) {
        const auto &[nameHash, start] = item;
        return now - start.announcedAt > LeavingMemory && this->findByHash(nameHash) == nullptr;
    });
}

std::optional<core::ServiceName> EndpointSelector::findService(std::uint32_t serviceHash) const
{
    const auto found = this->servicesByHash.find(serviceHash);
    return found == this->servicesByHash.end() ? std::nullopt : std::optional(found->second);
}

void EndpointSelector::onRequestRefused(const core::ServiceName &service, core::Instant now)
{
    this->successRates[service].count(false, now);
}

void EndpointSelector::onLatency(const balance::WorkRequest &request, core::Duration latency)
{
    const core::Duration previousAverage = this->typicalLatency(request).value_or(latency);
    TypicalLatency &typical = this->typicalLatencies[{ request.service, request.route }];
    typical.sampleCount = std::min(typical.sampleCount + 1, LatencySamples);
    typical.average =
        previousAverage + (latency - previousAverage) / (typical.sampleCount + LatencyPriorSamples);
}

std::optional<core::Duration>
EndpointSelector::typicalLatency(const balance::WorkRequest &request) const
{
    const auto found = this->typicalLatencies.find({ request.service, request.route });
    if (found != this->typicalLatencies.end()) {
        return found->second.average;
    }
    return request.latencyObjective > core::Duration::zero()
        ? std::optional(request.latencyObjective / 2)
        : std::nullopt;
}

bool EndpointSelector::hasEndpointList() const
{
    return this->isEndpointListSet;
}

std::optional<double> EndpointSelector::faultProbabilityOf(const core::EndpointName &name,
                                                           core::Instant now) const
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return found->second.faultEstimator.faultProbability(now);
}

std::optional<core::ServiceName> EndpointSelector::serviceOf(std::uint32_t endpointHash) const
{
    const Entry *entry = this->findByHash(endpointHash);
    return entry == nullptr ? std::nullopt : std::optional(entry->registration.service);
}

bool EndpointSelector::isUsable(Entry &entry, const balance::WorkRequest &request,
                                core::Instant now) const
{
    const settings::Endpoint &endpoint = entry.registration.endpoint;
    if (entry.registration.service != request.service || entry.registration.isLeaving
        || entry.hasAnnouncedLeaving || entry.isReturnUnconfirmed || entry.isMisdirected
        || now < entry.pausedUntil || this->withdrawnDomains.contains(endpoint.domain)
        || std::ranges::find(request.excluded, endpoint.name) != request.excluded.end()) {
        return false;
    }
    if (entry.rateLimit && !entry.rateLimit->hasToken(now)) {
        return false;
    }
    if (now >= entry.coldUntil || !entry.coldBucket) {
        return true;
    }
    return entry.ownColdBucket && entry.ownColdBucket->hasToken(now)
        && entry.coldBucket->hasToken(now);
}

bool EndpointSelector::isFailureRateHigh(const core::ServiceName &service, core::Instant now) const
{
    const auto found = this->successRates.find(service);
    return found != this->successRates.end()
        && found->second.failureRate(now) > this->policy.floorFailureRate * FloorRateMargin;
}

// While the failure rate is high, suspected endpoints are needed as capacity, and a failure does
// not extend their idle limit.
bool EndpointSelector::isIdleTooLong(const Entry &entry, bool isFailureRateHigh,
                                     core::Instant now) const
{
    const bool isBackingOff = entry.hasLastRequestFailed && !isFailureRateHigh;
    return now - entry.lastUsedAt
        > (isBackingOff ? this->policy.floorIdleLimitAfterFailure : this->policy.floorIdleLimit);
}

bool EndpointSelector::isProbeDue(const Entry &entry, core::Instant now) const
{
    const double faultProbability = entry.faultEstimator.faultProbability(now);
    const bool isIntervalOver =
        !entry.lastProbeAt || now - *entry.lastProbeAt >= this->policy.probeInterval;
    return faultProbability > this->policy.suspectThreshold
        && faultProbability < this->policy.probeThreshold && isIntervalOver
        && entry.inFlight.empty();
}

// Hosts that return to the endpoints that they know would find out late that one begins to fail.
bool EndpointSelector::isReusePreferred(const Entry &entry, bool isRepeatable,
                                        core::Instant now) const
{
    return this->policy.isReusePreferred && !entry.hasLastRequestFailed
        && now - entry.lastFailureStartedAt > NoReuseAfterFailure
        && entry.faultEstimator.faultProbability(now) <= this->policy.suspectThreshold
        && entry.reuse.isReusable(isRepeatable, now);
}

SpreadCandidate EndpointSelector::spreadCandidate(Entry &entry, const balance::WorkRequest &request,
                                                  core::Instant now)
{
    this->expireLostRequests(entry, now);
    SpreadCandidate candidate;
    candidate.inFlight = static_cast<double>(entry.inFlight.size());
    candidate.slots = std::max<double>(entry.registration.slots, 1);
    candidate.sharedCost = entry.faultEstimator.failureProbability(now);
    if (entry.isUnused && now - entry.lastUsedAt <= UnusedBonusTime) {
        candidate.sharedCost -= UnusedBonus;
    }
    if (this->policy.isLoadSpread) {
        const auto service = this->serviceSpeeds.find(entry.registration.service);
        const core::Duration typical = service == this->serviceSpeeds.end()
            ? core::Duration::zero()
            : service->second.averageStay();
        candidate.sharedCost += SlownessCost * (entry.speed.slowness(typical) - 1);
    }
    if (now < entry.overloadedUntil) {
        candidate.sharedCost += OverloadedCost;
    }
    if (entry.registration.endpoint.domain != this->domain) {
        candidate.ownCost += this->policy.remoteDomainCost;
    }
    if (this->isReusePreferred(entry, request.isRepeatable, now)) {
        candidate.ownCost -= ReuseBonus;
    }
    return candidate;
}

// Returns the typical latency divided by the latency objective.
std::optional<double>
EndpointSelector::typicalLatencyRatio(const balance::WorkRequest &request) const
{
    const auto typical = this->typicalLatency(request);
    if (!typical || request.latencyObjective <= core::Duration::zero()) {
        return std::nullopt;
    }
    using Seconds = std::chrono::duration<double>;
    return Seconds(*typical) / Seconds(request.latencyObjective);
}

void EndpointSelector::expireLostRequests(Entry &entry, core::Instant now) const
{
    while (!entry.inFlight.empty()
           && now - entry.inFlight.front().startedAt > this->policy.lostRequestTimeout) {
        entry.inFlight.pop_front();
    }
}

EndpointSelector::Entry *EndpointSelector::findByHash(std::uint32_t endpointHash) const
{
    const auto found = this->entriesByHash.find(endpointHash);
    return found == this->entriesByHash.end() ? nullptr : found->second;
}

} // namespace damaskgate::upstreams
