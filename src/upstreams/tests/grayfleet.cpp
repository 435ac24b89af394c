#include "grayfleet.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

#include "damaskgate/core/hash.h"

namespace damaskgate::upstreams {

namespace {

using Seconds = std::chrono::duration<double>;

const core::ServiceName Service("bokun");

core::Instant toInstant(double seconds)
{
    return core::Instant(std::chrono::hours(1))
        + std::chrono::duration_cast<core::Duration>(Seconds(seconds));
}

/** An endpoint that serves its queue in order and has fault episodes. */
struct GrayEndpoint
{
    core::EndpointName name;
    bool isFaulty = false;
    double nextDraw = 0;
    std::vector<double> freeAt; //!< time at which each slot is free
};

struct Step
{
    double at = 0;
    std::function<void(double)> act;

    bool operator>(const Step &other) const
    {
        return this->at > other.at;
    }
};

class GrayFleet
{
public:
    GrayFleet(const GrayScenario &scenario, const SelectionPolicy &policy)
        : scenario(scenario), random(scenario.seed)
    {
        std::vector<RegisteredEndpoint> registered;
        for (int i = 0; i < scenario.endpoints; ++i) {
            GrayEndpoint endpoint;
            endpoint.name = core::EndpointName("endpoint-" + std::to_string(i));
            endpoint.freeAt.assign(scenario.slots, 0);
            endpoint.nextDraw = this->uniform() * scenario.redrawInterval;
            endpoint.isFaulty = this->uniform() < scenario.faultyFraction;
            this->endpoints.push_back(endpoint);
            RegisteredEndpoint registration;
            registration.endpoint.name = endpoint.name;
            registration.service = Service;
            registration.slots = scenario.slots;
            registration.revision = 1;
            registered.push_back(registration);
        }
        for (int i = 0; i < scenario.hosts; ++i) {
            this->selectors.push_back(
                std::make_unique<EndpointSelector>(policy, core::DomainName(), scenario.seed + i));
            this->selectors.back()->setEndpoints(registered, true, toInstant(0));
        }
    }

    GrayResult run()
    {
        this->scheduleArrival(0);
        while (!this->steps.empty() && this->steps.top().at < this->scenario.duration) {
            const Step step = this->steps.top();
            this->steps.pop();
            step.act(step.at);
        }
        this->result.meanLatency = this->latencySum / std::max(this->answered, 1);
        return this->result;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    void schedule(double at, std::function<void(double)> act)
    {
        this->steps.push({ at, std::move(act) });
    }

    void scheduleArrival(double now)
    {
        const double gap =
            std::exponential_distribution<double>(this->scenario.requestsPerSecond)(this->random);
        this->schedule(now + gap, [this](double at) {
            this->arrive(at);
            this->scheduleArrival(at);
        });
    }

    void arrive(double now)
    {
        const auto host = static_cast<std::size_t>(this->uniform() * this->scenario.hosts);
        balance::WorkRequest request;
        request.service = Service;
        request.isRepeatable = this->scenario.isRepeatable;
        const auto choice = this->selectors[host]->choose(request, toInstant(now));
        ++this->result.requests;
        if (!choice) {
            ++this->result.failed;
            return;
        }
        const std::uint32_t endpointHash = core::nameHash(choice->grant.endpoint.name.text());
        this->broadcast(
            host, now,
            [endpointHash](EndpointSelector &selector, std::uint32_t from, core::Instant at) {
                selector.onStarted(endpointHash, from, at);
            });
        this->serve(host, *choice, endpointHash, now);
    }

    void serve(std::size_t host, const Choice &choice, std::uint32_t endpointHash, double now)
    {
        GrayEndpoint &endpoint =
            *std::ranges::find(this->endpoints, choice.grant.endpoint.name, &GrayEndpoint::name);
        for (; endpoint.nextDraw <= now; endpoint.nextDraw += this->scenario.redrawInterval) {
            endpoint.isFaulty = this->uniform() < this->scenario.faultyFraction;
        }
        const double failureRate = endpoint.isFaulty ? this->scenario.failureRateWhenFaulty
                                                     : this->scenario.failureRateWhenHealthy;
        const bool isFailed = this->uniform() < failureRate;
        const auto slot = std::ranges::min_element(endpoint.freeAt);
        const double start = std::max(now, *slot);
        const double work = isFailed ? 0.001
                                     : std::lognormal_distribution<double>(
                                         std::log(this->scenario.work) - 0.1, 0.45)(this->random);
        *slot = start + work;
        this->result.failed += isFailed ? 1 : 0;
        if (!isFailed) {
            ++this->answered;
            this->latencySum += start + work - now;
        }
        const auto outcome = isFailed ? balance::Outcome::ServerError : balance::Outcome::Answered;
        const bool isProbe = choice.isProbe;
        this->schedule(start + work, [this, host, endpointHash, outcome, isProbe](double at) {
            this->broadcast(host, at,
                            [endpointHash, outcome, isProbe](EndpointSelector &selector,
                                                             std::uint32_t from,
                                                             core::Instant when) {
                                selector.onEnded(endpointHash, from, outcome, when, !isProbe);
                            });
        });
    }

    using Update = std::function<void(EndpointSelector &, std::uint32_t, core::Instant)>;

    void broadcast(std::size_t host, double now, const Update &update)
    {
        update(*this->selectors[host], 0, toInstant(now));
        this->schedule(now + this->scenario.gossipDelay, [this, host, update](double at) {
            for (std::size_t other = 0; other < this->selectors.size(); ++other) {
                if (other != host) {
                    update(*this->selectors[other], static_cast<std::uint32_t>(host + 1),
                           toInstant(at));
                }
            }
        });
    }

    GrayScenario scenario;
    std::mt19937_64 random;
    std::vector<GrayEndpoint> endpoints;
    std::vector<std::unique_ptr<EndpointSelector>> selectors;
    std::priority_queue<Step, std::vector<Step>, std::greater<>> steps;
    GrayResult result;
    double latencySum = 0;
    int answered = 0;
};

} // namespace

GrayResult runGrayScenario(const GrayScenario &scenario, const SelectionPolicy &policy)
{
    return GrayFleet(scenario, policy).run();
}

} // namespace damaskgate::upstreams
