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
#include "damaskgate/upstreams/connectionreuse.h"
#include "damaskgate/upstreams/contentionscheduler.h"
#include "damaskgate/upstreams/decayingcount.h"
#include "damaskgate/upstreams/endpointratelimit.h"
#include "damaskgate/upstreams/endpointspeed.h"
#include "damaskgate/upstreams/faultestimator.h"
#include "damaskgate/upstreams/hostranking.h"
#include "damaskgate/upstreams/loadspreader.h"
#include "damaskgate/upstreams/returnedstart.h"
#include "damaskgate/upstreams/successrate.h"

namespace damaskgate::upstreams {

/** An endpoint as it is registered. */
struct RegisteredEndpoint
{
    /** Its name can change when the endpoint restarts: some sources name each start anew. */
    settings::Endpoint endpoint;
    core::ServiceName service;
    std::uint32_t slots = 1;
    bool isLeaving = false; //!< gets no new work
    core::Duration coldFor {}; //!< remaining cold time, with a limited request rate; zero: warm
    std::int64_t startedAtMillis = 0; //!< Unix time in ms; increases with each restart
    std::int64_t sequence = 0; //!< number of the endpoint's status report since its start
    std::uint64_t revision = 0; //!< the source's revision of this registration
    /** The source's revision in which the registration was created; zero if it is not known. */
    std::uint64_t createdRevision = 0;
};

/** A change to one endpoint between two lists of endpoints. */
struct EndpointChange
{
    enum class Kind : std::uint8_t {
        Added,
        Restarted, //!< started again under the same name
        Leaving,
        Gone,
        Outdated, //!< the registration is older than the known one and is ignored
        Returned, //!< a removed start is registered again; it gets no work until it is confirmed
        Confirmed, //!< a start that had returned is used again
    };

    Kind kind = Kind::Added;
    core::EndpointName name;
    core::ServiceName service;
    std::uint64_t revision = 0; //!< revision of the registration
};

/** @return the name of @p kind in logs, such as `restarted`. */
std::string_view toText(EndpointChange::Kind kind);

/** @return whether @p outcome is a failure of the endpoint or of the connection to it. */
bool isFailure(balance::Outcome outcome);

/** What a host knows of an endpoint beyond its registration, for a host that has just started. */
struct EndpointBelief
{
    std::uint32_t nameHash = 0; //!< identifies the endpoint in gossip items
    std::uint32_t startStamp = 0; //!< identifies the start of the endpoint in gossip items
    double faultProbability = 0;
    std::optional<double> requestsPerSecond; //!< announced limit of the requests of all hosts
    bool isLeaving = false; //!< the endpoint has announced that it stops soon
};

/** Limits on the work of the endpoints of a service. */
struct ServiceLimits
{
    double coldRatePerSecond = 0; //!< requests to a cold endpoint from all hosts; zero: unlimited
};

/**
 * Parameters of the endpoint selection. docs/design/08-users-platform.md gives the reasons for the
 * values. Probabilities and fractions are between 0 and 1.
 */
struct SelectionPolicy
{
    FaultModel faultModel;

    /** Fault probability above which an endpoint is suspected and avoided. */
    double suspectThreshold = 0.12;

    /** Fault probability below which a suspected endpoint may be probed. */
    double probeThreshold = 0.37;

    /** Least time between two probes of a suspected endpoint. */
    core::Duration probeInterval = std::chrono::seconds(5);

    /** Fraction of the requests that are used as probes while a probe is due. */
    double probeFraction = 0.06;

    /** Time after which a request whose end was not reported no longer counts as in flight. */
    core::Duration lostRequestTimeout = std::chrono::seconds(8);

    /** Failure rate of a service above which every endpoint is kept in use. */
    double floorFailureRate = 0.1;

    /** Longest time without a request for an endpoint that is kept in use. */
    core::Duration floorIdleLimit = std::chrono::milliseconds(1300);

    /** Idle limit instead of floorIdleLimit after a failure, while the failure rate is low. */
    core::Duration floorIdleLimitAfterFailure = std::chrono::milliseconds(2800);

    /** Least fraction of the requests sent to idle endpoints while one exceeds its idle limit. */
    double floorMinFraction = 0.3;

    /** Fraction of the permitted rate of a cold endpoint that is used. */
    double coldRateFraction = 0.8;

    /** Requests that may be sent to a cold endpoint at once, by all hosts. */
    double coldBurst = 2;

    /** Number of hosts that may use the same cold endpoint. */
    std::size_t maxColdHosts = 6;

    /** Cost of using another failure domain; the cost of a failed request is 1. */
    double remoteDomainCost = 0.06;

    /** Whether endpoints are preferred to which this host holds an idle connection. */
    bool isReusePreferred = false;

    /** Whether the choice accounts for what other hosts choose at the same time; see
     * chooseSpread(). */
    bool isLoadSpread = false;

    /** Time in which hosts learn of each other's requests. */
    core::Duration learningTime = std::chrono::milliseconds(60);

    /** Time without a report after which the source has removed a registration. */
    core::Duration registrationLapseTime = std::chrono::seconds(5);
};

/** A chosen endpoint with the state that led to the choice, which is logged. */
struct Choice
{
    balance::SlotGrant grant;
    std::uint32_t nameHash = 0; //!< identifies the endpoint in gossip items
    double faultProbability = 0;
    std::size_t inFlight = 0; //!< known requests of all hosts at the endpoint
    bool isProbe = false; //!< chosen as a probe or since it was idle, regardless of its cost
    std::chrono::milliseconds evidenceAge { 0 }; //!< time since the last known outcome
    std::uint32_t startStamp = 0; //!< identifies the start of the endpoint in gossip items
};

/**
 * Keeps the endpoints of all services with the outcomes that this host and the other hosts have
 * seen at them, and selects an endpoint for each request. Uses neither a clock nor the network.
 */
class EndpointSelector
{
public:
    /** @param domain the failure domain of this host */
    EndpointSelector(SelectionPolicy policy, core::DomainName domain, std::uint64_t seed);

    EndpointSelector(const EndpointSelector &) = delete;
    EndpointSelector &operator=(const EndpointSelector &) = delete;

    /** Sets the limits of all services. */
    void setServices(std::map<core::ServiceName, ServiceLimits> services);

    /** Sets the live hosts, from which the few that may use each cold endpoint are selected. */
    void setHosts(const core::HostName &self, std::span<const core::HostName> others,
                  core::Instant now);

    /** Sets SelectionPolicy::registrationLapseTime for endpoints that return from now on. */
    void setRegistrationLapseTime(core::Duration lapseTime);

    /** Sets the failure domains whose endpoints get no requests. */
    void setWithdrawnDomains(std::set<core::DomainName> domains);

    /**
     * Replaces the list of endpoints.
     *
     * @param isSourceStable whether the source has been reachable without a gap for long enough;
     *        until then a missing endpoint is kept, unless it was leaving
     * @return the changes to the list
     */
    std::vector<EndpointChange> setEndpoints(std::span<const RegisteredEndpoint> endpoints,
                                             bool isSourceStable, core::Instant now);

    /**
     * Uses the endpoints again whose return is confirmed; see ReturnConfirmation.
     *
     * @return a change for each of them
     */
    std::vector<EndpointChange> confirmReturns(core::Instant now);

    /** @return the recent departures, for a host that has just started. */
    std::vector<Departure> recentDepartures(core::Instant now) const;

    /** Records a departure that another host knows, from before the start of this host. */
    void onDeparture(const Departure &departure, core::Instant now);

    /** @return an endpoint for @p request, or nothing if none can accept it. */
    std::optional<Choice> choose(const balance::WorkRequest &request, core::Instant now);

    /** @return the room of @p service. */
    Room room(const core::ServiceName &service, core::Instant now);

    /** @return the number of live hosts including this one; at least 1. */
    std::size_t hostCount() const;

    /**
     * Records that a host sends a request to an endpoint.
     *
     * @param endpointHash hash of the endpoint's name
     * @param host hash of the host's name; zero for this host
     */
    void onStarted(std::uint32_t endpointHash, std::uint32_t host, core::Instant now);

    /**
     * Records the outcome of a request of @p host at an endpoint.
     *
     * @param endpointHash hash of the endpoint's name
     * @param host hash of the host's name; zero for this host
     * @param isFailureCounted whether a failure counts in the failure rate of the service; that of
     *        a probe or of an attempt whose request is sent to another endpoint does not
     */
    void onEnded(std::uint32_t endpointHash, std::uint32_t host, balance::Outcome outcome,
                 core::Instant now, bool isFailureCounted = true);

    /**
     * Records that an endpoint announced in a response that it stops soon. Until it starts again it
     * gets no requests, whatever its registration says.
     *
     * @param endpointHash hash of the endpoint's name
     * @param startStamp see Choice::startStamp; another start of the endpoint is not affected
     * @return the change, or nothing if it was known before or the start is another one
     */
    std::optional<EndpointChange> onLeaving(std::uint32_t endpointHash, std::uint32_t startStamp,
                                            core::Instant now);

    /**
     * Records that an endpoint has refused a request of this host and wants none for @p pause.
     *
     * @param startStamp see Choice::startStamp; another start of the endpoint is not affected
     */
    void onPause(std::uint32_t endpointHash, std::uint32_t startStamp, core::Duration pause,
                 core::Instant now);

    /**
     * Records whether an endpoint limits the requests of all hosts, as it announced in a response
     * to this or another host.
     *
     * @param requestsPerSecond the limit; nothing if it announced none
     * @return whether a limit was announced for the first time or lifted
     */
    bool onRateLimit(std::uint32_t endpointHash, std::optional<double> requestsPerSecond,
                     core::Instant now);

    /** @return what is known of the endpoints that are suspected, limited or leaving. */
    std::vector<EndpointBelief> beliefs(core::Instant now) const;

    /**
     * Records the fault probability that another host estimates for an endpoint, unless an outcome
     * is known.
     *
     * @return whether it was recorded
     */
    bool onBelief(std::uint32_t endpointHash, double faultProbability, core::Instant now);

    /** @return the name of the endpoint with the name hash @p endpointHash, if known. */
    std::optional<core::EndpointName> nameOf(std::uint32_t endpointHash) const;

    /** @return the service whose name has the hash @p serviceHash, or nothing if unknown. */
    std::optional<core::ServiceName> findService(std::uint32_t serviceHash) const;

    /** Records that this or another host refused a request to @p service. */
    void onRequestRefused(const core::ServiceName &service, core::Instant now);

    /** Records the latency of a response to a request of the service and route of @p request. */
    void onLatency(const balance::WorkRequest &request, core::Duration latency);

    /**
     * @return the typical latency of the service and route of @p request; before the first
     *         response half of the latency objective, or nothing if there is no objective
     */
    std::optional<core::Duration> typicalLatency(const balance::WorkRequest &request) const;

    /** @return whether the list of endpoints has been set at least once. */
    bool hasEndpointList() const;

    /** @return the fault probability of the endpoint @p name, or nothing if it is unknown. */
    std::optional<double> faultProbabilityOf(const core::EndpointName &name,
                                             core::Instant now) const;

    /** @return the service of the endpoint with the name hash @p endpointHash, if known. */
    std::optional<core::ServiceName> serviceOf(std::uint32_t endpointHash) const;

private:
    struct TypicalLatency
    {
        core::Duration average {};
        int sampleCount = 0;
    };

    struct InFlightRequest
    {
        std::uint32_t host = 0;
        core::Instant startedAt;
    };

    struct Entry
    {
        RegisteredEndpoint registration;
        std::uint32_t nameHash = 0; //!< hash of the endpoint's name
        FaultEstimator faultEstimator;
        std::deque<InFlightRequest> inFlight; //!< requests of all hosts, oldest first
        std::optional<limits::SharedBucket> coldBucket; //!< shared by all hosts
        std::optional<limits::SharedBucket> ownColdBucket; //!< set if this host may use it
        core::Instant coldUntil;
        core::Instant overloadedUntil; //!< set after the endpoint has shed a request
        std::optional<core::Instant> lastProbeAt;
        core::Instant lastUsedAt; //!< time of the last request, or of the registration
        bool hasLastRequestFailed = false;
        core::Instant lastFailureStartedAt {}; //!< start of the latest request that failed
        bool isUnused = true; //!< no host is known to have sent it a request
        bool isMisdirected = false; //!< another endpoint uses its address
        bool hasAnnouncedLeaving = false; //!< see onLeaving()
        bool isReturnUnconfirmed = false; //!< see ReturnConfirmation
        bool isReturnConfirmed = false; //!< repeated news of the departure says nothing
        core::Instant pausedUntil {}; //!< see onPause()
        std::optional<EndpointRateLimit> rateLimit {}; //!< see onRateLimit()
        ConnectionReuse reuse {}; //!< connections of this host
        EndpointSpeed speed {}; //!< of the requests of all hosts
    };

    /** A start of an endpoint that has announced that it leaves. */
    struct LeavingStart
    {
        std::uint32_t startStamp = 0; //!< see Choice::startStamp
        core::Instant announcedAt;
    };

    std::optional<EndpointChange::Kind> applyRegistration(const RegisteredEndpoint &registration,
                                                          bool isSourceStable, core::Instant now);
    std::optional<EndpointChange::Kind> applyNextReport(Entry &entry,
                                                        const RegisteredEndpoint &registration,
                                                        bool isSourceStable, core::Instant now);
    EndpointChange::Kind addEntry(const RegisteredEndpoint &registration, core::Instant now);
    void awaitConfirmation(Entry &entry, core::Instant now);

    /** Result of one scan of all endpoints for a request. */
    struct Candidates
    {
        Entry *best = nullptr; //!< the endpoint with the lowest cost
        Entry *probe = nullptr; //!< a suspected endpoint that is due for a probe
        Entry *idle = nullptr; //!< an endpoint that exceeds its idle limit
        double idleFraction = 0; //!< idle endpoints as a fraction of the usable ones
    };

    bool hasAnnouncedLeaving(const RegisteredEndpoint &registration) const;
    void forgetLeavingStarts(core::Instant now);
    Candidates findCandidates(const balance::WorkRequest &request, core::Instant now);
    void applyColdTime(Entry &entry, core::Instant now);
    void updateOwnColdBucket(Entry &entry, core::Instant now);
    void updateRank(Entry &entry, core::Instant now);
    bool isUsable(Entry &entry, const balance::WorkRequest &request, core::Instant now) const;
    bool isFailureRateHigh(const core::ServiceName &service, core::Instant now) const;
    bool isIdleTooLong(const Entry &entry, bool isFailureRateHigh, core::Instant now) const;
    bool isProbeDue(const Entry &entry, core::Instant now) const;
    SpreadCandidate spreadCandidate(Entry &entry, const balance::WorkRequest &request,
                                    core::Instant now);
    std::size_t chooseByCost(std::span<const SpreadCandidate> costs,
                             const balance::WorkRequest &request, core::Instant now);
    bool isReusePreferred(const Entry &entry, bool isRepeatable, core::Instant now) const;
    std::optional<double> typicalLatencyRatio(const balance::WorkRequest &request) const;
    void updateFaultEstimate(Entry &entry, bool isFailure, std::optional<core::Instant> startedAt,
                             core::Instant now) const;
    void expireLostRequests(Entry &entry, core::Instant now) const;
    Entry *findByHash(std::uint32_t endpointHash) const;

    SelectionPolicy policy;
    core::DomainName domain;
    HostRanking hosts;
    std::mt19937_64 random;
    std::map<core::ServiceName, ServiceLimits> services;
    std::map<std::uint32_t, core::ServiceName> servicesByHash;
    std::map<std::pair<core::ServiceName, core::RouteName>, TypicalLatency> typicalLatencies;
    std::map<core::ServiceName, SuccessRate> successRates;
    std::map<core::ServiceName, DecayingCount> arrivals; //!< requests of all hosts
    std::map<core::ServiceName, EndpointSpeed> serviceSpeeds; //!< over all endpoints
    std::set<core::DomainName> withdrawnDomains;
    std::map<core::EndpointName, Entry> entries;
    std::map<std::uint32_t, Entry *> entriesByHash;
    /**
     * By name hash. Kept beyond the registration, which may be missing for a while and then return,
     * and before it, since other hosts may read a registration first.
     */
    std::map<std::uint32_t, LeavingStart> leavingStarts;
    DepartureTable departures;
    /** Of the entries whose return is unconfirmed. */
    std::map<core::EndpointName, ReturnConfirmation> returnConfirmations;
    bool isEndpointListSet = false;
};

} // namespace damaskgate::upstreams
