#include "damaskgate/membership/membertable.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <ranges>
#include <set>
#include <tuple>
#include <utility>

namespace damaskgate::membership {

namespace {

constexpr std::uint32_t SendsPerDoubling = 3;
constexpr std::size_t GreetingLimit = 24;
constexpr std::uint32_t AnnouncedPeers = 6;
constexpr double MinimumContact = 0.5;

bool isNewer(const MemberUpdate &candidate, const MemberUpdate &known)
{
    return std::tie(candidate.incarnation, candidate.counter, candidate.state)
        > std::tie(known.incarnation, known.counter, known.state);
}

} // namespace

MemberTable::MemberTable(core::HostName self, std::uint64_t incarnation, std::uint64_t seed,
                         MemberOptions options)
    : self(std::move(self)), incarnation(incarnation), random(seed), options(options)
{
    Member &own = this->members[this->self];
    own.news = MemberUpdate { this->self, incarnation, 0, MemberState::Alive };
}

void MemberTable::applyRoster(std::span<const core::HostName> hosts)
{
    const auto isKnown = [this](const core::HostName &host) {
        return this->members.contains(host);
    };
    std::set<core::HostName> wanted(hosts.begin(), hosts.end());
    wanted.insert(this->self);
    if (wanted.size() == this->members.size() && std::ranges::all_of(wanted, isKnown)) {
        return;
    }
    std::map<core::HostName, Member> kept;
    kept.insert(this->members.extract(this->self));
    for (const core::HostName &host : wanted) {
        const auto known = this->members.find(host);
        if (known != this->members.end()) {
            kept.insert(this->members.extract(known));
        } else if (host != this->self) {
            kept[host].news.host = host;
        }
    }
    this->members = std::move(kept);
    this->probeOrder.clear();
    ++this->changes;
}

void MemberTable::setRevision(const settings::Revision &revision)
{
    this->ownRevision = revision;
}

std::vector<OutgoingMessage> MemberTable::tick(core::Instant now)
{
    std::vector<OutgoingMessage> out;
    const bool wokeLate = this->lastTick
        && now - *this->lastTick > this->options.probePeriod + this->options.replyTimeout;
    this->lastTick = now;
    if (wokeLate) {
        // Answers may still wait in the socket: silence says nothing about the target.
        this->pending.reset();
        this->recentContacts.clear();
        for (auto &[host, member] : this->members) {
            if (member.suspectSince) {
                member.suspectSince = now;
            }
        }
    }
    this->checkPendingProbe(now, out);
    this->expireSuspicions(now);
    if (now >= this->nextProbeAt) {
        this->nextProbeAt = now + this->options.probePeriod;
        this->startProbe(now, out);
    }
    return out;
}

std::vector<OutgoingMessage> MemberTable::receive(const core::HostName &from,
                                                  std::uint64_t fromIncarnation,
                                                  const MemberMessage &message, core::Instant now)
{
    const auto sender = this->members.find(from);
    if (sender == this->members.end() || from == this->self) {
        return {};
    }
    if (fromIncarnation < sender->second.news.incarnation) {
        return {};
    }
    this->onHeardFrom(from, fromIncarnation);
    if (const auto *probe = std::get_if<Probe>(&message)) {
        return this->onProbe(from, *probe);
    }
    if (const auto *reply = std::get_if<ProbeReply>(&message)) {
        return this->onReply(from, *reply);
    }
    return this->onIndirectProbe(from, std::get<IndirectProbe>(message), now);
}

std::vector<OutgoingMessage> MemberTable::announceLeaving()
{
    Member &own = this->members[this->self];
    MemberUpdate update = own.news;
    ++update.counter;
    update.state = MemberState::Leaving;
    this->adopt(own, update);

    std::vector<core::HostName> others;
    std::ranges::copy_if(this->liveHosts(), std::back_inserter(others),
                         [this](const core::HostName &host) { return host != this->self; });
    std::ranges::shuffle(others, this->random);
    std::vector<OutgoingMessage> out;
    for (const core::HostName &host : others | std::views::take(AnnouncedPeers)) {
        out.push_back({ host, Probe { this->nextSequence++, this->ownRevision, { update } } });
    }
    return out;
}

MemberState MemberTable::stateOf(const core::HostName &host) const
{
    const auto found = this->members.find(host);
    return found == this->members.end() ? MemberState::Dead : found->second.news.state;
}

std::vector<core::HostName> MemberTable::liveHosts() const
{
    std::vector<core::HostName> live;
    for (const auto &[host, member] : this->members) {
        if (member.news.state == MemberState::Alive || member.news.state == MemberState::Suspect) {
            live.push_back(host);
        }
    }
    return live;
}

std::optional<std::pair<core::HostName, settings::Revision>> MemberTable::newerRevision() const
{
    if (this->highestRevision <= this->ownRevision) {
        return std::nullopt;
    }
    return std::pair(this->highestRevisionHost, this->highestRevision);
}

std::optional<core::Instant> MemberTable::contactSince() const
{
    const std::size_t others = this->members.size() - 1;
    const std::size_t needed = std::min<std::size_t>(this->options.contactAnswers, others);
    if (needed == 0 || this->answeredProbes.size() < needed) {
        return std::nullopt;
    }
    if (this->contactFraction(this->options.contactWindow) < MinimumContact) {
        return std::nullopt;
    }
    return this->answeredProbes[this->answeredProbes.size() - needed];
}

std::uint64_t MemberTable::changeCount() const
{
    return this->changes;
}

std::vector<OutgoingMessage> MemberTable::onProbe(const core::HostName &from, const Probe &probe)
{
    this->onRevisionHeard(from, probe.revision);
    std::ranges::for_each(probe.updates, [this](const MemberUpdate &u) { this->applyUpdate(u); });
    ProbeReply reply { probe.sequence, this->ownRevision, this->greetingUpdates(from) };
    if (reply.updates.empty()) {
        reply.updates = this->takeUpdates();
    }
    return { { from, std::move(reply) } };
}

std::vector<OutgoingMessage> MemberTable::onReply(const core::HostName &from,
                                                  const ProbeReply &reply)
{
    this->onRevisionHeard(from, reply.revision);
    std::ranges::for_each(reply.updates, [this](const MemberUpdate &u) { this->applyUpdate(u); });

    const auto relay = this->relayed.find(reply.sequence);
    if (relay != this->relayed.end()) {
        const RelayedProbe asked = relay->second;
        this->relayed.erase(relay);
        return { { asked.asker, ProbeReply { asked.askerSequence, this->ownRevision, {} } } };
    }
    if (this->pending && this->pending->sequence == reply.sequence) {
        this->recordContact(true, this->pending->sentAt);
        this->pending.reset();
    }
    return {};
}

std::vector<OutgoingMessage> MemberTable::onIndirectProbe(const core::HostName &from,
                                                          const IndirectProbe &request,
                                                          core::Instant now)
{
    if (!this->members.contains(request.target) || request.target == this->self) {
        return {};
    }
    std::erase_if(this->relayed, [now](const auto &entry) { return entry.second.expiry <= now; });
    const std::uint64_t sequence = this->nextSequence++;
    this->relayed[sequence] =
        RelayedProbe { from, request.sequence, now + this->options.probePeriod };
    return { { request.target, Probe { sequence, this->ownRevision, this->takeUpdates() } } };
}

void MemberTable::onHeardFrom(const core::HostName &host, std::uint64_t incarnation)
{
    Member &member = this->members[host];
    if (incarnation > member.news.incarnation) {
        member.isGreeted = false;
        this->adopt(member, MemberUpdate { host, incarnation, 0, MemberState::Alive });
    }
}

void MemberTable::onRevisionHeard(const core::HostName &host, const settings::Revision &revision)
{
    if (revision > this->highestRevision) {
        this->highestRevision = revision;
        this->highestRevisionHost = host;
    } else if (revision == this->highestRevision) {
        // The latest teller is the one most likely to answer a fetch.
        this->highestRevisionHost = host;
    }
}

void MemberTable::startProbe(core::Instant now, std::vector<OutgoingMessage> &out)
{
    const std::optional<core::HostName> target = this->nextTarget();
    if (!target) {
        return;
    }
    const std::uint64_t sequence = this->nextSequence++;
    const core::Instant replyDue = now + this->options.replyTimeout;
    const core::Instant giveUpAt = now + this->options.probePeriod - this->options.replyTimeout / 2;
    this->pending = PendingProbe { *target, sequence, now, replyDue, giveUpAt, false };
    out.push_back({ *target, Probe { sequence, this->ownRevision, this->takeUpdates() } });
}

void MemberTable::checkPendingProbe(core::Instant now, std::vector<OutgoingMessage> &out)
{
    if (!this->pending) {
        return;
    }
    if (now >= this->pending->giveUpAt) {
        const PendingProbe failed = *std::exchange(this->pending, std::nullopt);
        if (this->stateOf(failed.target) != MemberState::Dead) {
            this->recordContact(false, failed.sentAt);
            this->suspect(failed.target);
        }
        return;
    }
    if (now >= this->pending->replyDue && !this->pending->isIndirect) {
        this->pending->isIndirect = true;
        for (const core::HostName &helper : this->pickHelpers(this->pending->target)) {
            out.push_back(
                { helper, IndirectProbe { this->pending->sequence, this->pending->target } });
        }
    }
}

void MemberTable::expireSuspicions(core::Instant now)
{
    for (auto &[host, member] : this->members) {
        if (member.news.state != MemberState::Suspect) {
            continue;
        }
        if (!member.suspectSince) {
            member.suspectSince = now;
        }
        if (now - *member.suspectSince >= this->options.suspicionTime) {
            MemberUpdate update = member.news;
            update.state = MemberState::Dead;
            this->adopt(member, update);
        }
    }
}

void MemberTable::suspect(const core::HostName &host)
{
    if (this->contactFraction(this->options.ownLinkWindow) < MinimumContact) {
        // Most probes fail: the own links are the likelier cause.
        return;
    }
    Member &member = this->members[host];
    if (member.news.state == MemberState::Leaving) {
        MemberUpdate update = member.news;
        update.state = MemberState::Dead;
        this->adopt(member, update);
        return;
    }
    if (member.news.state == MemberState::Alive) {
        MemberUpdate update = member.news;
        update.state = MemberState::Suspect;
        this->adopt(member, update);
    }
}

double MemberTable::contactFraction(std::size_t probes) const
{
    const std::size_t count = std::min(probes, this->recentContacts.size());
    if (count == 0) {
        return 1.0;
    }
    const auto recent =
        this->recentContacts | std::views::drop(this->recentContacts.size() - count);
    const auto answered = std::ranges::count(recent, true);
    return static_cast<double>(answered) / static_cast<double>(count);
}

void MemberTable::recordContact(bool isAnswered, core::Instant sentAt)
{
    if (isAnswered) {
        this->answeredProbes.push_back(sentAt);
        if (this->answeredProbes.size() > this->options.contactAnswers) {
            this->answeredProbes.pop_front();
        }
    }
    this->recentContacts.push_back(isAnswered);
    if (this->recentContacts.size() > this->options.contactWindow) {
        this->recentContacts.pop_front();
    }
}

void MemberTable::applyUpdate(const MemberUpdate &update)
{
    if (update.host == this->self) {
        this->refute(update);
        return;
    }
    const auto found = this->members.find(update.host);
    if (found != this->members.end() && isNewer(update, found->second.news)) {
        this->adopt(found->second, update);
    }
}

void MemberTable::refute(const MemberUpdate &update)
{
    Member &own = this->members[this->self];
    const bool isAboutThisProcess = update.incarnation <= this->incarnation;
    if (!isAboutThisProcess || !isNewer(update, own.news)) {
        return;
    }
    MemberUpdate refuted = own.news;
    refuted.counter = update.counter + 1;
    this->adopt(own, refuted);
}

void MemberTable::adopt(Member &member, const MemberUpdate &update)
{
    const bool isStateChanged = member.news.state != update.state;
    member.news = update;
    member.sendsLeft = this->sendsForNews();
    member.suspectSince.reset();
    if (isStateChanged) {
        ++this->changes;
    }
}

std::optional<core::HostName> MemberTable::nextTarget()
{
    if (this->probeOrder.empty()) {
        for (const auto &[host, member] : this->members) {
            if (host != this->self) {
                this->probeOrder.push_back(host);
            }
        }
        std::ranges::shuffle(this->probeOrder, this->random);
    }
    if (this->probeOrder.empty()) {
        return std::nullopt;
    }
    core::HostName target = std::move(this->probeOrder.back());
    this->probeOrder.pop_back();
    return target;
}

std::vector<core::HostName> MemberTable::pickHelpers(const core::HostName &target)
{
    std::vector<core::HostName> candidates;
    std::ranges::copy_if(this->liveHosts(), std::back_inserter(candidates),
                         [this, &target](const core::HostName &host) {
                             return host != this->self && host != target;
                         });
    std::ranges::shuffle(candidates, this->random);
    const std::size_t wanted = this->options.indirectProbes;
    candidates.resize(std::min(candidates.size(), wanted));
    return candidates;
}

std::vector<MemberUpdate> MemberTable::takeUpdates()
{
    std::vector<Member *> fresh;
    for (auto &[host, member] : this->members) {
        if (member.sendsLeft > 0) {
            fresh.push_back(&member);
        }
    }
    std::ranges::stable_sort(fresh, std::greater<> {}, &Member::sendsLeft);
    std::vector<MemberUpdate> updates;
    for (Member *member : fresh | std::views::take(this->options.updatesPerMessage)) {
        --member->sendsLeft;
        updates.push_back(member->news);
    }
    return updates;
}

std::vector<MemberUpdate> MemberTable::greetingUpdates(const core::HostName &newcomer)
{
    Member &member = this->members[newcomer];
    if (member.isGreeted) {
        return {};
    }
    member.isGreeted = true;
    std::vector<MemberUpdate> updates;
    for (const auto &[host, known] : this->members) {
        if (known.news.state != MemberState::Alive && updates.size() < GreetingLimit) {
            updates.push_back(known.news);
        }
    }
    return updates;
}

std::uint32_t MemberTable::sendsForNews() const
{
    return SendsPerDoubling * static_cast<std::uint32_t>(std::bit_width(this->members.size()));
}

} // namespace damaskgate::membership
