#include "damaskgate/membership/membershipservice.h"

#include <iterator>
#include <optional>
#include <ranges>
#include <utility>

#include "membercodec.h"

namespace damaskgate::membership {

namespace {

constexpr std::chrono::milliseconds TickPeriod { 50 };
} // namespace

MembershipService::MembershipService(boost::asio::io_context &context, const core::IClock &clock,
                                     peer::IPeerNetwork &network, core::IEventSink &events,
                                     core::HostName self, std::uint64_t incarnation)
    : timer(context), clock(clock), network(network), events(events),
      members(std::move(self), incarnation, incarnation)
{}

void MembershipService::start()
{
    this->isRunning = true;
    this->network.setHandler(peer::MessageKind::Heartbeat, [this](const peer::Datagram &datagram) {
        this->onDatagram(datagram);
    });
    this->scheduleTick();
}

void MembershipService::stop()
{
    this->isRunning = false;
    this->timer.cancel();
}

void MembershipService::applyHosts(std::span<const core::HostName> hosts)
{
    this->members.applyRoster(hosts);
}

void MembershipService::applySettings(const settings::Settings &settings)
{
    std::vector<core::HostName> hosts;
    std::ranges::copy(settings.hosts | std::views::keys, std::back_inserter(hosts));
    this->members.applyRoster(hosts);
    this->members.setRevision(settings.revision);
    this->notifyChanges();
}

void MembershipService::announceLeaving()
{
    this->sendAll(this->members.announceLeaving());
    this->notifyChanges();
}

void MembershipService::addChangeListener(ChangeListener listener)
{
    this->changeListeners.push_back(std::move(listener));
}

void MembershipService::setRevisionListener(RevisionListener listener)
{
    this->revisionListener = std::move(listener);
}

const MemberTable &MembershipService::table() const
{
    return this->members;
}

void MembershipService::scheduleTick()
{
    this->timer.expires_after(TickPeriod);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && this->isRunning) {
            this->onTick();
            this->scheduleTick();
        }
    });
}

void MembershipService::onTick()
{
    this->sendAll(this->members.tick(this->clock.now()));
    this->notifyChanges();
    const auto newRevision = this->members.newerRevision();
    if (newRevision && this->revisionListener) {
        this->revisionListener(newRevision->first, newRevision->second);
    }
}

void MembershipService::onDatagram(const peer::Datagram &datagram)
{
    if (!this->isRunning) {
        return;
    }
    const core::Result<MemberMessage> message = decode(datagram.payload);
    if (!message) {
        this->events.record({ "member-message-malformed", { { "from", datagram.from.text() } } });
        return;
    }
    this->sendAll(
        this->members.receive(datagram.from, datagram.incarnation, *message, this->clock.now()));
    this->notifyChanges();
}

void MembershipService::sendAll(const std::vector<OutgoingMessage> &messages)
{
    for (const OutgoingMessage &outgoing : messages) {
        this->network.send(outgoing.to, peer::MessageKind::Heartbeat, encode(outgoing.message));
    }
}

void MembershipService::notifyChanges()
{
    if (this->notifiedChanges == this->members.changeCount()) {
        return;
    }
    this->notifiedChanges = this->members.changeCount();
    this->events.record(
        { "membership-changed",
          { { "live", this->members.liveHosts().size() }, { "changes", this->notifiedChanges } } });
    for (const ChangeListener &listener : this->changeListeners) {
        listener();
    }
}

} // namespace damaskgate::membership
