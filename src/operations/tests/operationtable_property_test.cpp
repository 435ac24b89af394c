#include "damaskgate/operations/operationtable.h"

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace damaskgate;
using namespace std::chrono_literals;
using core::Verdict;
using operations::OperationOutcome;
using operations::OperationTable;

namespace {

const core::WorkspaceName Parents("parents");
// RapidCheck reads RC_PARAMS when its first property runs.
const bool IsSeeded = setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0) == 0;
constexpr int HostCount = 3;
constexpr core::Duration Lifetime = 60s;

enum class StepKind {
    Issue,
    Submit,
    Respond,
    LoseResponse,
    Refuse,
    Restart,
    Advance,
    Count,
};

struct Step
{
    StepKind kind = StepKind::Issue;
    int host = 0;
    int choice = 0;
};

/**
 * Protection against a repeated run that the model leaves out, to show that the test detects the
 * resulting violation.
 */
enum class MissingGuard {
    None,
    Incarnation,
    Owner,
    Table,
};

/** Hosts with their tables, callers that repeat operations, and a count of the runs of each key. */
class Model
{
public:
    explicit Model(MissingGuard missing) : missing(missing)
    {
        for (int host = 0; host < HostCount; ++host) {
            this->hosts.push_back({ 1, this->makeTable(host, 1), {} });
        }
    }

    void apply(const Step &step)
    {
        using Action = void (Model::*)(const Step &);
        constexpr Action Actions[] { &Model::issue,        &Model::submit, &Model::respond,
                                     &Model::loseResponse, &Model::refuse, &Model::restart,
                                     &Model::advance };
        (this->*Actions[static_cast<int>(step.kind)])(step);
    }

    bool isViolated() const
    {
        return this->hasRunTwice || this->hasWrongVerdict;
    }

private:
    struct RunningOperation
    {
        std::string key;
        core::Sha256 operation;
    };
    struct Host
    {
        std::uint64_t incarnation;
        std::unique_ptr<OperationTable> table;
        std::vector<RunningOperation> running;
    };

    std::unique_ptr<OperationTable> makeTable(int host, std::uint64_t incarnation) const
    {
        const int named = this->missing == MissingGuard::Owner ? 0 : host;
        const std::uint64_t known = this->missing == MissingGuard::Incarnation ? 1 : incarnation;
        return std::make_unique<OperationTable>(operations::OperationOptions {
            core::HostName("host-" + std::to_string(named)), known, "secret", Lifetime, 3 });
    }

    void issue(const Step &step)
    {
        const auto ticket = this->hosts[step.host].table->issueTicket(Parents, this->now);
        this->keys.push_back(ticket + "/" + std::to_string(step.choice % 2));
    }

    void submit(const Step &step)
    {
        if (this->keys.empty()) {
            return;
        }
        const std::string &key = this->keys[step.choice % this->keys.size()];
        Host &host = this->hosts[step.host];
        if (this->missing == MissingGuard::Table) {
            host.table = this->makeTable(step.host, host.incarnation);
        }
        const auto begun = host.table->begin(key, Parents, this->now);
        if (begun) {
            host.running.push_back({ key, *begun });
            return;
        }
        const Verdict verdict = begun.error().verdict;
        this->hasWrongVerdict |= verdict == Verdict::NotRun && this->runs[key] > 0;
        this->hasWrongVerdict |= verdict == Verdict::Ran && this->runs[key] == 0;
    }

    void respond(const Step &step)
    {
        this->endOne(step, OperationOutcome::Ran);
    }

    void loseResponse(const Step &step)
    {
        this->endOne(step, OperationOutcome::MayHaveRun);
    }

    void refuse(const Step &step)
    {
        this->endOne(step, OperationOutcome::NotRun);
    }

    void endOne(const Step &step, OperationOutcome outcome)
    {
        Host &host = this->hosts[step.host];
        if (host.running.empty()) {
            return;
        }
        const auto chosen =
            host.running.begin() + step.choice % static_cast<int>(host.running.size());
        if (outcome != OperationOutcome::NotRun) {
            this->countRun(chosen->key);
        }
        host.table->end(chosen->operation, outcome, 200);
        host.running.erase(chosen);
    }

    // Running operations may have reached the upstream before the process ended.
    void restart(const Step &step)
    {
        Host &host = this->hosts[step.host];
        for (const RunningOperation &running : host.running) {
            this->countRun(running.key);
        }
        ++host.incarnation;
        host.running.clear();
        host.table = this->makeTable(step.host, host.incarnation);
    }

    void advance(const Step &step)
    {
        this->now += std::chrono::seconds(step.choice % 40);
    }

    void countRun(const std::string &key)
    {
        this->hasRunTwice |= ++this->runs[key] > 1;
    }

    MissingGuard missing;
    core::Instant now { 1h };
    std::vector<Host> hosts;
    std::vector<std::string> keys;
    std::map<std::string, int> runs;
    bool hasRunTwice = false;
    bool hasWrongVerdict = false;
};

rc::Gen<Step> anyStep()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(StepKind::Count)),
                                       rc::gen::inRange(0, HostCount), rc::gen::inRange(0, 1000)),
                        [](const std::tuple<int, int, int> &parts) {
                            return Step { static_cast<StepKind>(std::get<0>(parts)),
                                          std::get<1>(parts), std::get<2>(parts) };
                        });
}

std::vector<Step> randomSteps(std::uint64_t seed)
{
    return rc::gen::container<std::vector<Step>>(200, anyStep())(rc::Random(seed), 100).value();
}

bool isViolatedForSomeSeed(MissingGuard missing)
{
    constexpr std::uint64_t Seeds = 300;
    for (std::uint64_t seed = 0; seed < Seeds; ++seed) {
        Model model(missing);
        for (const Step &step : randomSteps(seed)) {
            model.apply(step);
        }
        if (model.isViolated()) {
            return true;
        }
    }
    return false;
}

} // namespace

namespace rc {

template <>
struct Arbitrary<Step>
{
    static Gen<Step> arbitrary()
    {
        return anyStep();
    }
};

} // namespace rc

RC_GTEST_PROP(OperationTable_Properties, Begin_AnyFaults_NeverRunsTwiceNorReportsWrongVerdict,
              (const std::vector<Step> &steps))
{
    RC_PRE(IsSeeded);
    Model model(MissingGuard::None);
    for (const Step &step : steps) {
        model.apply(step);
        RC_ASSERT(!model.isViolated());
    }
}

TEST(OperationTable_Properties, Begin_LongSchedules_NeverRunsTwiceNorReportsWrongVerdict)
{
    EXPECT_FALSE(isViolatedForSomeSeed(MissingGuard::None));
}

TEST(OperationTable_Properties, Begin_GuardLeftOut_CheckFails)
{
    EXPECT_TRUE(isViolatedForSomeSeed(MissingGuard::Incarnation));
    EXPECT_TRUE(isViolatedForSomeSeed(MissingGuard::Owner));
    EXPECT_TRUE(isViolatedForSomeSeed(MissingGuard::Table));
}
