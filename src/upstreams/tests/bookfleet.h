#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::upstreams {

/** One EndpointSelector for each host of a fleet, which hear of each other's requests a little
 * late. */
class BookFleet
{
public:
    BookFleet(int hosts, core::Duration noteDelay);

    /** Gives every host the same list of endpoints of @p service. */
    void setEndpoints(const core::ServiceName &service, double coldRatePerSecond,
                      std::span<const RegisteredEndpoint> endpoints);

    /** Moves time on and hands out the notes that are due. */
    void advance(core::Duration step);

    /** Lets @p host choose for @p request and tell of the start. */
    std::optional<Choice> send(std::size_t host, const balance::WorkRequest &request);

    /** Lets @p host tell how the request of @p choice ended. */
    void end(std::size_t host, const Choice &choice, balance::Outcome outcome);

    /** Lets @p host tell of a request that it refused. */
    void refuse(std::size_t host, const core::ServiceName &service);

    std::size_t size() const;

    core::Instant now { std::chrono::hours(1) };

private:
    using Note = std::function<void(EndpointSelector &, std::uint32_t)>;

    struct Pending
    {
        core::Instant due;
        std::size_t from = 0;
        Note note;
    };

    void tell(std::size_t from, Note note);

    core::Duration noteDelay;
    std::vector<std::unique_ptr<EndpointSelector>> books;
    std::deque<Pending> pending;
};

} // namespace damaskgate::upstreams
