#pragma once

#include <optional>
#include <random>
#include <string>

#include "damaskgate/load/runner.h"
#include "httpclient.h"
#include "lookupcache.h"

namespace damaskgate::load {

/** One caller of a workspace, with its own look-up and connections. */
class Caller
{
public:
    struct SendResult
    {
        ExchangeResult result;
        unsigned attempts = 0;
    };

    /** @p experiment and @p workspace must outlive this object. */
    Caller(boost::asio::any_io_executor executor, const Experiment &experiment,
           const LoadWorkspace &workspace, RunMode mode, std::uint64_t seed);

    /** Sends one request; after a failure tries other entries as long as that is safe. */
    boost::asio::awaitable<SendResult> send(const LoadRoute &route, std::string requestId);

private:
    boost::asio::awaitable<std::vector<Address>> targetsFor(const LoadRoute &route);
    boost::asio::awaitable<std::vector<Address>> findEntries();
    boost::asio::awaitable<bool> lookUpAt(Address entry);
    boost::asio::awaitable<std::optional<std::string>> ticketFor(Address entry);
    boost::asio::awaitable<ExchangeResult> sendTo(Address target, const LoadRoute &route,
                                                  std::string requestId);
    HttpRequest makeRequest(const LoadRoute &route, const std::string &requestId) const;

    const Experiment &experiment;
    const LoadWorkspace &workspace;
    RunMode mode;
    core::SystemClock clock;
    HttpClient client;
    LookupCache cache;
    ExchangeResult lookupFailure; //!< result of the latest look-up that failed
    std::mt19937_64 random;
};

} // namespace damaskgate::load
