#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/core/time.h"
#include "damaskgate/load/experiment.h"

namespace damaskgate::load {

/** Response of a host to a look-up. */
struct LookupResponse
{
    core::Duration timeToLive {};
    std::vector<Address> entries; //!< entry hosts in order of preference, the best first
    std::string operationTicket; //!< ticket for operations on the host that responded
};

/** @return the response in the JSON @p text, or BadRequest. */
core::Result<LookupResponse> parseLookupResponse(std::string_view text);

/** Caches look-up responses for their time to live. */
class LookupCache
{
public:
    /** Stores the response that @p host gave at @p now. */
    void store(const Address &host, LookupResponse response, core::Instant now);

    /** @return the entries of the latest response, or null if it has expired or has none. */
    const std::vector<Address> *entries(core::Instant now) const;

    /** @return the ticket for operations on @p host, or nullopt if it has none that is valid. */
    std::optional<std::string> ticketFor(const Address &host, core::Instant now) const;

    /** Discards the entries, so that the next request looks them up again. */
    void discardEntries();

private:
    struct Ticket
    {
        std::string text;
        core::Instant expiry;
    };

    std::vector<Address> latest;
    core::Instant expiry {};
    std::map<Address, Ticket> tickets;
};

} // namespace damaskgate::load
