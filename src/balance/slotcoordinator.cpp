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
        entry.ledger.applySettings(*this->settings, this->settings->services.at(service),
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
        if (const auto answer = this->answer(this->self.host, this->self.incarnation, request)) {
            this->deliver(this->self.host, *answer);
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
    if (const auto answer = this->answer(datagram.from, datagram.incarnation, request)) {
        this->deliver(datagram.from, *answer);
    }
}

std::optional<SlotReply> SlotCoordinator::answer(const core::HostName &from,
                                                 std::uint64_t incarnation,
                                                 const SlotRequest &request)
{
    ColdSlotAllocator *ledger = this->ledger(request.service);
    if (ledger == nullptr) {
        return std::nullopt;
    }
    SlotReply answer = ledger->onRequest(from, incarnation, request, this->clock.now());
    this->sendNews(request.service, *ledger);
    return answer;
}

ColdSlotAllocator *SlotCoordinator::ledger(const core::ServiceName &service)
{
    const auto ownership = this->owners.ownership(service, this->clock.now());
    const auto found = this->owned.find(service);
    if (!ownership || !this->settings || !this->settings->services.contains(service)) {
        this->owned.erase(service);
        return nullptr;
    }
    if (found != this->owned.end() && found->second.leaseId == ownership->leaseId) {
        return &found->second.ledger;
    }
    Owned fresh { ownership->leaseId, ColdSlotAllocator(ownership->leaseId, ownership->since) };
    fresh.ledger.applySettings(*this->settings, this->settings->services.at(service),
                               this->clock.now());
    Owned &entry = this->owned.insert_or_assign(service, std::move(fresh)).first->second;
    this->events.record({ "slot-owner", { { "service", service.text() } } });
    return &entry.ledger;
}

void SlotCoordinator::sendNews(const core::ServiceName &service, ColdSlotAllocator &ledger)
{
    for (const auto &[host, answers] : ledger.takeUpdates(service)) {
        for (const SlotReply &answer : answers) {
            this->events.record({ "endpoint-cold",
                                  { { "service", service.text() },
                                    { "endpoint", answer.endpoints.front().endpoint.text() },
                                    { "told", host.text() } } });
            this->deliver(host, answer);
        }
    }
}

void SlotCoordinator::deliver(const core::HostName &host, const SlotReply &answer)
{
    if (host != this->self.host) {
        this->network.send(host, peer::MessageKind::Slot, encode(answer));
        return;
    }
    this->executors.toData([this, answer] { this->balancer.onSlotReply(answer); });
}

void SlotCoordinator::onReadmitted(const core::ServiceName &service,
                                   const core::EndpointName &endpoint)
{
    if (ColdSlotAllocator *ledger = this->ledger(service)) {
        ledger->onReadmitted(endpoint, this->clock.now());
        this->sendNews(service, *ledger);
    }
}

} // namespace damaskgate::balance
