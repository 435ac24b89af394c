#include "damaskgate/mirror/mirrorservice.h"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "damaskgate/http/queryserver.h"

#include "mirrorcodec.h"

namespace damaskgate::mirror {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickInterval { 250 };
constexpr std::chrono::milliseconds MinTickInterval { 20 };
// Gives the fleet time to discover the other hosts before the first election.
constexpr std::chrono::milliseconds StartDelay { 120 };
// An idle watch ends after this time, which limits the age of the last contact with the source.
constexpr std::chrono::milliseconds WatchWait { 600 };
// Changes published during the pause between two watches arrive together in the next response.
constexpr std::chrono::milliseconds WatchPause { 40 };
// Delay after the first failed read. Each further failure doubles it, at most MaxDoublings times.
constexpr std::chrono::milliseconds RetryPause { 100 };
constexpr int MaxDoublings = 3;
// Interval at which a reader without new changes announces its last contact with the source.
constexpr std::chrono::milliseconds AnnounceInterval { 500 };
constexpr std::chrono::milliseconds PeerTimeout { 400 };
constexpr std::chrono::milliseconds PeerTotalTimeout { 3000 };
constexpr std::size_t MaxReplyBytes = 16UL * 1024 * 1024;
constexpr std::string_view ChangesPath = "/mirror";

// Hosts that pull the same changes mostly hold the same revision.
constexpr std::size_t MaxPullResponses = 16;

std::uint64_t parseRevision(std::string_view text)
{
    std::uint64_t revision = 0;
    std::from_chars(text.data(), text.data() + text.size(), revision);
    return revision;
}

// Parses revisions that are separated by commas.
std::vector<std::uint64_t> parseRevisions(std::string_view text)
{
    std::vector<std::uint64_t> revisions;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        revisions.push_back(parseRevision(text.substr(start, end - start)));
        start = end + 1;
    }
    return revisions;
}

std::size_t totalValueBytes(const Changes &changes)
{
    return std::accumulate(
        changes.items.begin(), changes.items.end(), std::size_t { 0 },
        [](std::size_t sum, const Item &item) { return sum + item.value.size(); });
}

std::chrono::milliseconds::rep toMilliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

MirrorService::MirrorService(const Dependencies &dependencies, std::uint16_t peerPort,
                             std::uint8_t corePercent, core::Duration maxSourceGap)
    : context(dependencies.context), clock(dependencies.clock), events(dependencies.events),
      fleet(dependencies.fleet), source(dependencies.source), peerPort(peerPort),
      election(this->fleet.table().self(), corePercent, this->fleet.table().ownDomain()),
      reachability(this->clock.now(), maxSourceGap),
      peerReader(this->context, { PeerTimeout, MaxReplyBytes, PeerTotalTimeout }),
      tickTimer(this->context), pauseTimer(this->context)
{
    this->fleet.addContactListener(
        [this](const fleet::Member &member) { this->onMemberSeen(member); });
}

void MirrorService::setListener(Listener listener)
{
    this->listener = std::move(listener);
}

void MirrorService::setMaxSourceGap(core::Duration maxSourceGap)
{
    this->reachability.setMaxGap(maxSourceGap);
}

void MirrorService::start()
{
    this->scheduleTick(StartDelay);
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

std::optional<core::Instant> MirrorService::sourceReachedAt() const
{
    return this->reachedAt;
}

std::optional<core::Instant> MirrorService::sourceReachableSince() const
{
    return this->reachability.reachableSince();
}

std::string MirrorService::makePullResponse(std::string_view parameters)
{
    if (this->pullResponsesRevision != this->copy.contentRevision()
        || this->pullResponses.size() >= MaxPullResponses) {
        this->pullResponses.clear();
        this->pullResponsesRevision = this->copy.contentRevision();
    }
    const auto found = this->pullResponses.find(parameters);
    if (found != this->pullResponses.end()) {
        return found->second;
    }
    return this->pullResponses.emplace(std::string(parameters), this->encodeChanges(parameters))
        .first->second;
}

std::string MirrorService::encodeChanges(std::string_view parameters) const
{
    const std::uint64_t after = parseRevision(http::parameterOf(parameters, "after"));
    const std::string_view held = http::parameterOf(parameters, "held");
    const std::vector<std::uint64_t> heldRevisions = parseRevisions(held);
    const auto findBase = [this, held,
                           &heldRevisions](const Item &item) -> std::optional<BaseValue> {
        if (held.empty() || item.value.size() < Mirror::LargeValueBytes) {
            return std::nullopt;
        }
        for (const std::uint64_t revision : heldRevisions) {
            if (const auto value = this->copy.valueAt(item.key, revision)) {
                return BaseValue { revision, *value };
            }
        }
        return BaseValue {};
    };
    return encode(this->copy.changesSince(after), findBase);
}

void MirrorService::scheduleTick(std::chrono::milliseconds delay)
{
    this->tickTimer.expires_after(delay);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->isStopped) {
            this->tick();
            this->scheduleTick(this->timeToNextTick());
        }
    });
}

void MirrorService::tick()
{
    const core::Instant now = this->clock.now();
    this->updateReachability(now);
    const std::vector<ReaderCandidate> others = this->otherHosts(now);
    this->pullPolicy.setPullingRemotely(this->election.localRankAmong(others)
                                        < PullPolicy::RemotePullers);
    this->startPullIfDue();
    if (this->isReading) {
        if (now - this->announcedAt >= AnnounceInterval) {
            this->announcedAt = now;
            this->fleet.announce();
        }
        return;
    }
    if (this->election.shouldRead(others, now)) {
        this->isReading = true;
        this->events.record({ "source-reader-started", {} });
        asio::co_spawn(this->context, this->readWhileElected(), asio::detached);
    }
}

// The next tick comes early if an announcement or a decision is due before. Decisions are late by
// up to MinTickInterval.
std::chrono::milliseconds MirrorService::timeToNextTick() const
{
    const core::Instant now = this->clock.now();
    const auto due = this->isReading ? std::optional(this->announcedAt + AnnounceInterval)
                                     : this->election.nextDecisionAt();
    if (!due) {
        return TickInterval;
    }
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(*due - now), MinTickInterval,
                      TickInterval);
}

// A host that is about to stop is no candidate, so that its successor reads before it has stopped.
std::vector<ReaderCandidate> MirrorService::otherHosts(core::Instant now) const
{
    std::vector<ReaderCandidate> others;
    for (const fleet::Member *member : this->fleet.table().liveMembers(now)) {
        if (member->state.isLeaving) {
            continue;
        }
        ReaderCandidate &view = others.emplace_back();
        view.name = member->name;
        view.corePercent = member->state.corePercent;
        view.domain = member->state.domain;
        view.silence = now - member->lastContactAt;
        const auto seen = this->sourceReachedAtByHost.find(member->name);
        if (seen != this->sourceReachedAtByHost.end()
            && this->pullHistory.isReadable(member->name, now)) {
            view.sourceReachedAt = seen->second;
        }
    }
    return others;
}

void MirrorService::updateReachability(core::Instant now)
{
    const auto isRecent = [now](const auto &item) {
        return now - item.second <= ReaderElection::MaxContactAge;
    };
    const bool isReachedByThisHost =
        this->reachedAt && now - *this->reachedAt <= ReaderElection::MaxContactAge;
    const bool isReachedByAnyHost =
        isReachedByThisHost || std::ranges::any_of(this->sourceReachedAtByHost, isRecent);
    if (this->reachability.update(isReachedByAnyHost, now)) {
        this->events.record({ isReachedByAnyHost ? "source-regained" : "source-lost",
                              { { "revision", this->copy.revision() } } });
    }
}

asio::awaitable<void> MirrorService::readWhileElected()
{
    bool isElected = true;
    while (isElected && !this->isStopped) {
        const bool isRead = co_await this->readOnce();
        this->consecutiveFailures = isRead ? 0 : this->consecutiveFailures + 1;
        const int doublings = std::clamp(this->consecutiveFailures - 1, 0, MaxDoublings);
        this->pauseTimer.expires_after(isRead ? WatchPause : RetryPause * (1 << doublings));
        co_await this->pauseTimer.async_wait(asio::as_tuple(asio::use_awaitable));
        const core::Instant now = this->clock.now();
        isElected = this->election.shouldRead(this->otherHosts(now), now);
    }
    this->isReading = false;
    this->reachedAt.reset();
    this->events.record({ "source-reader-stopped", {} });
}

asio::awaitable<bool> MirrorService::readOnce()
{
    const bool isEmpty = this->copy.revision() == 0;
    core::Instant readFrom = this->clock.now();
    if (!isEmpty) {
        const auto changes = co_await this->source.watch(this->copy.revision(), WatchWait);
        // The source may cut a watch that waits while it serves all other calls.
        const bool isCutEarly = !changes && this->clock.now() - readFrom < WatchWait;
        if (isCutEarly && this->consecutiveFailures == 0
            && (co_await this->source.readRevision()).has_value()) {
            this->onSourceReached();
            co_return true;
        }
        if (!changes) {
            this->onSourceFailed(changes.error());
            co_return false;
        }
        if (*changes) {
            this->onSourceReached();
            this->applyChanges(**changes, "source", readFrom);
            co_return true;
        }
        this->events.record({ "source-history-gone", { { "revision", this->copy.revision() } } });
    }
    readFrom = this->clock.now();
    const auto snapshot = co_await this->source.readAll();
    if (!snapshot) {
        this->onSourceFailed(snapshot.error());
        co_return false;
    }
    this->onSourceReached();
    this->applyChanges(*snapshot, "source", readFrom);
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
    if (this->consecutiveFailures == 0) {
        this->events.record({ "source-read-failed", { { "detail", error.detail } } });
    }
    if (this->reachedAt) {
        this->reachedAt.reset();
        this->fleet.announce();
    }
}

void MirrorService::applyChanges(const Changes &changes, std::string_view origin,
                                 core::Instant readFrom)
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
                            { "bytes", totalValueBytes(changes) },
                            { "read_ms", toMilliseconds(this->clock.now() - readFrom) },
                            { "from", origin } } });
    if (this->listener) {
        this->listener();
    }
    if (this->isReading && origin == "source") {
        this->announcedAt = this->clock.now();
        this->fleet.announce();
    }
}

void MirrorService::onMemberSeen(const fleet::Member &member)
{
    if (member.state.sourceAge) {
        this->sourceReachedAtByHost[member.name] = member.lastContactAt - *member.state.sourceAge;
    } else {
        this->sourceReachedAtByHost.erase(member.name);
    }
    this->pullPolicy.onRevisionAnnounced(member.name, member.state.dataRevision,
                                         member.state.domain == this->fleet.table().ownDomain(),
                                         this->copy.contentRevision(), this->clock.now());
    this->startPullIfDue();
}

void MirrorService::startPullIfDue()
{
    const bool isDue =
        this->pullPolicy.hostToPullFrom(this->copy.contentRevision(), this->clock.now())
            .has_value();
    if (isDue && !this->isPulling) {
        this->isPulling = true;
        asio::co_spawn(this->context, this->pull(), asio::detached);
    }
}

asio::awaitable<void> MirrorService::pull()
{
    while (!this->isStopped) {
        const auto host =
            this->pullPolicy.hostToPullFrom(this->copy.contentRevision(), this->clock.now());
        if (!host) {
            break;
        }
        const core::Instant readFrom = this->clock.now();
        const auto changes = co_await this->requestChanges(*host);
        if (changes) {
            this->pullHistory.onPulled(*host);
            this->applyPeerChanges(*changes, *host, readFrom);
            continue;
        }
        if (changes.error().reason == core::Reason::PlatformUnavailable) {
            this->pullHistory.onFailed(*host, this->clock.now());
        }
        this->events.record({ "peer-read-failed",
                              { { "host", host->text() },
                                { "revision", this->copy.contentRevision() },
                                { "after_ms", toMilliseconds(this->clock.now() - readFrom) },
                                { "detail", changes.error().detail } } });
        this->pullPolicy.onPullFailed(*host);
    }
    this->isPulling = false;
}

void MirrorService::applyPeerChanges(const Changes &changes, const core::HostName &host,
                                     core::Instant readFrom)
{
    const std::uint64_t before = this->copy.contentRevision();
    this->applyChanges(changes, host.text(), readFrom);
    if (this->copy.contentRevision() == before) {
        this->pullPolicy.onPullFailed(host);
    } else if (!this->isLocal(host)) {
        this->fleet.announceLocally();
    }
}

bool MirrorService::isLocal(const core::HostName &host) const
{
    return this->fleet.table().domainOf(host) == this->fleet.table().ownDomain();
}

asio::awaitable<core::Result<Changes>> MirrorService::requestChanges(const core::HostName &host)
{
    if (this->connectedHost != host) {
        this->peerReader.setServer(host.text(), this->peerPort);
        this->connectedHost = host;
    }
    const auto reply = co_await this->peerReader.get(this->pullTarget());
    if (!reply) {
        co_return tl::unexpected(reply.error());
    }
    auto changes = decode(reply->body(), [this](std::string_view key, std::uint64_t revision) {
        return this->copy.valueAt(key, revision);
    });
    this->isWholePullNeeded = !changes;
    co_return changes;
}

std::string MirrorService::pullTarget() const
{
    std::string target =
        std::string(ChangesPath) + "?after=" + std::to_string(this->copy.contentRevision());
    // Zero is no revision. It is always sent, since a request without the list is answered with
    // uncompressed values.
    target += "&held=0";
    if (!this->isWholePullNeeded) {
        for (const std::uint64_t revision : this->copy.largeItemRevisions()) {
            target += "," + std::to_string(revision);
        }
    }
    return target;
}

} // namespace damaskgate::mirror
