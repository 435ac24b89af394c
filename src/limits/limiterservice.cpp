#include "damaskgate/limits/limiterservice.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "tokencodec.h"

namespace damaskgate::limits {

LimiterService::LimiterService(const lease::HolderId &self, lease::LeaseService &leases,
                               core::IClock &clock, peer::IPeerNetwork &network,
                               core::IEventSink &events, Post postToData,
                               const LimiterPolicy &policy)
    : leases(leases), clock(clock), network(network), events(events),
      postToData(std::move(postToData)), stateMachine(self, leases, policy)
{
    network.setHandler(peer::MessageKind::Token,
                       [this](const peer::Datagram &datagram) { this->onDatagram(datagram); });
    leases.addReleaseListener(
        [this](const lease::ReleaseNotice &notice, std::function<void()> done) {
            this->postToData(
                [this, notice, done = std::move(done)] { this->onReleasing(notice, done); });
        });
}

void LimiterService::admit(const core::WorkspaceName &workspace, core::Instant deadline, Done done)
{
    const std::uint64_t ticket = this->stateMachine.admit(workspace, deadline, this->clock.now());
    this->callbacks.emplace(ticket, std::move(done));
    this->flush();
}

void LimiterService::tick()
{
    if (!this->stateMachine.hasPending()) {
        return;
    }
    this->stateMachine.tick(this->clock.now());
    this->flush();
}

void LimiterService::applySettings(settings::SettingsPtr newSettings)
{
    this->postToData([this, newSettings = std::move(newSettings)] {
        this->stateMachine.applySettings(newSettings, this->clock.now());
    });
}

void LimiterService::onDatagram(const peer::Datagram &datagram)
{
    auto messages = decodeMessages(datagram.payload);
    if (!messages) {
        this->events.record({ "token-message-invalid", { { "host", datagram.from.text() } } });
        return;
    }
    const lease::HolderId from { datagram.from, datagram.incarnation };
    this->postToData([this, from, messages = std::move(*messages)] {
        for (const TokenMessage &message : messages) {
            this->stateMachine.onMessage(from, message, this->clock.now());
        }
        this->flush();
    });
}

void LimiterService::onReleasing(const lease::ReleaseNotice &notice,
                                 const std::function<void()> &done)
{
    this->releaseCallbacks.emplace(notice.partition, done);
    this->stateMachine.onReleasing(notice.partition, notice.epoch, notice.successor,
                                   this->clock.now());
    this->flush();
}

void LimiterService::flush()
{
    LimiterActions actions = this->stateMachine.takeActions();
    std::map<core::HostName, std::vector<TokenMessage>> byHost;
    for (auto &[host, message] : actions.messages) {
        byHost[host].push_back(std::move(message));
    }
    for (const auto &[host, messages] : byHost) {
        for (const auto &payload : encodeMessages(messages)) {
            this->network.send(host, peer::MessageKind::Token, payload);
        }
    }
    for (const lease::PartitionId partition : actions.takeoverRequests) {
        this->leases.requestTakeover(partition);
    }
    for (const lease::PartitionId partition : actions.released) {
        const auto [first, last] = this->releaseCallbacks.equal_range(partition);
        std::vector<std::function<void()>> done;
        std::transform(first, last, std::back_inserter(done),
                       [](const auto &entry) { return entry.second; });
        this->releaseCallbacks.erase(first, last);
        std::ranges::for_each(done, [](const auto &call) { call(); });
    }
    // A callback may call admit(), which calls flush() again.
    for (Decision &decision : actions.decisions) {
        const auto node = this->callbacks.extract(decision.ticket);
        if (node) {
            node.mapped()(std::move(decision.result));
        }
    }
}

} // namespace damaskgate::limits
