#pragma once

#include <string>

#include "damaskgate/core/time.h"

namespace damaskgate::load {

/** How a request of the load ended. */
enum class Ending {
    Answered, //!< a whole answer that no host of the fleet refused
    Refused, //!< by a host of the fleet, with a reason and a verdict
    NotConnected, //!< no entry took the connection
    Broken, //!< the connection ended before the whole answer
    Timeout,
    Overload, //!< not sent: the load program itself had too many requests under way
};

/** @return the ending as it stands in reports. */
std::string_view toText(Ending ending);

struct ExchangeResult
{
    Ending ending = Ending::Answered;
    unsigned status = 0;
    std::string reason; //!< of a refusal
    std::string verdict; //!< of a refusal
    bool isEchoed = false; //!< the answer carries the id of a request
    bool isOwn = true; //!< the id is that of this request
    bool hasNewConnection = false;
};

/**
 * Tells whether a request may be sent to another entry after @p result.
 *
 * A repeatable request may follow any failure. Any other may follow only if nothing has run it: no
 * connection was made, or the refusal says so. A refusal that every entry would give alike is
 * final.
 */
bool isSafeElsewhere(const ExchangeResult &result, bool isRepeatable);

} // namespace damaskgate::load
