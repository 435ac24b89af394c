// Compares ways to choose an endpoint by counts that are a little old: many hosts choose at the
// same time and learn of each other's choices after a delay. Prints the table of
// docs/design/10-even-load.md.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <vector>

#include "damaskgate/upstreams/loadspreader.h"

using namespace damaskgate::upstreams;

namespace {

constexpr int Endpoints = 90;
constexpr int Slots = 6;
constexpr double WorkSeconds = 0.4;
constexpr double LengthSeconds = 60;
constexpr double TieBreakRange = 0.06;
constexpr double SpreadTieBreakRange = 0.001;
constexpr std::size_t SubsetSize = 8;

/** What a host knows when it chooses. */
struct View
{
    std::span<const int> counts; //!< of all hosts, as of the delay
    std::span<const int> ownSince; //!< starts of this host since then
    std::size_t host = 0;
    double expected = 1; //!< requests of all hosts within the delay
};

using Policy = std::size_t (*)(const View &, std::mt19937_64 &);

double known(const View &view, std::size_t endpoint)
{
    return view.counts[endpoint] + view.ownSince[endpoint];
}

std::size_t chooseLeast(const View &view, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> noise(0, TieBreakRange);
    std::vector<double> costs;
    for (std::size_t i = 0; i < Endpoints; ++i) {
        costs.push_back(loadCost(known(view, i), Slots, std::nullopt) + noise(random));
    }
    return std::ranges::min_element(costs) - costs.begin();
}

std::size_t chooseRandom(const View & /*view*/, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::size_t>(0, Endpoints - 1)(random);
}

std::size_t chooseOfTwo(const View &view, std::mt19937_64 &random)
{
    const std::size_t first = chooseRandom(view, random);
    const std::size_t second = chooseRandom(view, random);
    return known(view, first) <= known(view, second) ? first : second;
}

// The least loaded of a few endpoints that stay the same for a host.
std::size_t chooseOfSubset(const View &view, std::mt19937_64 & /*random*/)
{
    std::mt19937_64 members(view.host + 1);
    std::size_t best = 0;
    double bestCount = 1e9;
    for (std::size_t i = 0; i < SubsetSize; ++i) {
        const std::size_t endpoint =
            std::uniform_int_distribution<std::size_t>(0, Endpoints - 1)(members);
        if (known(view, endpoint) < bestCount) {
            bestCount = known(view, endpoint);
            best = endpoint;
        }
    }
    return best;
}

// Free slots as weights: hosts that see the same counts spread over all that have room.
std::size_t chooseByFreeSlots(const View &view, std::mt19937_64 &random)
{
    std::vector<double> weights;
    for (std::size_t i = 0; i < Endpoints; ++i) {
        weights.push_back(std::max(Slots - known(view, i), 0.05));
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

std::size_t chooseSpreadOver(const View &view, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> noise(0, SpreadTieBreakRange);
    std::vector<SpreadCandidate> candidates;
    for (std::size_t i = 0; i < Endpoints; ++i) {
        candidates.push_back({ noise(random), 0, known(view, i), Slots });
    }
    return chooseSpread(candidates, std::nullopt, static_cast<std::size_t>(view.expected) + 1,
                        random);
}

struct Result
{
    double queuedBesideIdle = 0; //!< share of requests that wait while a slot is free elsewhere
    double waitP99 = 0; //!< seconds
    double busiest = 0; //!< requests of the busiest endpoint, divided by the mean
};

/** Hosts and endpoints with first-in-first-out queues, on virtual time. */
Result play(Policy policy, int hosts, double delay, double load)
{
    struct Change
    {
        double at = 0;
        std::size_t endpoint = 0;
        int step = 0;
        std::size_t host = 0;
    };
    struct End
    {
        double at = 0;
        std::size_t endpoint = 0;

        bool operator>(const End &other) const
        {
            return this->at > other.at;
        }
    };
    std::mt19937_64 random(1);
    const double perSecond = load * Endpoints * Slots / WorkSeconds;
    std::exponential_distribution<double> gap(perSecond);
    std::exponential_distribution<double> work(1 / WorkSeconds);
    std::uniform_int_distribution<std::size_t> anyHost(0, static_cast<std::size_t>(hosts) - 1);
    std::vector<int> seen(Endpoints, 0);
    std::vector<int> actual(Endpoints, 0);
    std::vector<std::size_t> sent(Endpoints, 0);
    std::vector<std::deque<double>> queues(Endpoints); // arrival times
    std::priority_queue<End, std::vector<End>, std::greater<>> ends;
    std::deque<Change> news;
    std::vector<double> waits;
    std::size_t queuedBesideIdle = 0;
    for (double now = gap(random); now < LengthSeconds; now += gap(random)) {
        while (!ends.empty() && ends.top().at <= now) {
            const End end = ends.top();
            ends.pop();
            --actual[end.endpoint];
            news.push_back({ end.at + delay, end.endpoint, -1, 0 });
            if (!queues[end.endpoint].empty()) {
                waits.push_back(end.at - queues[end.endpoint].front());
                queues[end.endpoint].pop_front();
                ends.push({ end.at + work(random), end.endpoint });
            }
        }
        while (!news.empty() && news.front().at <= now) {
            seen[news.front().endpoint] += news.front().step;
            news.pop_front();
        }
        const std::size_t host = anyHost(random);
        std::vector<int> own(Endpoints, 0);
        for (const Change &change : news) {
            own[change.endpoint] += change.step > 0 && change.host == host ? 1 : 0;
        }
        const std::size_t chosen = policy({ seen, own, host, perSecond * delay }, random);
        ++sent[chosen];
        if (actual[chosen] >= Slots) {
            queuedBesideIdle +=
                std::ranges::any_of(actual, [](int count) { return count < Slots; }) ? 1 : 0;
            queues[chosen].push_back(now);
        } else {
            waits.push_back(0);
            ends.push({ now + work(random), chosen });
        }
        ++actual[chosen];
        news.push_back({ now + delay, chosen, 1, host });
    }
    std::ranges::sort(waits);
    const auto total = static_cast<double>(waits.size());
    return { static_cast<double>(queuedBesideIdle) / total,
             waits[static_cast<std::size_t>(total * 0.99)],
             static_cast<double>(std::ranges::max(sent)) * Endpoints / total };
}

} // namespace

int main()
{
    const std::pair<const char *, Policy> policies[] {
        { "random", chooseRandom },
        { "two choices", chooseOfTwo },
        { "subset of 8, least known", chooseOfSubset },
        { "by free slots", chooseByFreeSlots },
        { "least cost with noise", chooseLeast },
        { "spread over expected requests", chooseSpreadOver },
    };
    std::printf(
        "| way | hosts | old by | waits beside a free slot | p99 wait | busiest over mean |\n");
    std::printf("|---|---|---|---|---|---|\n");
    for (const int hosts : { 30, 300, 1000 }) {
        for (const double delay : { 0.03, 0.1, 0.2 }) {
            for (const auto &[name, policy] : policies) {
                const Result result = play(policy, hosts, delay, 0.8);
                std::printf("| %s | %d | %.0f ms | %.1f%% | %.0f ms | %.2f |\n", name, hosts,
                            delay * 1000, result.queuedBesideIdle * 100, result.waitP99 * 1000,
                            result.busiest);
            }
        }
    }
}
