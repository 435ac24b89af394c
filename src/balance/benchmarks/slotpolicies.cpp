// Compares policies by which entry hosts share the slots of warm endpoints. Prints latencies and
// the percentage of requests that arrive at an endpoint without a free slot. Usage:
// damaskgate_slotpolicies [--seconds N]

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <CLI/CLI.hpp>

namespace {

constexpr std::size_t HostCount = 44;
constexpr std::size_t EndpointCount = 6;
constexpr double MeanWork = 0.020; //!< seconds
constexpr double OneWayDelay = 0.0005; //!< seconds, from an entry host to an endpoint or the owner
constexpr std::size_t SubsetSize = 2;
constexpr int ShedTries = 3;
constexpr double RetryPause = 0.005; //!< seconds, after ShedTries tries were shed

struct Request
{
    std::size_t host = 0;
    double arrived = 0;
    int tries = 0;
};

enum class Policy {
    Random,
    OwnInFlight,
    TwoChoices,
    Subset,
    OwnerGrants,
    ShedAndRetry,
};

struct PolicyCase
{
    const char *name;
    Policy policy;
};

constexpr PolicyCase Policies[] = {
    { "random", Policy::Random },
    { "own in-flight", Policy::OwnInFlight },
    { "two choices, reported load", Policy::TwoChoices },
    { "subset of 2 endpoints", Policy::Subset },
    { "grant by the owner", Policy::OwnerGrants },
    { "own in-flight, shed when full", Policy::ShedAndRetry },
};

/** Simulation of entry hosts that send to endpoints with slots and a queue, under one policy. */
class Simulation
{
public:
    Simulation(Policy policy, std::size_t slots, double load, std::uint64_t seed)
        : policy(policy), slots(slots),
          rate(load * static_cast<double>(slots * EndpointCount) / MeanWork), random(seed),
          endpoints(EndpointCount), own(HostCount, std::vector<std::size_t>(EndpointCount)),
          reportedLoads(HostCount, std::vector<std::size_t>(EndpointCount))
    {}

    void run(double seconds)
    {
        this->scheduleArrival();
        while (this->now < seconds) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
    }

    void print(const char *name, double load)
    {
        std::ranges::sort(this->latencies);
        const auto at = [this](double share) {
            const auto index =
                static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1));
            return this->latencies[index] * 1000;
        };
        std::printf("%zu slots  load %.2f  %-30s p50 %6.1f ms  p99 %6.1f ms  to a full endpoint "
                    "%4.1f%%\n",
                    this->slots, load, name, at(0.5), at(0.99),
                    100.0 * static_cast<double>(this->toFull) / static_cast<double>(this->sent));
    }

private:
    struct Event
    {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    struct Endpoint
    {
        std::size_t running = 0;
        std::size_t granted = 0;
        std::deque<Request> waiting;
    };

    void after(double delay, std::function<void()> action)
    {
        this->events.push({ this->now + delay, ++this->order, std::move(action) });
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(this->random);
    }

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }

    void scheduleArrival()
    {
        this->after(this->exponential(1 / this->rate), [this] {
            this->dispatch({ this->below(HostCount), this->now, 0 });
            this->scheduleArrival();
        });
    }

    void dispatch(const Request &request)
    {
        if (this->policy == Policy::OwnerGrants) {
            this->after(OneWayDelay, [this, request] {
                this->ownerQueue.push_back(request);
                this->grant();
            });
            return;
        }
        this->send(request, this->choose(request.host));
    }

    std::size_t choose(std::size_t host)
    {
        switch (this->policy) {
        case Policy::Random:
            return this->below(EndpointCount);
        case Policy::TwoChoices: {
            const std::size_t first = this->below(EndpointCount);
            const std::size_t second = this->below(EndpointCount);
            const auto &load = this->reportedLoads[host];
            return load[first] <= load[second] ? first : second;
        }
        case Policy::Subset: {
            const std::size_t first = (host * SubsetSize) % EndpointCount;
            return this->leastLoaded(host, first, SubsetSize);
        }
        default:
            return this->leastLoaded(host, this->below(EndpointCount), EndpointCount);
        }
    }

    /**
     * @return the endpoint with the fewest requests of @p host, among the @p count consecutive
     *         endpoints that begin with @p first.
     */
    std::size_t leastLoaded(std::size_t host, std::size_t first, std::size_t count)
    {
        std::size_t best = first;
        for (std::size_t i = 1; i < count; ++i) {
            const std::size_t other = (first + i) % EndpointCount;
            best = this->own[host][other] < this->own[host][best] ? other : best;
        }
        return best;
    }

    void grant()
    {
        while (!this->ownerQueue.empty()) {
            const auto free = std::ranges::min_element(this->endpoints, {}, &Endpoint::granted);
            if (free->granted >= this->slots) {
                return;
            }
            ++free->granted;
            const Request request = this->ownerQueue.front();
            this->ownerQueue.pop_front();
            const auto index = static_cast<std::size_t>(free - this->endpoints.begin());
            this->after(OneWayDelay, [this, request, index] { this->send(request, index); });
        }
    }

    void send(const Request &request, std::size_t index)
    {
        ++this->own[request.host][index];
        this->after(OneWayDelay, [this, request, index] { this->arrive(request, index); });
    }

    void arrive(Request request, std::size_t index)
    {
        Endpoint &endpoint = this->endpoints[index];
        ++this->sent;
        if (endpoint.running < this->slots) {
            this->work(request, index);
            return;
        }
        ++this->toFull;
        if (this->policy != Policy::ShedAndRetry) {
            endpoint.waiting.push_back(request);
            return;
        }
        const bool isPauseDue = ++request.tries % ShedTries == 0;
        this->after(OneWayDelay, [this, request, index, isPauseDue] {
            --this->own[request.host][index];
            this->after(isPauseDue ? RetryPause : 0, [this, request] { this->dispatch(request); });
        });
    }

    void work(const Request &request, std::size_t index)
    {
        ++this->endpoints[index].running;
        this->after(this->exponential(MeanWork), [this, request, index] {
            Endpoint &endpoint = this->endpoints[index];
            --endpoint.running;
            const std::size_t load = endpoint.running + endpoint.waiting.size();
            if (!endpoint.waiting.empty()) {
                const Request next = endpoint.waiting.front();
                endpoint.waiting.pop_front();
                this->work(next, index);
            }
            this->after(OneWayDelay,
                        [this, request, index, load] { this->end(request, index, load); });
        });
    }

    void end(const Request &request, std::size_t index, std::size_t load)
    {
        --this->own[request.host][index];
        this->reportedLoads[request.host][index] = load;
        this->latencies.push_back(this->now - request.arrived);
        if (this->policy == Policy::OwnerGrants) {
            this->after(OneWayDelay, [this, index] {
                --this->endpoints[index].granted;
                this->grant();
            });
        }
    }

    Policy policy;
    std::size_t slots;
    double rate;
    std::mt19937_64 random;
    double now = 0;
    std::uint64_t order = 0;
    std::priority_queue<Event> events;
    std::vector<Endpoint> endpoints;
    std::vector<std::vector<std::size_t>> own; //!< requests in flight, by host and endpoint
    std::vector<std::vector<std::size_t>> reportedLoads; //!< latest load, by host and endpoint
    std::deque<Request> ownerQueue;
    std::vector<double> latencies;
    std::size_t sent = 0;
    std::size_t toFull = 0;
};

} // namespace

int main(int argc, char **argv)
{
    double seconds = 300;
    CLI::App app("Compares policies for sharing the slots of warm endpoints");
    app.add_option("--seconds", seconds, "simulated time of each run");
    CLI11_PARSE(app, argc, argv);

    for (const std::size_t slots : { 2U, 6U }) {
        for (const double load : { 0.5, 0.7, 0.85 }) {
            for (const PolicyCase &entry : Policies) {
                Simulation simulation(entry.policy, slots, load, 1);
                simulation.run(seconds);
                simulation.print(entry.name, load);
            }
        }
    }
    return 0;
}
