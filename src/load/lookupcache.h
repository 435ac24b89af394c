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

/** What a host answers to a look-up. */
struct LookupAnswer
{
    core::Duration timeToLive {};
    std::vector<Address> entries; //!< the most preferred first
    std::string operationTicket; //!< for operations on the host that answered
};

/** @return the answer in the JSON @p text, or BadRequest. */
core::Result<LookupAnswer> parseLookupAnswer(std::string_view text);

/** Keeps the answers of look-ups for their time to live. */
class LookupCache
{
public:
    /** Keeps @p answer, given by @p host. */
    void store(const Address &host, LookupAnswer answer, core::Instant now);

    /** @return the entries of the latest answer that still holds, or null. */
    const std::vector<Address> *entries(core::Instant now) const;

    /** @return a ticket for operations on @p host, or nothing. */
    std::optional<std::string> ticketFor(const Address &host, core::Instant now) const;

    /** Forgets which entries to use, so that the next request looks them up again. */
    void forgetEntries();

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
