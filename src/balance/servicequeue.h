#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "damaskgate/core/time.h"

#include "damaskgate/balance/balancetypes.h"

namespace damaskgate::balance {

/** A request in the queue of a service. */
struct QueuedRequest
{
    std::uint64_t id = 0;
    WorkRequest work;
};

/** What became of a request offered to the queue. */
struct PushResult
{
    bool isAccepted = false;
    std::optional<std::uint64_t> dropped; //!< a queued request that gave its place away
};

/**
 * Bounded queue of one service, shared fairly between workspaces.
 *
 * Start-time fair queueing: each workspace is served in proportion to its weight. Requests of
 * deferrable routes are served only while no other request waits. When the queue is full, the
 * workspace with the most queued requests for its weight loses its newest one.
 */
class ServiceQueue
{
public:
    using Predicate = std::function<bool(const WorkRequest &)>;

    /** @param limit requests that may wait at the same time */
    void setLimit(std::size_t limit);

    /** @param weight share of the workspace, at least 1 */
    PushResult push(QueuedRequest request, std::uint32_t weight);

    /** @return the next request in fair order that @p isServable, taken off the queue. */
    std::optional<QueuedRequest> pop(const Predicate &isServable);

    /** @return whether @p id was queued; it no longer is. */
    bool remove(std::uint64_t id);

    /** @return ids of the requests that satisfy @p isRemovable, taken off the queue. */
    std::vector<std::uint64_t> removeIf(const Predicate &isRemovable);

    /** @return how many queued requests are served before a new one like @p work. */
    std::size_t countAhead(const WorkRequest &work, std::uint32_t weight) const;

    std::size_t size() const;

private:
    struct FlowKey
    {
        bool isDeferrable = false;
        core::WorkspaceName workspace;

        auto operator<=>(const FlowKey &) const = default;
    };

    struct Flow
    {
        double weight = 1;
        double nextTag = 0; //!< virtual start time of the first queued request
        std::deque<QueuedRequest> requests;
    };

    using Flows = std::map<FlowKey, Flow>;

    bool makeRoom(const FlowKey &key, double weight, PushResult &result);
    std::vector<Flows::iterator> flowsInOrder();
    void forgetIdleFlows();

    std::size_t limit = 64;
    std::size_t count = 0;
    double virtualTime = 0;
    Flows flows;
};

} // namespace damaskgate::balance
