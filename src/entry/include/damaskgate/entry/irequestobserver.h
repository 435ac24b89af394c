#pragma once

#include <optional>
#include <string>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::entry {

/** Outcome of one request of a caller. */
struct RequestRecord
{
    core::RouteName route; //!< empty when no route matched
    core::WorkspaceName workspace; //!< empty on open routes and if the key was not checked
    core::ServiceName service; //!< empty when no route matched
    std::string traceId;
    std::optional<core::Reason> reason; //!< reason of a refusal; empty for complete responses
    core::Verdict verdict = core::Verdict::NotRun;
    int status = 0; //!< status sent; zero if the caller disconnected before the response
    bool isCancelled = false; //!< the caller disconnected before the end of the response
    std::string detail; //!< cause of a refusal in plain words; empty for complete responses
    std::uint32_t attempts = 0; //!< a failed connect counts as one with the next attempt
    std::uint32_t abandonedAttempts = 0; //!< ended by this host while the response was outstanding
    core::Duration admission {}; //!< waiting time for admission by rate and burst limits
    core::Duration queued {}; //!< waiting time for endpoint slots
    core::Duration upstream {}; //!< time from sending to response header; overlaps count once
    core::Duration total {}; //!< time from complete request header to end of response
    core::Duration left {}; //!< time from the end of response to the deadline; zero if it passed
};

/** Receives a record of each finished request, for metrics and logs. */
class IRequestObserver
{
public:
    virtual ~IRequestObserver() = default;

    /** Called once on the data thread for each request of a caller; must not block. */
    virtual void onRequestFinished(const RequestRecord &record) = 0;
};

} // namespace damaskgate::entry
