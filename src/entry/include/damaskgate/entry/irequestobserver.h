#pragma once

#include <optional>
#include <string>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::entry {

/** What became of one request of a caller. */
struct RequestRecord
{
    core::RouteName route; //!< empty when no route matched
    core::WorkspaceName workspace; //!< empty on open routes and before the key was checked
    core::ServiceName service; //!< empty when no route matched
    std::string traceId;
    std::optional<core::Reason> reason; //!< of a refusal by this host; empty for whole answers
    core::Verdict verdict = core::Verdict::NotRun;
    int status = 0; //!< sent to the caller; zero when the caller left before the answer
    bool isCancelled = false; //!< the caller left before it had the whole answer
    std::uint32_t attempts = 0; //!< upstream endpoints that were tried
    core::Duration admission {}; //!< spent on rate and burst
    core::Duration queued {}; //!< spent waiting for endpoints
    core::Duration upstream {}; //!< from the first connect to the first answer byte
    core::Duration total {}; //!< from the whole header of the request to the end of the answer
};

/** Told of every finished request, for metrics. */
class IRequestObserver
{
public:
    virtual ~IRequestObserver() = default;

    /** Called once on the data thread for each request of a caller; must not block. */
    virtual void onRequestFinished(const RequestRecord &record) = 0;
};

} // namespace damaskgate::entry
