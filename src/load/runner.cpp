#include "damaskgate/load/runner.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "caller.h"
#include "damaskgate/load/arrivals.h"

namespace damaskgate::load {

namespace asio = boost::asio;

namespace {

constexpr auto WithError = asio::as_tuple(asio::use_awaitable);

/** Callers of one workspace; requests are distributed over them in turn. */
struct WorkspaceCallers
{
    std::vector<std::unique_ptr<Caller>> callers;
    std::size_t next = 0;
    std::optional<OfferedRate> offered; //!< absent if the workspace has no rate
};

class Runner
{
public:
    Runner(const Experiment &experiment, RunMode mode) : experiment(experiment), mode(mode) {}

    RunReport run()
    {
        this->makeCallers();
        this->start = this->clock.now();
        asio::co_spawn(this->context, this->runPhases(), asio::detached);
        for (const Action &action : this->experiment.actions) {
            asio::co_spawn(this->context, this->runAction(action), asio::detached);
        }
        this->context.run();
        return std::move(this->report);
    }

private:
    void makeCallers()
    {
        std::uint64_t seed = this->experiment.seed;
        for (const LoadWorkspace &workspace : this->experiment.workspaces) {
            WorkspaceCallers &group = this->groups.emplace_back();
            for (std::uint32_t i = 0; i < workspace.callers; ++i) {
                group.callers.push_back(std::make_unique<Caller>(
                    this->context.get_executor(), this->experiment, workspace, this->mode, ++seed));
            }
            if (workspace.ratePerSecond > 0) {
                group.offered.emplace(workspace.ratePerSecond, workspace.burst);
            }
        }
    }

    asio::awaitable<void> sleepUntil(core::Instant time)
    {
        asio::steady_timer timer(this->context, time - this->clock.now());
        co_await timer.async_wait(WithError);
    }

    asio::awaitable<void> runPhases()
    {
        core::Instant begin = this->start;
        std::uint64_t seed = this->experiment.seed;
        for (const Phase &phase : this->experiment.phases) {
            for (const MixItem &item : phase.mix) {
                asio::co_spawn(this->context, this->runStream(phase, item, begin, ++seed),
                               asio::detached);
            }
            begin += phase.length;
            co_await this->sleepUntil(begin);
        }
    }

    asio::awaitable<void> runStream(const Phase &phase, const MixItem &item, core::Instant begin,
                                    std::uint64_t seed)
    {
        Arrivals arrivals(item.perSecond, this->experiment.isPoisson, seed);
        const core::Instant end = begin + phase.length;
        for (core::Instant next = begin + arrivals.nextGap(); next < end;
             next += arrivals.nextGap()) {
            if (next > this->clock.now()) {
                co_await this->sleepUntil(next);
            }
            asio::co_spawn(this->context, this->sendRequest(phase, item, next), asio::detached);
        }
    }

    asio::awaitable<void> sendRequest(const Phase &phase, const MixItem &item,
                                      core::Instant intended)
    {
        WorkspaceCallers &group = this->groups[item.workspace];
        const bool isWithinRate = group.offered && group.offered->offer(intended);
        Caller::SendResult sent;
        sent.result.outcome = Outcome::Overload;
        if (this->inFlight < this->experiment.maxInFlight) {
            ++this->inFlight;
            Caller &caller = *group.callers[group.next++ % group.callers.size()];
            const std::string id = RequestIdPrefix + std::to_string(this->experiment.seed) + '-'
                + std::to_string(++this->lastId) + '-';
            sent = co_await caller.send(this->experiment.routes[item.route], id);
            --this->inFlight;
        }
        if (intended < this->start + this->experiment.warmup) {
            co_return;
        }
        const RunReport::Key key { phase.name, this->experiment.workspaces[item.workspace].name,
                                   this->experiment.routes[item.route].name };
        this->report.add(key, sent.result, this->clock.now() - intended, isWithinRate,
                         sent.attempts);
    }

    asio::awaitable<void> runAction(const Action &action)
    {
        co_await this->sleepUntil(this->start + action.at);
        HttpClient client(this->context.get_executor());
        HttpRequest request(boost::beast::http::string_to_verb(action.method), action.target, 11);
        request.set(boost::beast::http::field::host, action.address.host);
        request.body() = action.body;
        request.prepare_payload();
        const HttpResponse response = co_await client.exchange(action.address, std::move(request),
                                                               {}, this->experiment.timeout);
        this->report.addAction(action.target, response.result);
    }

    const Experiment &experiment;
    RunMode mode;
    core::SystemClock clock;
    asio::io_context context { 1 };
    std::vector<WorkspaceCallers> groups;
    core::Instant start;
    std::size_t inFlight = 0;
    std::uint64_t lastId = 0;
    RunReport report;
};

} // namespace

RunReport runExperiment(const Experiment &experiment, RunMode mode)
{
    return Runner(experiment, mode).run();
}

} // namespace damaskgate::load
