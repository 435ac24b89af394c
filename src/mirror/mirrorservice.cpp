#include "damaskgate/mirror/mirrorservice.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mirrorcodec.h"

namespace damaskgate::mirror {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickInterval { 250 };
constexpr std::chrono::milliseconds StartGrace { 120 }; // to find the other hosts first
constexpr std::chrono::milliseconds WatchWait { 600 }; // bounds how old the contact may look
constexpr std::chrono::milliseconds WatchPause { 40 }; // changes of that time come in one answer
constexpr std::chrono::milliseconds RetryPause { 100 }; // after the first failure, doubled up to
constexpr int MaxDoublings = 3;
constexpr std::chrono::milliseconds AnnounceInterval { 500 }; // of readers
constexpr std::chrono::milliseconds PeerTimeout { 400 };
constexpr std::size_t MaxPeerBytes = 16UL * 1024 * 1024;
constexpr std::string_view ChangesPath = "/mirror";

} // namespace

MirrorService::MirrorService(const Dependencies &dependencies, std::uint16_t peerPort,
                             std::uint8_t corePercent)
    : context(dependencies.context), clock(dependencies.clock), events(dependencies.events),
      fleet(dependencies.fleet), source(dependencies.source), peerPort(peerPort),
      duty(this->fleet.table().self(), corePercent), contact(this->clock.now()),
      peerReader(this->context, { PeerTimeout, MaxPeerBytes }), tickTimer(this->context),
      pauseTimer(this->context)
{
    this->fleet.addContactListener([this](const fleet::Member &member) { this->onHeard(member); });
}

void MirrorService::setListener(Listener listener)
{
    this->listener = std::move(listener);
}

void MirrorService::start()
{
    this->scheduleTick(StartGrace);
}

void MirrorService::stop()
{
    this->isStopped = true;
    this->tickTimer.cancel();
    this->pauseTimer.cancel();
    this->peerReader.close();
}

const Mirror &MirrorService::mirror() const
{
    return this->copy;
}

std::optional<core::Instant> MirrorService::sourceSeenAt() const
{
    return this->reachedAt;
}

std::optional<core::Instant> MirrorService::settledSince() const
{
    return this->contact.since();
}

std::string MirrorService::answerChanges(std::uint64_t after) const
{
    return encode(this->copy.changesSince(after));
}

void MirrorService::scheduleTick(std::chrono::milliseconds delay)
{
    this->tickTimer.expires_after(delay);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->isStopped) {
            this->tick();
            this->scheduleTick(TickInterval);
        }
    });
}

void MirrorService::tick()
{
    const core::Instant now = this->clock.now();
    this->updateSettled(now);
    const std::vector<ReaderView> others = this->otherHosts(now);
    this->plan.setPullingFar(this->duty.rankAmong(this->nearOf(others)) < PullPlan::FarPullers);
    this->startPull();
    if (this->isReading) {
        if (now - this->announcedAt >= AnnounceInterval) {
            this->announcedAt = now;
            this->fleet.announce();
        }
        return;
    }
    if (this->duty.shouldRead(others, now)) {
        this->isReading = true;
        this->events.record({ "source-reader-started", {} });
        asio::co_spawn(this->context, this->readWhileOnDuty(), asio::detached);
    }
}

std::vector<ReaderView> MirrorService::otherHosts(core::Instant now) const
{
    std::vector<ReaderView> others;
    for (const fleet::Member *member : this->fleet.table().liveMembers(now)) {
        ReaderView &view = others.emplace_back();
        view.name = member->name;
        view.corePercent = member->state.corePercent;
        const auto seen = this->seenAtByHost.find(member->name);
        if (seen != this->seenAtByHost.end()) {
            view.sourceSeenAt = seen->second;
        }
    }
    return others;
}

std::vector<ReaderView> MirrorService::nearOf(std::vector<ReaderView> hosts) const
{
    std::erase_if(hosts, [this](const ReaderView &host) { return !this->isNear(host.name); });
    return hosts;
}

void MirrorService::updateSettled(core::Instant now)
{
    const auto isFresh = [now](const auto &item) {
        return now - item.second <= ReaderDuty::FreshFor;
    };
    const bool isOwnFresh = this->reachedAt && now - *this->reachedAt <= ReaderDuty::FreshFor;
    const bool isAnyFresh = isOwnFresh || std::ranges::any_of(this->seenAtByHost, isFresh);
    if (this->contact.update(isAnyFresh, now)) {
        this->events.record({ isAnyFresh ? "source-regained" : "source-lost",
                              { { "revision", this->copy.revision() } } });
    }
}

asio::awaitable<void> MirrorService::readWhileOnDuty()
{
    bool isOnDuty = true;
    while (isOnDuty && !this->isStopped) {
        const bool isRead = co_await this->readOnce();
        this->failures = isRead ? 0 : this->failures + 1;
        const int doublings = std::clamp(this->failures - 1, 0, MaxDoublings);
        this->pauseTimer.expires_after(isRead ? WatchPause : RetryPause * (1 << doublings));
        co_await this->pauseTimer.async_wait(asio::as_tuple(asio::use_awaitable));
        const core::Instant now = this->clock.now();
        isOnDuty = this->duty.shouldRead(this->otherHosts(now), now);
    }
    this->isReading = false;
    this->reachedAt.reset();
    this->events.record({ "source-reader-stopped", {} });
}

asio::awaitable<bool> MirrorService::readOnce()
{
    const bool isFirst = this->copy.revision() == 0;
    if (!isFirst) {
        auto changes = co_await this->source.watch(this->copy.revision(), WatchWait);
        if (!changes) {
            this->onSourceFailed(changes.error());
            co_return false;
        }
        if (*changes) {
            this->onSourceReached();
            this->take(**changes, "source");
            co_return true;
        }
        this->events.record({ "source-history-gone", { { "revision", this->copy.revision() } } });
    }
    const auto whole = co_await this->source.readAll();
    if (!whole) {
        this->onSourceFailed(whole.error());
        co_return false;
    }
    this->onSourceReached();
    this->take(*whole, "source");
    co_return true;
}

void MirrorService::onSourceReached()
{
    const bool isRegained = !this->reachedAt;
    this->reachedAt = this->clock.now();
    if (isRegained) {
        this->announcedAt = *this->reachedAt;
        this->fleet.announce();
    }
}

void MirrorService::onSourceFailed(const core::Error &error)
{
    if (this->failures == 0) {
        this->events.record({ "source-read-failed", { { "detail", error.detail } } });
    }
    if (this->reachedAt) {
        this->reachedAt.reset();
        this->fleet.announce();
    }
}

void MirrorService::take(const Changes &changes, std::string_view from)
{
    const std::uint64_t before = this->copy.revision();
    const bool isChanged = this->copy.apply(changes);
    if (!isChanged) {
        return;
    }
    this->events.record({ "data-changed",
                          { { "revision", this->copy.revision() },
                            { "before", before },
                            { "items", changes.items.size() },
                            { "removals", changes.removals.size() },
                            { "from", from } } });
    if (this->listener) {
        this->listener();
    }
    if (this->isReading && from == "source") {
        this->announcedAt = this->clock.now();
        this->fleet.announce();
    }
}

void MirrorService::onHeard(const fleet::Member &member)
{
    if (member.state.sourceAge) {
        this->seenAtByHost[member.name] = member.lastContactAt - *member.state.sourceAge;
    } else {
        this->seenAtByHost.erase(member.name);
    }
    this->plan.onTold(member.name, member.state.dataRevision,
                      member.state.domain == this->fleet.table().ownDomain(),
                      this->copy.contentRevision(), this->clock.now());
    this->startPull();
}

void MirrorService::startPull()
{
    const bool isDue =
        this->plan.hostToAsk(this->copy.contentRevision(), this->clock.now()).has_value();
    if (isDue && !this->isPulling) {
        this->isPulling = true;
        asio::co_spawn(this->context, this->pull(), asio::detached);
    }
}

asio::awaitable<void> MirrorService::pull()
{
    while (!this->isStopped) {
        const auto host = this->plan.hostToAsk(this->copy.contentRevision(), this->clock.now());
        if (!host) {
            break;
        }
        const auto changes = co_await this->askHost(*host);
        if (changes) {
            this->takeFromHost(*changes, *host);
            continue;
        }
        this->events.record({ "peer-read-failed",
                              { { "host", host->text() }, { "detail", changes.error().detail } } });
        this->plan.onFailed(*host);
    }
    this->isPulling = false;
}

void MirrorService::takeFromHost(const Changes &changes, const core::HostName &host)
{
    const std::uint64_t before = this->copy.contentRevision();
    this->take(changes, host.text());
    if (this->copy.contentRevision() == before) {
        this->plan.onFailed(host);
    } else if (!this->isNear(host)) {
        this->fleet.announceLocally();
    }
}

bool MirrorService::isNear(const core::HostName &host) const
{
    return this->fleet.table().domainOf(host) == this->fleet.table().ownDomain();
}

asio::awaitable<core::Result<Changes>> MirrorService::askHost(const core::HostName &host)
{
    if (this->connectedTo != host) {
        this->peerReader.setServer(host.text(), this->peerPort);
        this->connectedTo = host;
    }
    const std::string target =
        std::string(ChangesPath) + "?after=" + std::to_string(this->copy.contentRevision());
    const auto answer = co_await this->peerReader.get(target);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    co_return decode(answer->body());
}

} // namespace damaskgate::mirror
