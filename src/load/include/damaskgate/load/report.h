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

/** Results of one stream of requests. */
struct StreamReport
{
    StreamReport();

    metrics::Histogram latency; //!< seconds from the intended send time to a good response
    std::uint64_t requests = 0;
    std::map<std::string, std::uint64_t> outcomes; //!< number of requests by outcome
    std::map<std::string, std::uint64_t> refusals; //!< number of refusals by `reason/verdict`
    std::map<std::string, std::uint64_t> statuses; //!< number of responses by HTTP status
    std::uint64_t mismatchedResponses = 0; //!< responses with the id of another request
    std::uint64_t unidentifiedResponses = 0; //!< responses without an id, not verifiable
    std::uint64_t refusalsWithinRate = 0; //!< refusals within the rate and burst
    std::uint64_t fallbackAttempts = 0; //!< attempts at other entry hosts after the first one
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
     * Adds the result of one request.
     *
     * @param latency time from the intended send time to the end of the request
     * @param isWithinRate whether the workspace was within its rate and burst
     * @param attempts number of entries that the request was sent to
     */
    void add(const Key &key, const ExchangeResult &result, core::Duration latency,
             bool isWithinRate, unsigned attempts);

    /** Adds the result of an action of the experiment on @p target. */
    void addAction(const std::string &target, const ExchangeResult &result);

    /** @return the results of all streams and the worst-served workspace of each phase. */
    nlohmann::json toJson() const;

private:
    std::map<Key, std::unique_ptr<StreamReport>> streams;
    std::vector<std::string> actions; //!< target, outcome and status, in order of their ends
};

/** @return the table of @p report, which RunReport::toJson() made. */
std::string formatReport(const nlohmann::json &report);

/** @return a table with the differences between two reports for each stream. */
std::string formatComparison(const nlohmann::json &first, const nlohmann::json &second);

} // namespace damaskgate::load
