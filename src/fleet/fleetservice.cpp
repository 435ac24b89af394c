#include "damaskgate/fleet/fleetservice.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "damaskgate/core/hash.h"

#include "fleetcodec.h"
#include "notequeues.h"

namespace damaskgate::fleet {

namespace {

constexpr std::chrono::milliseconds TickInterval { 250 };
constexpr std::chrono::milliseconds FlushDelay { 30 }; // notes of that time share a datagram
constexpr std::size_t MaxNotesPerBeat = 48; // fits a datagram with a few names
constexpr std::size_t MaxNamesPerBeat = 40; // fits a datagram without notes
constexpr std::size_t NamesPerBeat = 2; // of other hosts, so that partial views grow together
constexpr int SeedAskTicks = 8; // seeds are asked at every tick at first,
constexpr int SeedAskPeriod = 20; // later once in so many ticks
constexpr int VouchPeriod = 4; // ticks
constexpr std::size_t MaxVouchesPerBeat = 90; // fits a datagram

} // namespace

FleetService::FleetService(const Dependencies &dependencies, FleetTable table,
                           std::vector<core::HostName> seeds)
    : clock(dependencies.clock), events(dependencies.events), network(dependencies.network),
      fleet(std::move(table)), seeds(std::move(seeds)),
      selfTag(core::nameHash(this->fleet.self().text())), tickTimer(dependencies.context),
      flushTimer(dependencies.context), notes(std::make_unique<NoteQueues>())
{
    this->network.setHandler(peer::MessageKind::Fleet, [this](const peer::Datagram &datagram) {
        this->onDatagram(datagram);
    });
}

FleetService::~FleetService() = default;

void FleetService::setStateSource(StateSource source)
{
    this->stateSource = std::move(source);
}

void FleetService::setKnownListener(KnownListener listener)
{
    this->knownListener = std::move(listener);
}

void FleetService::addChangeListener(ChangeListener listener)
{
    this->changeListeners.push_back(std::move(listener));
}

void FleetService::addHeardListener(std::function<void(const Member &)> listener)
{
    this->heardListeners.push_back(std::move(listener));
}

void FleetService::start()
{
    this->fleet.onTold(this->seeds, this->clock.now());
    this->notifyKnown();
    this->tick();
}

void FleetService::stop()
{
    this->tickTimer.cancel();
    this->flushTimer.cancel();
}

void FleetService::announce()
{
    const auto names = this->fleet.names();
    this->sendTo(names, this->makeBeat());
}

void FleetService::announceNear()
{
    this->sendTo(this->fleet.neighbours(this->clock.now()), this->makeBeat());
}

void FleetService::publish(Note note)
{
    note.origin = this->selfTag;
    this->notes->addOwn(note);
    this->scheduleFlush();
}

void FleetService::addListener(Listener listener)
{
    this->noteListeners.push_back(std::move(listener));
}

const FleetTable &FleetService::table() const
{
    return this->fleet;
}

void FleetService::onDatagram(const peer::Datagram &datagram)
{
    const auto beat = decode(datagram.payload);
    if (!beat) {
        this->events.record({ "fleet-message-malformed", { { "from", datagram.from.text() } } });
        return;
    }
    this->onBeat(datagram, *beat);
}

void FleetService::onBeat(const peer::Datagram &datagram, const Beat &beat)
{
    const core::Instant now = this->clock.now();
    std::vector<core::HostName> told = beat.known;
    told.push_back(datagram.from);
    std::ranges::transform(beat.vouches, std::back_inserter(told), &Vouch::name);
    const bool isAnyNew = this->fleet.onTold(told, now);
    if (this->fleet.onHeard(datagram.from, datagram.incarnation, beat.state, now)) {
        this->events.record({ "host-heard",
                              { { "host", datagram.from.text() },
                                { "domain", beat.state.domain.text() },
                                { "incarnation", datagram.incarnation },
                                { "serving", beat.state.isServing },
                                { "leaving", beat.state.isLeaving } } });
        this->notifyChanged();
    }
    if (this->fleet.onVouched(beat.state.domain, beat.vouches, now)) {
        this->notifyChanged();
    }
    if (isAnyNew) {
        this->notifyKnown();
    }
    const Member member { datagram.from, datagram.incarnation, beat.state, now };
    std::ranges::for_each(this->heardListeners, [&member](const auto &hear) { hear(member); });
    if (beat.isAsking) {
        this->tellKnown(datagram.from);
    }
    this->takeNotes(beat);
}

void FleetService::takeNotes(const Beat &beat)
{
    for (const Note &note : beat.notes) {
        if (note.origin != this->selfTag) {
            std::ranges::for_each(this->noteListeners,
                                  [&note](const auto &listen) { listen(note); });
        }
    }
    if (this->notes->addReceived(beat.notes, beat.spread)) {
        this->scheduleFlush();
    }
}

void FleetService::tellKnown(const core::HostName &to)
{
    Beat beat = this->makeBeat();
    beat.known = this->fleet.sample(MaxNamesPerBeat, this->clock.now());
    this->sendTo({ &to, 1 }, beat);
}

void FleetService::sendTo(std::span<const core::HostName> hosts, const Beat &beat)
{
    if (hosts.empty()) {
        return;
    }
    const core::Instant now = this->clock.now();
    this->network.sendToAll(hosts, peer::MessageKind::Fleet, encode(beat));
    std::ranges::for_each(hosts, [this, now](const auto &host) { this->fleet.onSent(host, now); });
}

void FleetService::flushNotes()
{
    this->isFlushScheduled = false;
    const core::Instant now = this->clock.now();
    const core::HostName hub = this->fleet.hub(now);
    NoteRoutes routes { hub, hub == this->fleet.self(), {}, {} };
    if (this->notes->isSpreading(routes.isHub)) {
        routes.neighbours = this->fleet.neighbours(now);
        routes.relays = this->fleet.relays(now);
    }
    for (const NoteParcel &parcel : this->notes->take(routes)) {
        this->sendNotes(parcel.notes, parcel.hosts, parcel.spread);
        if (parcel.spread == Spread::Fleet || parcel.spread == Spread::Neighbours) {
            this->fleet.onSentToHub(hub, now);
        }
    }
}

void FleetService::sendNotes(std::span<const Note> notes, std::span<const core::HostName> hosts,
                             Spread spread)
{
    for (std::size_t sent = 0; sent < notes.size(); sent += MaxNotesPerBeat) {
        Beat beat = this->makeBeat();
        beat.spread = spread;
        const auto part = notes.subspan(sent, std::min(MaxNotesPerBeat, notes.size() - sent));
        beat.notes.assign(part.begin(), part.end());
        this->sendTo(hosts, beat);
    }
}

void FleetService::scheduleTick()
{
    this->tickTimer.expires_after(TickInterval);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

void FleetService::scheduleFlush()
{
    if (this->isFlushScheduled) {
        return;
    }
    this->isFlushScheduled = true;
    this->flushTimer.expires_after(FlushDelay);
    this->flushTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->flushNotes();
        }
    });
}

void FleetService::tick()
{
    const core::Instant now = this->clock.now();
    this->fleet.expire(now);
    this->askSeeds();
    Beat beat = this->makeBeat();
    beat.known = this->fleet.sample(NamesPerBeat, now);
    this->sendTo(this->fleet.dueHosts(now), beat);
    this->vouchFar(now);
    const std::size_t live = this->fleet.liveMembers(now).size();
    if (live != this->liveCount) {
        this->events.record({ "fleet-size", { { "live", live }, { "before", this->liveCount } } });
        this->liveCount = live;
        this->notifyChanged();
    }
    ++this->ticks;
    this->scheduleTick();
}

// Sends across failure domains what this host heard within its own.
void FleetService::vouchFar(core::Instant now)
{
    if (this->ticks % VouchPeriod != 0) {
        return;
    }
    Beat beat = this->makeBeat();
    beat.vouches = this->fleet.vouches(now);
    std::ranges::shuffle(beat.vouches, this->random);
    beat.vouches.resize(std::min(beat.vouches.size(), MaxVouchesPerBeat));
    this->sendTo(this->fleet.vouchTargets(this->ticks / VouchPeriod, now), beat);
}

void FleetService::askSeeds()
{
    if (this->ticks >= SeedAskTicks && this->ticks % SeedAskPeriod != 0) {
        return;
    }
    Beat beat = this->makeBeat();
    beat.isAsking = true;
    std::vector<core::HostName> asked;
    std::ranges::copy_if(this->seeds, std::back_inserter(asked),
                         [this](const auto &seed) { return seed != this->fleet.self(); });
    this->sendTo(asked, beat);
}

Beat FleetService::makeBeat() const
{
    Beat beat;
    beat.state = this->stateSource();
    return beat;
}

void FleetService::notifyKnown()
{
    if (this->knownListener) {
        this->knownListener(this->fleet.names());
    }
}

void FleetService::notifyChanged()
{
    std::ranges::for_each(this->changeListeners, [](const auto &listen) { listen(); });
}

} // namespace damaskgate::fleet
