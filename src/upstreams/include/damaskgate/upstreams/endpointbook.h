#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "damaskgate/balance/balancetypes.h"
#include "damaskgate/core/names.h"
#include "damaskgate/limits/sharedbucket.h"
#include "damaskgate/settings/settingstypes.h"
#include "damaskgate/upstreams/endpointbelief.h"
#include "damaskgate/upstreams/hostranking.h"
#include "damaskgate/upstreams/servedshare.h"

namespace damaskgate::upstreams {

/** An endpoint as it is registered. */
struct RegisteredEndpoint
{
    settings::Endpoint endpoint; //!< its name tells one start from another where the source does
    core::ServiceName service;
    std::uint32_t slots = 1;
    bool isLeaving = false; //!< gets no new work
    core::Duration coldFor {}; //!< how much longer it bears little work only; zero: warm
    std::int64_t startedAtMillis = 0; //!< Unix time; rises when the endpoint starts again
    std::int64_t sequence = 0; //!< of what the endpoint said since its start
    std::uint64_t revision = 0; //!< of the source, of this registration
};

/** What a new list of endpoints changed about one of them. */
struct EndpointChange
{
    enum class Kind : std::uint8_t {
        Added,
        Restarted, //!< under the same name
        Leaving,
        Gone,
        Outdated, //!< the registration was written before the one that is held, and is ignored
    };

    Kind kind = Kind::Added;
    core::EndpointName name;
    core::ServiceName service;
    std::uint64_t revision = 0; //!< of the registration
};

/** @return @p kind as it stands in logs. */
std::string_view toText(EndpointChange::Kind kind);

/** What of a service bounds the work of its endpoints. */
struct ServiceBounds
{
    double coldRatePerSecond = 0; //!< requests to one cold endpoint, over all hosts; zero: no bound
};

/** How an endpoint is chosen; the figures are those of docs/design/08-users-platform.md. */
struct ChoiceModel
{
    BeliefModel belief;
    double suspectAbove = 0.12; //!< likelihood of a bad spell from which an endpoint is avoided
    double retrialBelow = 0.37; //!< likelihood from which a suspect is tried again
    core::Duration retrialPause = std::chrono::seconds(5); //!< between two trials of a suspect
    double retrialShare = 0.06; //!< of the requests while a trial is due
    core::Duration lostAfter = std::chrono::seconds(8); //!< a start without an end is forgotten
    double floorAbove = 0.1; //!< share of unserved requests from which every endpoint is used
    core::Duration floorIdle = std::chrono::milliseconds(1300); //!< longest without a request then
    core::Duration floorRest = std::chrono::milliseconds(2800); //!< after a failure, while few
                                                                //!< requests are not served
    double floorPick = 0.3; //!< least share of the requests while an endpoint is idle too long
    double coldRateUsed = 0.8; //!< share of what a cold endpoint bears
    double coldBurst = 2; //!< requests
    std::size_t coldHosts = 6; //!< that may use the same cold endpoint
    double farCost = 0.06; //!< of crossing failure domains, in failed requests
};

/** Why an endpoint was chosen, for the log. */
struct Choice
{
    balance::SlotGrant grant;
    std::uint32_t tag = 0; //!< of the endpoint, in notes
    double badness = 0;
    std::size_t inFlight = 0; //!< over all hosts, as far as heard
    bool isRetrial = false;
    std::chrono::milliseconds evidenceAge { 0 }; //!< since the last outcome that was heard of
};

/**
 * The endpoints of all services with what this host and the others saw of them, and the choice of
 * one for a request. Pure: knows neither clock nor network.
 */
class EndpointBook
{
public:
    /** @param domain failure domain of this host */
    EndpointBook(ChoiceModel model, core::DomainName domain, std::uint64_t seed);

    EndpointBook(const EndpointBook &) = delete;
    EndpointBook &operator=(const EndpointBook &) = delete;

    /** Takes the list of services with their bounds. */
    void setServices(std::map<core::ServiceName, ServiceBounds> services);

    /** Sets the live hosts: few of them may use the same cold endpoint. */
    void setHosts(const core::HostName &self, std::span<const core::HostName> others,
                  core::Instant now);

    /** Sets the failure domains whose endpoints get no work. */
    void setWithdrawnDomains(std::set<core::DomainName> domains);

    /**
     * Takes the whole list of endpoints.
     *
     * @param isSettled whether the source has been reached without a gap for long enough; a
     *        registration that is missing before that is kept until it is
     * @return what changed
     */
    std::vector<EndpointChange> setEndpoints(std::span<const RegisteredEndpoint> endpoints,
                                             bool isSettled, core::Instant now);

    /** @return an endpoint for @p request, or nothing when none may take it. */
    std::optional<Choice> choose(const balance::WorkRequest &request, core::Instant now);

    /** Notes that @p host, zero for this one, sends a request to the endpoint @p tag. */
    void onStarted(std::uint32_t tag, std::uint32_t host, core::Instant now);

    /**
     * Notes how a request of @p host ended at the endpoint @p tag.
     *
     * @param isRetrial whether the endpoint was chosen to try a suspect; a failure then does not
     *        count as one of the service
     */
    void onEnded(std::uint32_t tag, std::uint32_t host, balance::Outcome outcome, core::Instant now,
                 bool isRetrial = false);

    /** @return the service that is called @p tag in notes, or nothing when it is not known. */
    std::optional<core::ServiceName> findService(std::uint32_t tag) const;

    /** Notes that a request to @p service was refused by some host. */
    void onUnserved(const core::ServiceName &service, core::Instant now);

    /** Notes that an answer to a request like @p request took @p latency. */
    void onLatency(const balance::WorkRequest &request, core::Duration latency);

    /**
     * @return the usual time to the answers to requests like @p request; half of their objective
     *         before the first ones, nothing when they have none
     */
    std::optional<core::Duration> usualLatency(const balance::WorkRequest &request) const;

    /** @return whether the list of endpoints was given at least once. */
    bool isFilled() const;

    /** @return the likelihood of a bad spell of the endpoint, for metrics and logs. */
    std::optional<double> badnessOf(const core::EndpointName &name, core::Instant now) const;

    /** @return the service of the endpoint @p tag, or nothing when it is not known. */
    std::optional<core::ServiceName> serviceOf(std::uint32_t tag) const;

private:
    struct UsualLatency
    {
        core::Duration average {};
        int answers = 0;
    };

    struct Start
    {
        std::uint32_t host = 0;
        core::Instant at;
    };

    struct Entry
    {
        RegisteredEndpoint facts;
        std::uint32_t tag = 0; //!< core::nameHash() its name
        EndpointBelief belief;
        std::deque<Start> running; //!< requests over all hosts, oldest first
        std::optional<limits::SharedBucket> coldBucket; //!< of all hosts together
        std::optional<limits::SharedBucket> ownColdBucket; //!< of this host, when it may use it
        core::Instant coldUntil;
        core::Instant fullUntil; //!< it has refused work lately
        std::optional<core::Instant> retriedAt;
        core::Instant usedAt; //!< when a request was last sent to it, or it came
        bool hasFailedLast = false; //!< the last outcome that is known
        bool isUntried = true; //!< no host has sent it a request, as far as heard
        bool isMisdirected = false; //!< another endpoint has its address
    };

    std::optional<EndpointChange::Kind> put(const RegisteredEndpoint &facts, core::Instant now);
    /** What a pass over all endpoints found for a request. */
    struct Candidates
    {
        Entry *best = nullptr; //!< of the least cost
        Entry *retrial = nullptr; //!< a suspect that is due for a trial
        Entry *idle = nullptr; //!< one of those that have been idle for too long
        double idleShare = 0; //!< of the endpoints that may take the request
    };

    Candidates findCandidates(const balance::WorkRequest &request, core::Instant now);
    void takeColdTime(Entry &entry, core::Instant now);
    void shareOutCold(Entry &entry, core::Instant now);
    bool isUsable(Entry &entry, const balance::WorkRequest &request, core::Instant now) const;
    bool isMuchUnserved(const core::ServiceName &service, core::Instant now) const;
    bool isIdleTooLong(const Entry &entry, bool isMuchUnserved, core::Instant now) const;
    bool isRetrialDue(const Entry &entry, core::Instant now) const;
    double costOf(Entry &entry, std::optional<double> usualPart, core::Instant now);
    std::optional<double> usualPartOf(const balance::WorkRequest &request) const;
    void forgetLostStarts(Entry &entry, core::Instant now) const;
    Entry *findByTag(std::uint32_t tag) const;

    ChoiceModel model;
    core::DomainName domain;
    HostRanking hosts;
    std::mt19937_64 random;
    std::map<core::ServiceName, ServiceBounds> services;
    std::map<std::uint32_t, core::ServiceName> servicesByTag;
    std::map<std::pair<core::ServiceName, core::RouteName>, UsualLatency> latencies;
    std::map<core::ServiceName, ServedShare> served;
    std::set<core::DomainName> withdrawn;
    std::map<core::EndpointName, Entry> entries;
    std::map<std::uint32_t, Entry *> entriesByTag;
    bool wasFilled = false;
};

} // namespace damaskgate::upstreams
