#include "damaskgate/balance/slotcoordinator.h"

#include <utility>
#include <variant>

#include "slotcodec.h"

namespace damaskgate::balance {

SlotCoordinator::SlotCoordinator(Self self, const core::IClock &clock, peer::IPeerNetwork &network,
                                 const IServiceOwners &owners, core::IEventSink &events,
                                 Balancer &balancer, Executors executors)
    : self(std::move(self)), clock(clock), network(network), owners(owners), events(events),
      balancer(balancer), executors(std::move(executors))
{
    this->network.setHandler(peer::MessageKind::Slot, [this](const peer::Datagram &datagram) {
        this->onDatagram(datagram);
    });
}

void SlotCoordinator::applySettings(const settings::SettingsPtr &newSettings)
{
    this->settings = newSettings;
    std::erase_if(this->owned, [this](const auto &entry) {
        return !this->settings->services.contains(entry.first);
    });
    for (auto &[service, entry] : this->owned) {
        entry.allocator.applySettings(*this->settings, this->settings->services.at(service),
                                      this->clock.now());
    }
}

void SlotCoordinator::tick()
{
    this->executors.toData([this] {
        auto requests = this->balancer.makeSlotRequests();
        this->executors.toControl(
            [this, requests = std::move(requests)] { this->sendRequests(requests); });
    });
}

void SlotCoordinator::sendRequests(const std::vector<SlotRequest> &requests)
{
    for (const SlotRequest &request : requests) {
        const auto targets = this->owners.reportTargets(request.service);
        if (targets.empty()) {
            continue;
        }
        if (targets.front() != this->self.host) {
            this->network.send(targets.front(), peer::MessageKind::Slot, encode(request));
            continue;
        }
        if (const auto reply =
                this->handleRequest(this->self.host, this->self.incarnation, request)) {
            this->deliver(this->self.host, *reply);
        }
    }
}

void SlotCoordinator::onDatagram(const peer::Datagram &datagram)
{
    const core::Result<SlotMessage> message = decode(datagram.payload);
    if (!message) {
        this->events.record({ "slot-message-malformed", { { "from", datagram.from.text() } } });
        return;
    }
    if (const auto *received = std::get_if<SlotReply>(&*message)) {
        this->deliver(this->self.host, *received);
        return;
    }
    const auto &request = std::get<SlotRequest>(*message);
    if (const auto reply = this->handleRequest(datagram.from, datagram.incarnation, request)) {
        this->deliver(datagram.from, *reply);
    }
}

std::optional<SlotReply> SlotCoordinator::handleRequest(const core::HostName &from,
                                                        std::uint64_t incarnation,
                                                        const SlotRequest &request)
{
    ColdSlotAllocator *allocator = this->allocator(request.service);
    if (allocator == nullptr) {
        return std::nullopt;
    }
    SlotReply reply = allocator->onRequest(from, incarnation, request, this->clock.now());
    this->sendUpdates(request.service, *allocator);
    return reply;
}

ColdSlotAllocator *SlotCoordinator::allocator(const core::ServiceName &service)
{
    const auto ownership = this->owners.ownership(service, this->clock.now());
    const auto found = this->owned.find(service);
    if (!ownership || !this->settings || !this->settings->services.contains(service)) {
        this->owned.erase(service);
        return nullptr;
    }
    if (found != this->owned.end() && found->second.leaseId == ownership->leaseId) {
        return &found->second.allocator;
    }
    OwnedService fresh { ownership->leaseId,
                         ColdSlotAllocator(ownership->leaseId, ownership->since) };
    fresh.allocator.applySettings(*this->settings, this->settings->services.at(service),
                                  this->clock.now());
    OwnedService &entry = this->owned.insert_or_assign(service, std::move(fresh)).first->second;
    this->events.record({ "slot-owner", { { "service", service.text() } } });
    return &entry.allocator;
}

void SlotCoordinator::sendUpdates(const core::ServiceName &service, ColdSlotAllocator &allocator)
{
    for (const auto &[host, replies] : allocator.takeUpdates(service)) {
        for (const SlotReply &reply : replies) {
            this->events.record({ "endpoint-cold",
                                  { { "service", service.text() },
                                    { "endpoint", reply.endpoints.front().endpoint.text() },
                                    { "told", host.text() } } });
            this->deliver(host, reply);
        }
    }
}

void SlotCoordinator::deliver(const core::HostName &host, const SlotReply &reply)
{
    if (host != this->self.host) {
        this->network.send(host, peer::MessageKind::Slot, encode(reply));
        return;
    }
    this->executors.toData([this, reply] { this->balancer.onSlotReply(reply); });
}

void SlotCoordinator::onReadmitted(const core::ServiceName &service,
                                   const core::EndpointName &endpoint)
{
    if (ColdSlotAllocator *allocator = this->allocator(service)) {
        allocator->onReadmitted(endpoint, this->clock.now());
        this->sendUpdates(service, *allocator);
    }
}

} // namespace damaskgate::balance
