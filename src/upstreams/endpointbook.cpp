#include "damaskgate/upstreams/endpointbook.h"

#include <algorithm>
#include <array>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::upstreams {

namespace {

constexpr double BusyCost = 0.25; // of an endpoint whose slots are all taken, in failed requests;
                                  // less by the square, since few find all slots taken by chance
constexpr double QueueCost = 0.1; // of each round of the slots that waits before
constexpr double UntriedGain = 0.1; // of the first request, which shows early what is new capacity
constexpr core::Duration UntriedFor = std::chrono::seconds(5); // after it came, longer than most
                                                               // are cold
constexpr double LateCost = 0.7; // of an answer after its objective, of a failed request
constexpr double LateFrom = 0.7; // part of the objective at which some answers are late
constexpr double LateUntil = 1.3; // part of the objective at which nearly all are late
constexpr double FullCost = 0.6; // of an endpoint that has refused work lately
constexpr double TieSpread = 0.06; // hosts that choose at the same time spread over equal ones
constexpr core::Duration FullFor = std::chrono::milliseconds(300);
constexpr int LatencyMemory = 16; // answers that the moving average spans
constexpr int LatencyPrior = 2; // answers that the first guess counts for
constexpr double FloorGain = 3; // share of the requests for idle endpoints, by the share of those
constexpr double ShedWeight = 0.3; // a refusal of work is a hint of a bad spell only

bool isFailure(balance::Outcome outcome)
{
    using balance::Outcome;
    return outcome == Outcome::ServerError || outcome == Outcome::ConnectFailed
        || outcome == Outcome::Timeout || outcome == Outcome::BrokenOff;
}

// Whether an endpoint wrote @p facts before it wrote @p held.
bool isOlder(const RegisteredEndpoint &facts, const RegisteredEndpoint &held)
{
    return std::pair(facts.startedAtMillis, facts.sequence)
        < std::pair(held.startedAtMillis, held.sequence);
}

// What it costs that an answer comes after @p part of its objective.
double lateCost(double part)
{
    return LateCost * std::clamp((part - LateFrom) / (LateUntil - LateFrom), 0.0, 1.0);
}

} // namespace

std::string_view toText(EndpointChange::Kind kind)
{
    constexpr std::array<std::string_view, 5> Texts { "added", "restarted", "leaving", "gone",
                                                      "outdated" };
    return Texts[static_cast<std::size_t>(kind)];
}

EndpointBook::EndpointBook(ChoiceModel model, core::DomainName domain, std::uint64_t seed)
    : model(model), domain(std::move(domain)), random(seed)
{}

void EndpointBook::setServices(std::map<core::ServiceName, ServiceBounds> services)
{
    this->services = std::move(services);
    this->servicesByTag.clear();
    for (const auto &[name, bounds] : this->services) {
        this->servicesByTag.emplace(core::tagOf(name.text()), name);
    }
}

void EndpointBook::setHosts(const core::HostName &self, std::span<const core::HostName> others,
                            core::Instant now)
{
    if (!this->hosts.setHosts(self, others)) {
        return;
    }
    for (auto &[name, entry] : this->entries) {
        if (now < entry.coldUntil) {
            this->shareOutCold(entry, now);
        }
    }
}

void EndpointBook::setWithdrawnDomains(std::set<core::DomainName> domains)
{
    this->withdrawn = std::move(domains);
}

std::vector<EndpointChange>
EndpointBook::setEndpoints(std::span<const RegisteredEndpoint> endpoints, bool isSettled,
                           core::Instant now)
{
    this->wasFilled = true;
    std::vector<EndpointChange> changes;
    std::set<core::EndpointName> listed;
    for (const RegisteredEndpoint &facts : endpoints) {
        listed.insert(facts.endpoint.name);
        if (const auto kind = this->put(facts, now)) {
            changes.push_back({ *kind, facts.endpoint.name, facts.service, facts.revision });
        }
    }
    const auto isGone = [&listed, isSettled, &changes](const auto &item) {
        const RegisteredEndpoint &facts = item.second.facts;
        const bool isKept = !isSettled && !facts.isLeaving;
        if (listed.contains(item.first) || isKept) {
            return false;
        }
        changes.push_back(
            { EndpointChange::Kind::Gone, item.first, facts.service, facts.revision });
        return true;
    };
    std::erase_if(this->entries, isGone);
    this->entriesByTag.clear();
    for (auto &[name, entry] : this->entries) {
        this->entriesByTag.emplace(entry.tag, &entry);
    }
    return changes;
}

std::optional<EndpointChange::Kind> EndpointBook::put(const RegisteredEndpoint &facts,
                                                      core::Instant now)
{
    using Kind = EndpointChange::Kind;
    const auto found = this->entries.find(facts.endpoint.name);
    const bool isKnown = found != this->entries.end();
    if (isKnown && facts.revision == found->second.facts.revision) {
        return std::nullopt;
    }
    if (isKnown && isOlder(facts, found->second.facts)) {
        // The revision is kept, so that the same registration is reported once.
        found->second.facts.revision = facts.revision;
        return Kind::Outdated;
    }
    const bool isSameStart =
        isKnown && found->second.facts.startedAtMillis == facts.startedAtMillis;
    const bool wasLeaving = isSameStart && found->second.facts.isLeaving;
    if (!isSameStart) {
        const EndpointBelief fresh(this->model.belief, now);
        this->entries.insert_or_assign(facts.endpoint.name,
                                       Entry { facts,
                                               core::tagOf(facts.endpoint.name.text()),
                                               fresh,
                                               {},
                                               {},
                                               {},
                                               {},
                                               {},
                                               {},
                                               now });
    }
    Entry &entry = this->entries.at(facts.endpoint.name);
    entry.facts = facts;
    this->takeColdTime(entry, now);
    if (!isSameStart) {
        return isKnown ? Kind::Restarted : Kind::Added;
    }
    return facts.isLeaving && !wasLeaving ? std::optional(Kind::Leaving) : std::nullopt;
}

void EndpointBook::takeColdTime(Entry &entry, core::Instant now)
{
    const RegisteredEndpoint &facts = entry.facts;
    if (facts.coldFor <= core::Duration::zero()) {
        return;
    }
    entry.coldUntil = std::max(entry.coldUntil, now + facts.coldFor);
    const auto bounds = this->services.find(facts.service);
    if (!entry.coldBucket && bounds != this->services.end()
        && bounds->second.coldRatePerSecond > 0) {
        const double rate = bounds->second.coldRatePerSecond * this->model.coldRateUsed;
        entry.coldBucket.emplace(limits::BucketLimits { rate, this->model.coldBurst }, now);
    }
    this->shareOutCold(entry, now);
}

// News of other hosts' requests comes too late when many hosts find a cold endpoint idle at the
// same moment, so that a few hosts use it, each within its own part of the rate.
void EndpointBook::shareOutCold(Entry &entry, core::Instant now)
{
    const auto bounds = this->services.find(entry.facts.service);
    if (bounds == this->services.end() || this->hosts.rankFor(entry.tag) >= this->model.coldHosts) {
        entry.ownColdBucket.reset();
        return;
    }
    const auto sharers = static_cast<double>(std::min(this->hosts.size(), this->model.coldHosts));
    const limits::BucketLimits size { bounds->second.coldRatePerSecond * this->model.coldRateUsed
                                          / sharers,
                                      std::max(this->model.coldBurst / sharers, 1.0) };
    if (entry.ownColdBucket) {
        entry.ownColdBucket->setLimits(size, now);
        return;
    }
    entry.ownColdBucket.emplace(size, now);
}

std::optional<Choice> EndpointBook::choose(const balance::WorkRequest &request, core::Instant now)
{
    const Candidates found = this->findCandidates(request, now);
    if (found.best == nullptr) {
        return std::nullopt;
    }
    std::uniform_real_distribution<double> unit(0, 1);
    // A request that has failed once is not spent on a trial.
    const bool isFirst = request.excluded.empty();
    const bool isForFloor = isFirst && found.idle != nullptr
        && unit(this->random) < std::max(this->model.floorPick, FloorGain * found.idleShare);
    const bool isRetrial = isForFloor
        || (isFirst && found.retrial != nullptr && found.best != found.retrial
            && unit(this->random) < this->model.retrialShare);
    Entry &chosen = isForFloor ? *found.idle : isRetrial ? *found.retrial : *found.best;
    if (now < chosen.coldUntil && chosen.coldBucket && chosen.ownColdBucket) {
        chosen.coldBucket->tryConsume(now);
        chosen.ownColdBucket->tryConsume(now);
    }
    return Choice { { 0, chosen.facts.service, chosen.facts.endpoint },
                    chosen.tag,
                    chosen.belief.badness(now),
                    chosen.running.size(),
                    isRetrial,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - chosen.belief.updated()) };
}

EndpointBook::Candidates EndpointBook::findCandidates(const balance::WorkRequest &request,
                                                      core::Instant now)
{
    Candidates found;
    double bestCost = 0;
    int usableCount = 0;
    int idleCount = 0;
    // A request that may be repeated loses little at a suspect, and shows early that it is sound.
    const bool isMuchUnserved = this->isMuchUnserved(request.service, now);
    const bool isFloorNeeded = isMuchUnserved || request.isRepeatable;
    const std::optional<double> usualPart = this->usualPartOf(request);
    std::uniform_real_distribution<double> unit(0, 1);
    for (auto &[name, entry] : this->entries) {
        if (!this->isUsable(entry, request, now)) {
            continue;
        }
        ++usableCount;
        if (this->isRetrialDue(entry, now)) {
            found.retrial = &entry;
        }
        // Any of the idle ones with the same chance: hosts that choose at the same time differ.
        if (isFloorNeeded && this->isIdleTooLong(entry, isMuchUnserved, now)
            && unit(this->random) * ++idleCount < 1) {
            found.idle = &entry;
        }
        const double cost = this->costOf(entry, usualPart, now) + TieSpread * unit(this->random);
        if (found.best == nullptr || cost < bestCost) {
            found.best = &entry;
            bestCost = cost;
        }
    }
    found.idleShare = usableCount == 0 ? 0 : static_cast<double>(idleCount) / usableCount;
    return found;
}

void EndpointBook::onStarted(std::uint32_t tag, std::uint32_t host, core::Instant now)
{
    Entry *entry = this->findByTag(tag);
    if (entry == nullptr) {
        return;
    }
    entry->running.push_back({ host, now });
    entry->isUntried = false;
    entry->usedAt = now;
    if (entry->belief.badness(now) > this->model.suspectAbove) {
        entry->retriedAt = now;
    }
    if (host != 0 && now < entry->coldUntil && entry->coldBucket) {
        entry->coldBucket->consumeRemote(now);
    }
}

void EndpointBook::onEnded(std::uint32_t tag, std::uint32_t host, balance::Outcome outcome,
                           core::Instant now, bool isRetrial)
{
    Entry *entry = this->findByTag(tag);
    if (entry == nullptr) {
        return;
    }
    const auto start = std::ranges::find(entry->running, host, &Start::host);
    if (start != entry->running.end()) {
        entry->running.erase(start);
    }
    switch (outcome) {
    case balance::Outcome::Cancelled:
        return;
    case balance::Outcome::Misdirected:
        entry->isMisdirected = true;
        return;
    case balance::Outcome::Shed:
        entry->fullUntil = now + FullFor;
        entry->belief.onOutcome(true, ShedWeight, now);
        return;
    default:
        entry->hasFailedLast = isFailure(outcome);
        // Failed trials of suspects do not ask for more trials. A request that was on its way when
        // its endpoint became suspect was none.
        if (!entry->hasFailedLast || !isRetrial) {
            this->served[entry->facts.service].count(!entry->hasFailedLast, now);
        }
        entry->belief.onOutcome(entry->hasFailedLast, 1, now);
    }
}

std::optional<core::ServiceName> EndpointBook::findService(std::uint32_t tag) const
{
    const auto found = this->servicesByTag.find(tag);
    return found == this->servicesByTag.end() ? std::nullopt : std::optional(found->second);
}

void EndpointBook::onUnserved(const core::ServiceName &service, core::Instant now)
{
    this->served[service].count(false, now);
}

void EndpointBook::onLatency(const balance::WorkRequest &request, core::Duration latency)
{
    const core::Duration before = this->usualLatency(request).value_or(latency);
    UsualLatency &usual = this->latencies[{ request.service, request.route }];
    usual.answers = std::min(usual.answers + 1, LatencyMemory);
    usual.average = before + (latency - before) / (usual.answers + LatencyPrior);
}

std::optional<core::Duration> EndpointBook::usualLatency(const balance::WorkRequest &request) const
{
    const auto found = this->latencies.find({ request.service, request.route });
    if (found != this->latencies.end()) {
        return found->second.average;
    }
    return request.latencyObjective > core::Duration::zero()
        ? std::optional(request.latencyObjective / 2)
        : std::nullopt;
}

bool EndpointBook::isFilled() const
{
    return this->wasFilled;
}

std::optional<double> EndpointBook::badnessOf(const core::EndpointName &name,
                                              core::Instant now) const
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return found->second.belief.badness(now);
}

std::optional<core::ServiceName> EndpointBook::serviceOf(std::uint32_t tag) const
{
    const Entry *entry = this->findByTag(tag);
    return entry == nullptr ? std::nullopt : std::optional(entry->facts.service);
}

bool EndpointBook::isUsable(Entry &entry, const balance::WorkRequest &request,
                            core::Instant now) const
{
    const settings::Endpoint &endpoint = entry.facts.endpoint;
    if (entry.facts.service != request.service || entry.facts.isLeaving || entry.isMisdirected
        || this->withdrawn.contains(endpoint.domain)
        || std::ranges::find(request.excluded, endpoint.name) != request.excluded.end()) {
        return false;
    }
    if (now >= entry.coldUntil || !entry.coldBucket) {
        return true;
    }
    return entry.ownColdBucket && entry.ownColdBucket->hasToken(now)
        && entry.coldBucket->hasToken(now);
}

bool EndpointBook::isMuchUnserved(const core::ServiceName &service, core::Instant now) const
{
    const auto share = this->served.find(service);
    return share != this->served.end() && share->second.unserved(now) > this->model.floorAbove;
}

// While many requests are not served, suspects are a part of the capacity that must be in use.
bool EndpointBook::isIdleTooLong(const Entry &entry, bool isMuchUnserved, core::Instant now) const
{
    const bool isResting = entry.hasFailedLast && !isMuchUnserved;
    return now - entry.usedAt > (isResting ? this->model.floorRest : this->model.floorIdle);
}

bool EndpointBook::isRetrialDue(const Entry &entry, core::Instant now) const
{
    const double badness = entry.belief.badness(now);
    const bool isRested = !entry.retriedAt || now - *entry.retriedAt >= this->model.retrialPause;
    return badness > this->model.suspectAbove && badness < this->model.retrialBelow && isRested
        && entry.running.empty();
}

double EndpointBook::costOf(Entry &entry, std::optional<double> usualPart, core::Instant now)
{
    this->forgetLostStarts(entry, now);
    const auto running = static_cast<double>(entry.running.size());
    const double slots = std::max<double>(entry.facts.slots, 1);
    const double rounds = std::max(running + 1 - slots, 0.0) / slots;
    const double busy = std::min(running / slots, 1.0);
    double cost = entry.belief.failureChance(now) + BusyCost * busy * busy + QueueCost * rounds
        + (usualPart ? lateCost(*usualPart * (1 + rounds)) : 0);
    if (entry.isUntried && now - entry.usedAt <= UntriedFor) {
        cost -= UntriedGain;
    }
    if (now < entry.fullUntil) {
        cost += FullCost;
    }
    if (entry.facts.endpoint.domain != this->domain) {
        cost += this->model.farCost;
    }
    return cost;
}

// The usual time to an answer as a part of the objective.
std::optional<double> EndpointBook::usualPartOf(const balance::WorkRequest &request) const
{
    const auto usual = this->usualLatency(request);
    if (!usual || request.latencyObjective <= core::Duration::zero()) {
        return std::nullopt;
    }
    using Seconds = std::chrono::duration<double>;
    return Seconds(*usual) / Seconds(request.latencyObjective);
}

void EndpointBook::forgetLostStarts(Entry &entry, core::Instant now) const
{
    while (!entry.running.empty() && now - entry.running.front().at > this->model.lostAfter) {
        entry.running.pop_front();
    }
}

EndpointBook::Entry *EndpointBook::findByTag(std::uint32_t tag) const
{
    const auto found = this->entriesByTag.find(tag);
    return found == this->entriesByTag.end() ? nullptr : found->second;
}

} // namespace damaskgate::upstreams
