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
    core::Instant queuedAt {};
    /** From then on it goes before all others, so that it is not starved. */
    core::Instant startBy = core::Instant::max();
};

/** Result of ServiceQueue::push(). */
struct PushResult
{
    bool isAccepted = false;
    std::optional<std::uint64_t> dropped; //!< queued request removed to make room
};

/**
 * Bounded queue of one service, ordered by priority and shared fairly between workspaces.
 *
 * Requests that are overdue come first, then those of the lowest priority value. Requests of
 * deferrable routes are served only while no other request can be served. Within a priority,
 * workspaces whose next request can still meet its objective come first, and among them start-time
 * fair queueing serves each workspace in proportion to its weight. Within a workspace the nearest
 * objective that can still be met comes first. When the queue is full, the newest request of the
 * workspace with the most queued requests relative to its weight is dropped; deferrable and less
 * urgent requests are dropped first.
 */
class ServiceQueue
{
public:
    using Predicate = std::function<bool(const WorkRequest &)>;
    using QueuedPredicate = std::function<bool(const QueuedRequest &)>;

    /** @param limit largest number of queued requests */
    void setLimit(std::size_t limit);

    /** @param weight weight of the workspace; values below 1 count as 1 */
    PushResult push(QueuedRequest request, std::uint32_t weight);

    /** Removes and returns the first request in order that satisfies @p isServable. */
    std::optional<QueuedRequest> pop(core::Instant now, const QueuedPredicate &isServable);

    /** Removes the request @p id; returns whether it was queued. */
    bool remove(std::uint64_t id);

    /** Removes the requests that satisfy @p isRemovable and returns their ids. */
    std::vector<std::uint64_t> removeIf(const Predicate &isRemovable);

    /** @return estimated number of queued requests that are served before a new request @p work. */
    std::size_t countAhead(const WorkRequest &work, std::uint32_t weight) const;

    std::size_t size() const;

private:
    struct FlowKey
    {
        bool isDeferrable = false;
        std::uint32_t priority = 0;
        core::WorkspaceName workspace;

        auto operator<=>(const FlowKey &) const = default;
    };

    struct Flow
    {
        double weight = 1;
        double nextStartTime = 0; //!< virtual start time of the first queued request
        std::deque<QueuedRequest> requests; //!< ordered by objective, nearest first
    };

    using Requests = std::deque<QueuedRequest>;

    static Requests::iterator nextOf(Requests &requests, core::Instant now);

    using Flows = std::map<FlowKey, Flow>;

    bool makeRoom(const FlowKey &key, double weight, PushResult &result);
    std::vector<Flows::iterator> flowsInOrder(core::Instant now);
    void eraseIdleFlows();

    std::size_t limit = 64;
    std::size_t count = 0;
    double virtualTime = 0;
    Flows flows;
};

} // namespace damaskgate::balance
