#include "servicequeue.h"

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
    const FlowKey key { request.work.isDeferrable, request.work.workspace };
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
    flow.requests.push_back(std::move(request));
    ++this->count;
    result.isAccepted = true;
    return result;
}

bool ServiceQueue::makeRoom(const FlowKey &key, double weight, PushResult &result)
{
    const auto weightedLoad = [](const Flows::value_type &entry) {
        const double share =
            static_cast<double>(entry.second.requests.size()) / entry.second.weight;
        return std::tuple(entry.first.isDeferrable, share);
    };
    const auto longest = std::ranges::max_element(this->flows, {}, weightedLoad);
    if (longest == this->flows.end() || longest->second.requests.empty()) {
        return false;
    }
    const auto own = this->flows.find(key);
    const std::size_t queued = own == this->flows.end() ? 0 : own->second.requests.size();
    const auto ownLoad = std::tuple(key.isDeferrable, static_cast<double>(queued + 1) / weight);
    if (weightedLoad(*longest) <= ownLoad) {
        return false;
    }
    result.dropped = longest->second.requests.back().id;
    longest->second.requests.pop_back();
    --this->count;
    return true;
}

std::vector<ServiceQueue::Flows::iterator> ServiceQueue::flowsInOrder()
{
    std::vector<Flows::iterator> order;
    for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
        if (!flow->second.requests.empty()) {
            order.push_back(flow);
        }
    }
    std::ranges::sort(order, {}, [](const Flows::iterator &flow) {
        return std::tuple(flow->first.isDeferrable, flow->second.nextStartTime);
    });
    return order;
}

std::optional<QueuedRequest> ServiceQueue::pop(const Predicate &isServable)
{
    const auto order = this->flowsInOrder();
    const auto found = std::ranges::find_if(order, [&](const Flows::iterator &flow) {
        return isServable(flow->second.requests.front().work);
    });
    if (found == order.end()) {
        return std::nullopt;
    }
    Flow &flow = (*found)->second;
    QueuedRequest request = std::move(flow.requests.front());
    flow.requests.pop_front();
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
    const FlowKey key { work.isDeferrable, work.workspace };
    const auto own = this->flows.find(key);
    const std::size_t queued = own == this->flows.end() ? 0 : own->second.requests.size();
    const double share = static_cast<double>(queued) / std::max<std::uint32_t>(weight, 1);
    auto ahead = static_cast<double>(queued);
    for (const auto &[otherKey, flow] : this->flows) {
        if (otherKey == key || (otherKey.isDeferrable && !key.isDeferrable)) {
            continue;
        }
        const auto size = static_cast<double>(flow.requests.size());
        const bool isServedFirst = otherKey.isDeferrable != key.isDeferrable;
        ahead += isServedFirst ? size : std::min(size, std::ceil(share * flow.weight));
    }
    return static_cast<std::size_t>(ahead);
}

std::size_t ServiceQueue::size() const
{
    return this->count;
}

} // namespace damaskgate::balance
