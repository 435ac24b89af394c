#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "damaskgate/lease/leasetable.h"
#include "damaskgate/limits/limiterstatemachine.h"
#include "damaskgate/support/lossynetwork.h"
#include "damaskgate/support/random.h"
#include "damaskgate/support/virtualtime.h"
#include "damaskgate/support/windowcheck.h"

// Measures the fraction of refused requests for a workspace that stays within its rate.

using namespace damaskgate;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HostCount = 44;
constexpr std::size_t CallerCount = 40;
constexpr double Rate = 50;
constexpr double Burst = 20;
constexpr core::Duration LookupTtl = 10s; //!< callers cache a look-up for this time
constexpr core::Duration WarmUp = 20s;
constexpr core::Duration Length = 320s;
constexpr core::Duration KillTime = 60s;

const core::WorkspaceName Workspace("orders");

/** Admits or refuses requests that arrive at numbered hosts. */
class ILimiterModel
{
public:
    virtual ~ILimiterModel() = default;
    virtual std::vector<std::size_t> preferredHosts() const = 0;
    virtual void admit(std::size_t host, std::function<void(bool)> done) = 0;
    virtual void kill(std::size_t host) = 0;

    /** @return whether a caller can connect to @p host. */
    virtual bool isReachable(std::size_t host) const = 0;
};

/**
 * Limiter in which each host has a fixed share of rate and burst. Optionally, a host also consumes
 * tokens of other hosts, without a delay.
 */
class SharesModel final : public ILimiterModel
{
public:
    SharesModel(support::VirtualTime &time, const std::vector<double> &shares,
                bool canUseOtherShares)
        : time(time), canUseOtherShares(canUseOtherShares)
    {
        for (const double share : shares) {
            this->buckets.emplace_back(Rate * share, Burst * share, core::Instant {});
        }
        this->isDead.resize(shares.size());
    }

    std::vector<std::size_t> preferredHosts() const override
    {
        std::vector<std::size_t> live;
        for (std::size_t index = 0; index < this->buckets.size(); ++index) {
            if (!this->isDead[index]) {
                live.push_back(index);
            }
        }
        return live;
    }

    void admit(std::size_t host, std::function<void(bool)> done) override
    {
        bool isAdmitted = this->consumeFrom(host);
        for (std::size_t other = 0; this->canUseOtherShares && other < this->buckets.size();
             ++other) {
            isAdmitted = isAdmitted || this->consumeFrom(other);
        }
        done(isAdmitted);
    }

    void kill(std::size_t host) override
    {
        this->isDead[host] = true;
    }

    bool isReachable(std::size_t host) const override
    {
        return !this->isDead[host];
    }

private:
    bool consumeFrom(std::size_t host)
    {
        return !this->isDead[host] && this->buckets[host].consume(core::Instant(this->time.now()));
    }

    support::VirtualTime &time;
    bool canUseOtherShares;
    std::vector<limits::TokenBucket> buckets;
    std::vector<bool> isDead;
};

/** Lease tables and limiters of all hosts. */
class FleetModel final : public ILimiterModel
{
public:
    FleetModel(support::VirtualTime &time, support::Random &random)
        : time(time), random(random), network(time, random, HostCount),
          partition(limits::partitionOf(Workspace))
    {
        std::vector<lease::RosterHost> hosts;
        for (std::size_t index = 0; index < HostCount; ++index) {
            const std::string number = std::to_string(index);
            hosts.push_back({ core::HostName(std::string("h").append(number)),
                              core::DomainName(std::to_string(index % 3)) });
            this->names.push_back(hosts.back().name);
        }
        this->roster = std::make_shared<lease::Roster>(
            1, hosts, std::span<const lease::RosterHost> {}, this->partition);
        const auto settings = std::make_shared<settings::Settings>();
        settings->workspaces[Workspace] = { Workspace, Rate, Burst, 1, {} };
        for (std::size_t index = 0; index < HostCount; ++index) {
            this->start(index, settings);
        }
    }

    std::vector<std::size_t> preferredHosts() const override
    {
        std::vector<std::size_t> live;
        for (const core::HostName &name : this->roster->ranking(this->partition)) {
            const std::size_t index = this->indexOf(name);
            if (this->isListed[index] && live.size() < lease::Roster::PreferredHostCount) {
                live.push_back(index);
            }
        }
        return live;
    }

    void admit(std::size_t host, std::function<void(bool)> done) override
    {
        Node &node = *this->nodes[host];
        if (node.isDead) {
            done(false);
            return;
        }
        const core::Instant now = this->now();
        const std::uint64_t ticket = node.limiter.admit(Workspace, now + 1s, now);
        node.waiting[ticket] = std::move(done);
        this->processOutput(host);
    }

    bool isReachable(std::size_t host) const override
    {
        return !this->nodes[host]->isDead;
    }

    void kill(std::size_t host) override
    {
        this->nodes[host]->isDead = true;
        this->time.runAfter(3s, [this, host] {
            this->isListed[host] = false;
            this->publishLiveHosts();
        });
    }

private:
    struct Node
    {
        Node(const lease::HolderId &self, core::Instant now, std::uint64_t seed)
            : self(self), leases(self, now, seed), limiter(self, leases)
        {}

        lease::HolderId self;
        lease::LeaseTable leases;
        limits::LimiterStateMachine limiter;
        std::map<std::uint64_t, std::function<void(bool)>> waiting;
        bool isDead = false;
    };

    void start(std::size_t index, const settings::SettingsPtr &settings)
    {
        const lease::HolderId self { this->names[index], index + 1 };
        this->nodes.push_back(std::make_unique<Node>(self, this->now(), this->random.next()));
        Node &node = *this->nodes.back();
        node.leases.applyRoster(this->roster);
        node.leases.setLiveHosts(this->names);
        node.limiter.applySettings(settings, this->now());
        this->isListed.push_back(true);
        this->scheduleTick(index);
    }

    void scheduleTick(std::size_t index)
    {
        this->time.runAfter(this->random.between(4ms, 5ms), [this, index] {
            Node &node = *this->nodes[index];
            if (node.isDead) {
                return;
            }
            node.leases.tick(this->now());
            node.limiter.tick(this->now());
            this->processOutput(index);
            this->scheduleTick(index);
        });
    }

    void publishLiveHosts()
    {
        std::vector<core::HostName> live;
        for (std::size_t index = 0; index < HostCount; ++index) {
            if (this->isListed[index]) {
                live.push_back(this->names[index]);
            }
        }
        for (const auto &node : this->nodes) {
            node->leases.setLiveHosts(live);
        }
    }

    void processOutput(std::size_t index)
    {
        Node &node = *this->nodes[index];
        for (const lease::LeaseChange &change : node.leases.takeChanges()) {
            if (change.kind == lease::LeaseChange::Kind::Releasing) {
                node.limiter.onReleasing(change.partition, change.epoch, change.successor,
                                         this->now());
            }
        }
        const limits::LimiterActions actions = node.limiter.takeActions();
        for (const lease::PartitionId released : actions.released) {
            node.leases.confirmRelease(released, this->now());
        }
        for (const lease::PartitionId requested : actions.takeoverRequests) {
            node.leases.requestTakeover(requested, this->now());
        }
        for (const auto &[host, message] : actions.messages) {
            this->send(index, this->indexOf(host), [=, from = node.self, this](Node &to) {
                to.limiter.onMessage(from, message, this->now());
            });
        }
        for (const auto &[host, batch] : node.leases.takeOutbox(this->now())) {
            this->send(index, this->indexOf(host), [=, from = node.self, this](Node &to) {
                to.leases.onBatch(from, batch, this->now());
            });
        }
        for (const limits::Decision &decision : actions.decisions) {
            const auto done = node.waiting.extract(decision.ticket);
            done.mapped()(decision.result.has_value());
        }
    }

    void send(std::size_t from, std::size_t to, const std::function<void(Node &)> &deliver)
    {
        this->network.send(from, to, [this, to, deliver] {
            if (!this->nodes[to]->isDead) {
                deliver(*this->nodes[to]);
                this->processOutput(to);
            }
        });
    }

    std::size_t indexOf(const core::HostName &name) const
    {
        return static_cast<std::size_t>(std::ranges::find(this->names, name) - this->names.begin());
    }

    core::Instant now() const
    {
        return core::Instant(1h + this->time.now());
    }

    support::VirtualTime &time;
    support::Random &random;
    support::LossyNetwork network;
    lease::PartitionId partition;
    lease::RosterPtr roster;
    std::vector<core::HostName> names;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<bool> isListed;
};

/** Callers whose rates follow a Zipf distribution; each uses the host of its last look-up. */
class Callers
{
public:
    Callers(support::VirtualTime &time, support::Random &random, ILimiterModel &model, double load)
        : time(time), random(random), model(model)
    {
        std::vector<double> weights(CallerCount);
        std::iota(weights.begin(), weights.end(), 1.0);
        std::ranges::transform(weights, weights.begin(), [](double rank) { return 1 / rank; });
        const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        for (const double weight : weights) {
            this->call(load * Rate * weight / sum, std::make_shared<LookupResult>());
        }
    }

    std::size_t offered = 0;
    std::size_t refused = 0;
    support::WindowCheck check { Rate, Burst };
    bool isLimitMet = true;

private:
    struct LookupResult
    {
        std::size_t host = 0;
        core::Duration until { -1 };
    };

    //! NOTE A look-up may still name a dead host; the caller then connects to another named host.
    void lookUp(LookupResult &lookup)
    {
        auto preferredHosts = this->model.preferredHosts();
        std::erase_if(preferredHosts,
                      [this](std::size_t host) { return !this->model.isReachable(host); });
        lookup.host = preferredHosts[this->random.below(preferredHosts.size())];
        lookup.until = this->time.now() + LookupTtl;
    }

    void call(double rate, const std::shared_ptr<LookupResult> &lookup)
    {
        this->time.runAfter(this->random.arrival(rate), [=, this] {
            if (this->time.now() >= lookup->until || !this->model.isReachable(lookup->host)) {
                this->lookUp(*lookup);
            }
            const bool isCounted = this->time.now() >= WarmUp;
            this->offered += isCounted ? 1 : 0;
            this->model.admit(lookup->host, [this, isCounted, lookup](bool isAdmitted) {
                if (isAdmitted) {
                    this->isLimitMet = this->check.admit(this->time.now()) && this->isLimitMet;
                    return;
                }
                this->refused += isCounted ? 1 : 0;
                lookup->until = {}; // after a refusal, the caller looks up the entry hosts again
            });
            this->call(rate, lookup);
        });
    }

    support::VirtualTime &time;
    support::Random &random;
    ILimiterModel &model;
};

using MakeModel = std::unique_ptr<ILimiterModel> (*)(support::VirtualTime &, support::Random &);

std::unique_ptr<ILimiterModel> makeEqualShares(support::VirtualTime &time, std::size_t count,
                                               bool canUseOtherShares)
{
    const double share = 1.0 / static_cast<double>(count);
    return std::make_unique<SharesModel>(time, std::vector<double>(count, share),
                                         canUseOtherShares);
}

struct Design
{
    const char *name;
    MakeModel make;
};

constexpr std::array LimiterDesigns {
    Design { "equal shares, 44 hosts",
             [](support::VirtualTime &t, support::Random &) {
                 return makeEqualShares(t, 44, false);
             } },
    Design { "equal shares, 3 hosts",
             [](support::VirtualTime &t, support::Random &) {
                 return makeEqualShares(t, 3, false);
             } },
    Design { "3 equal shards, ideal takes",
             [](support::VirtualTime &t, support::Random &) {
                 return makeEqualShares(t, 3, true);
             } },
    Design { "shards 0.8/0.1/0.1, ideal takes",
             [](support::VirtualTime &t, support::Random &) -> std::unique_ptr<ILimiterModel> {
                 return std::make_unique<SharesModel>(t, std::vector { 0.8, 0.1, 0.1 }, true);
             } },
    Design { "this: leased bucket with takes",
             [](support::VirtualTime &t, support::Random &r) -> std::unique_ptr<ILimiterModel> {
                 return std::make_unique<FleetModel>(t, r);
             } },
};

void measure(const Design &design, double load, bool isHostKilled)
{
    std::size_t offered = 0;
    std::size_t refused = 0;
    bool isLimitMet = true;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        support::VirtualTime time;
        support::Random random(seed);
        const auto model = design.make(time, random);
        Callers callers(time, random, *model, load);
        if (isHostKilled) {
            time.runAt(KillTime, [&model] { model->kill(model->preferredHosts().front()); });
        }
        time.runUntil(isHostKilled ? KillTime + 60s : Length);
        offered += callers.offered;
        refused += callers.refused;
        isLimitMet = isLimitMet && callers.isLimitMet;
    }
    std::cout << std::setw(34) << std::left << design.name << " load=" << load
              << (isHostKilled ? " home-killed" : "") << " offered=" << offered << " refused="
              << static_cast<double>(refused)
            / static_cast<double>(std::max<std::size_t>(offered, 1))
              << " bound=" << (isLimitMet ? "kept" : "BROKEN") << "\n";
}

} // namespace

int main()
{
    for (const Design &design : LimiterDesigns) {
        for (const double load : { 0.5, 0.8, 0.95 }) {
            measure(design, load, false);
        }
        measure(design, 0.6, true);
        measure(design, 0.8, true);
    }
    return 0;
}
