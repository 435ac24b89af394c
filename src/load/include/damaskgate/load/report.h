#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "damaskgate/core/time.h"
#include "damaskgate/load/exchange.h"
#include "damaskgate/metrics/registry.h"

namespace damaskgate::load {

/** What one stream of requests met. */
struct StreamReport
{
    StreamReport();

    metrics::Histogram latency; //!< seconds from the intended send time, of good answers
    std::uint64_t requests = 0;
    std::map<std::string, std::uint64_t> endings;
    std::map<std::string, std::uint64_t> refusals; //!< by `reason/verdict`
    std::map<std::string, std::uint64_t> statuses; //!< of answers
    std::uint64_t wrongAnswers = 0; //!< carried the id of another request
    std::uint64_t unechoedAnswers = 0; //!< carried no id, so nothing is known
    std::uint64_t wrongfulRefusals = 0; //!< while the workspace was within its rate and burst
    std::uint64_t attemptsElsewhere = 0;
};

/** Collects results by phase, workspace and route. */
class RunReport
{
public:
    struct Key
    {
        std::string phase;
        std::string workspace;
        std::string route;

        auto operator<=>(const Key &) const = default;
    };

    /**
     * Adds one request.
     *
     * @param latency from the intended send time to the end
     * @param isWithinRate whether the workspace was within its rate and burst
     * @param attempts entries the request was sent to
     */
    void add(const Key &key, const ExchangeResult &result, core::Duration latency,
             bool isWithinRate, unsigned attempts);

    /** Adds the end of an experiment's action on @p target. */
    void addAction(const std::string &target, const ExchangeResult &result);

    /** @return all figures, with the worst-served workspace of each phase. */
    nlohmann::json toJson() const;

private:
    std::map<Key, std::unique_ptr<StreamReport>> streams;
    std::vector<std::string> actions; //!< target and status in the order they ended
};

/** @return @p report, made by RunReport::toJson(), as a table. */
std::string reportText(const nlohmann::json &report);

/** @return the differences of two reports stream by stream, as a table. */
std::string compareText(const nlohmann::json &first, const nlohmann::json &second);

} // namespace damaskgate::load
