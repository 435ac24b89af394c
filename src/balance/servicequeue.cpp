#include "damaskgate/balance/servicequeue.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>
#include <utility>

namespace damaskgate::balance {

void ServiceQueue::setLimit(std::size_t newLimit)
{
    this->limit = newLimit;
}

PushResult ServiceQueue::push(QueuedRequest request, std::uint32_t weight)
{
    const FlowKey key { request.work.isDeferrable, request.work.priority, request.work.workspace };
    const double flowWeight = std::max<std::uint32_t>(weight, 1);
    PushResult result;
    if (this->count >= this->limit && !this->makeRoom(key, flowWeight, result)) {
        return result;
    }
    Flow &flow = this->flows[key];
    flow.weight = flowWeight;
    if (flow.requests.empty()) {
        flow.nextStartTime = std::max(flow.nextStartTime, this->virtualTime);
    }
    const auto place = std::ranges::upper_bound(
        flow.requests, request.work.objectiveAt, {},
        [](const QueuedRequest &queued) { return queued.work.objectiveAt; });
    flow.requests.insert(place, std::move(request));
    ++this->count;
    result.isAccepted = true;
    return result;
}

bool ServiceQueue::makeRoom(const FlowKey &key, double weight, PushResult &result)
{
    const auto weightedLoad = [](const Flows::value_type &entry) {
        const double share =
            static_cast<double>(entry.second.requests.size()) / entry.second.weight;
        return std::tuple(entry.first.isDeferrable, entry.first.priority, share);
    };
    const auto longest = std::ranges::max_element(this->flows, {}, weightedLoad);
    if (longest == this->flows.end() || longest->second.requests.empty()) {
        return false;
    }
    const auto own = this->flows.find(key);
    const std::size_t queued = own == this->flows.end() ? 0 : own->second.requests.size();
    const auto ownLoad =
        std::tuple(key.isDeferrable, key.priority, static_cast<double>(queued + 1) / weight);
    if (weightedLoad(*longest) <= ownLoad) {
        return false;
    }
    result.dropped = longest->second.requests.back().id;
    longest->second.requests.pop_back();
    --this->count;
    return true;
}

// Returns the request of a workspace that is served next.
ServiceQueue::Requests::iterator ServiceQueue::nextOf(Requests &requests, core::Instant now)
{
    const auto overdue = std::ranges::find_if(
        requests, [now](const QueuedRequest &request) { return request.startBy <= now; });
    if (overdue != requests.end()) {
        return overdue;
    }
    const auto inTime = std::ranges::find_if(
        requests, [now](const QueuedRequest &request) { return request.work.objectiveAt > now; });
    return inTime != requests.end() ? inTime : requests.begin();
}

std::vector<ServiceQueue::Flows::iterator> ServiceQueue::flowsInOrder(core::Instant now)
{
    std::vector<Flows::iterator> order;
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
        if (!flow->second.requests.empty()) {
            order.push_back(flow);
        }
    }
    std::ranges::sort(order, {}, [now](const Flows::iterator &flow) {
        const QueuedRequest &next = *nextOf(flow->second.requests, now);
        const bool isOverdue = next.startBy <= now;
        return std::tuple(!isOverdue, !isOverdue && flow->first.isDeferrable,
                          isOverdue ? 0 : flow->first.priority, next.work.objectiveAt <= now,
                          flow->second.nextStartTime);
    });
    return order;
}

std::optional<QueuedRequest> ServiceQueue::pop(core::Instant now, const QueuedPredicate &isServable)
{
    const auto order = this->flowsInOrder(now);
    const auto found = std::ranges::find_if(order, [&](const Flows::iterator &flow) {
        return isServable(*nextOf(flow->second.requests, now));
    });
    if (found == order.end()) {
        return std::nullopt;
    }
    Flow &flow = (*found)->second;
    const auto next = nextOf(flow.requests, now);
    QueuedRequest request = std::move(*next);
    flow.requests.erase(next);
    --this->count;
    this->virtualTime = std::max(this->virtualTime, flow.nextStartTime);
    flow.nextStartTime += 1 / flow.weight;
    this->eraseIdleFlows();
    return request;
}

void ServiceQueue::eraseIdleFlows()
{
    std::erase_if(this->flows, [this](const Flows::value_type &entry) {
        return entry.second.requests.empty() && entry.second.nextStartTime <= this->virtualTime;
    });
}

bool ServiceQueue::remove(std::uint64_t id)
{
    const auto hasId = [id](const QueuedRequest &request) {
        return request.id == id;
    };
    for (Flow &flow : this->flows | std::views::values) {
        if (std::erase_if(flow.requests, hasId) > 0) {
            --this->count;
            return true;
        }
    }
    return false;
}

std::vector<std::uint64_t> ServiceQueue::removeIf(const Predicate &isRemovable)
{
    std::vector<std::uint64_t> removed;
    const auto collectId = [&](const QueuedRequest &request) {
        if (!isRemovable(request.work)) {
            return false;
        }
        removed.push_back(request.id);
        return true;
    };
    for (Flow &flow : this->flows | std::views::values) {
        std::erase_if(flow.requests, collectId);
    }
    this->count -= removed.size();
    return removed;
}

std::size_t ServiceQueue::countAhead(const WorkRequest &work, std::uint32_t weight) const
{
    const FlowKey key { work.isDeferrable, work.priority, work.workspace };
    const auto urgency = [](const FlowKey &flow) {
        return std::tuple(flow.isDeferrable, flow.priority);
    };
    const auto own = this->flows.find(key);
    const std::size_t queued = own == this->flows.end() ? 0 : own->second.requests.size();
    const double share = static_cast<double>(queued) / std::max<std::uint32_t>(weight, 1);
    auto ahead = static_cast<double>(queued);
    for (const auto &[otherKey, flow] : this->flows) {
        if (otherKey == key || urgency(otherKey) > urgency(key)) {
            continue;
        }
        const auto size = static_cast<double>(flow.requests.size());
        const bool isServedFirst = urgency(otherKey) < urgency(key);
        ahead += isServedFirst ? size : std::min(size, std::ceil(share * flow.weight));
    }
    return static_cast<std::size_t>(ahead);
}

std::size_t ServiceQueue::size() const
{
    return this->count;
}

} // namespace damaskgate::balance
