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

// Number of messages that carry an update, for each doubling of the number of members.
constexpr std::uint32_t SendsPerDoubling = 3;

constexpr std::size_t MaxInitialUpdates = 24;

// Number of hosts to which a leaving host sends its state directly.
constexpr std::uint32_t MaxLeavingReceivers = 6;

// Fraction of successful probes below which a host has no contact with the fleet.
constexpr double MinContactFraction = 0.5;

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
    own.latestUpdate = MemberUpdate { this->self, incarnation, 0, MemberState::Alive };
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
            kept[host].latestUpdate.host = host;
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
        // Replies may still be queued in the socket, so a missing reply is no evidence of a fault.
        this->pendingProbe.reset();
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
    if (fromIncarnation < sender->second.latestUpdate.incarnation) {
        return {};
    }
    this->onContact(from, fromIncarnation);
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
    MemberUpdate update = own.latestUpdate;
    ++update.counter;
    update.state = MemberState::Leaving;
    this->adopt(own, update);

    std::vector<core::HostName> others;
    std::ranges::copy_if(this->liveHosts(), std::back_inserter(others),
                         [this](const core::HostName &host) { return host != this->self; });
    std::ranges::shuffle(others, this->random);
    std::vector<OutgoingMessage> out;
    for (const core::HostName &host : others | std::views::take(MaxLeavingReceivers)) {
        out.push_back({ host, Probe { this->nextSequence++, this->ownRevision, { update } } });
    }
    return out;
}

MemberState MemberTable::stateOf(const core::HostName &host) const
{
    const auto found = this->members.find(host);
    return found == this->members.end() ? MemberState::Dead : found->second.latestUpdate.state;
}

std::vector<core::HostName> MemberTable::liveHosts() const
{
    std::vector<core::HostName> live;
    for (const auto &[host, member] : this->members) {
        if (member.latestUpdate.state == MemberState::Alive
            || member.latestUpdate.state == MemberState::Suspect) {
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
    const std::size_t needed = std::min<std::size_t>(this->options.contactReplies, others);
    if (needed == 0 || this->successfulProbes.size() < needed) {
        return std::nullopt;
    }
    if (this->contactFraction(this->options.contactWindow) < MinContactFraction) {
        return std::nullopt;
    }
    return this->successfulProbes[this->successfulProbes.size() - needed];
}

std::uint64_t MemberTable::changeCount() const
{
    return this->changes;
}

std::vector<OutgoingMessage> MemberTable::onProbe(const core::HostName &from, const Probe &probe)
{
    this->onRevisionReported(from, probe.revision);
    std::ranges::for_each(probe.updates, [this](const MemberUpdate &u) { this->applyUpdate(u); });
    ProbeReply reply { probe.sequence, this->ownRevision, this->initialUpdates(from) };
    if (reply.updates.empty()) {
        reply.updates = this->takeUpdates();
    }
    return { { from, std::move(reply) } };
}

std::vector<OutgoingMessage> MemberTable::onReply(const core::HostName &from,
                                                  const ProbeReply &reply)
{
    this->onRevisionReported(from, reply.revision);
    std::ranges::for_each(reply.updates, [this](const MemberUpdate &u) { this->applyUpdate(u); });

    const auto relay = this->relayedProbes.find(reply.sequence);
    if (relay != this->relayedProbes.end()) {
        const RelayedProbe relayedProbe = relay->second;
        this->relayedProbes.erase(relay);
        return { { relayedProbe.requester,
                   ProbeReply { relayedProbe.requesterSequence, this->ownRevision, {} } } };
    }
    if (this->pendingProbe && this->pendingProbe->sequence == reply.sequence) {
        this->recordContact(true, this->pendingProbe->sentAt);
        this->pendingProbe.reset();
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
    std::erase_if(this->relayedProbes,
                  [now](const auto &entry) { return entry.second.expiry <= now; });
    const std::uint64_t sequence = this->nextSequence++;
    this->relayedProbes[sequence] =
        RelayedProbe { from, request.sequence, now + this->options.probePeriod };
    return { { request.target, Probe { sequence, this->ownRevision, this->takeUpdates() } } };
}

void MemberTable::onContact(const core::HostName &host, std::uint64_t incarnation)
{
    Member &member = this->members[host];
    if (incarnation > member.latestUpdate.incarnation) {
        member.hasInitialUpdates = false;
        this->adopt(member, MemberUpdate { host, incarnation, 0, MemberState::Alive });
    }
}

void MemberTable::onRevisionReported(const core::HostName &host, const settings::Revision &revision)
{
    if (revision > this->highestRevision) {
        this->highestRevision = revision;
        this->highestRevisionHost = host;
    } else if (revision == this->highestRevision) {
        // The host that reported the revision last is the most likely to respond to a fetch.
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
    const core::Instant failsAt = now + this->options.probePeriod - this->options.replyTimeout / 2;
    this->pendingProbe = PendingProbe { *target, sequence, now, replyDue, failsAt, false };
    out.push_back({ *target, Probe { sequence, this->ownRevision, this->takeUpdates() } });
}

void MemberTable::checkPendingProbe(core::Instant now, std::vector<OutgoingMessage> &out)
{
    if (!this->pendingProbe) {
        return;
    }
    if (now >= this->pendingProbe->failsAt) {
        const PendingProbe failed = *std::exchange(this->pendingProbe, std::nullopt);
        if (this->stateOf(failed.target) != MemberState::Dead) {
            this->recordContact(false, failed.sentAt);
            this->suspect(failed.target);
        }
        return;
    }
    if (now >= this->pendingProbe->replyDue && !this->pendingProbe->isIndirect) {
        this->pendingProbe->isIndirect = true;
        for (const core::HostName &prober : this->pickIndirectProbers(this->pendingProbe->target)) {
            out.push_back(
                { prober,
                  IndirectProbe { this->pendingProbe->sequence, this->pendingProbe->target } });
        }
    }
}

void MemberTable::expireSuspicions(core::Instant now)
{
    for (auto &[host, member] : this->members) {
        if (member.latestUpdate.state != MemberState::Suspect) {
            continue;
        }
        if (!member.suspectSince) {
            member.suspectSince = now;
        }
        if (now - *member.suspectSince >= this->options.suspicionTimeout) {
            MemberUpdate update = member.latestUpdate;
            update.state = MemberState::Dead;
            this->adopt(member, update);
        }
    }
}

void MemberTable::suspect(const core::HostName &host)
{
    if (this->contactFraction(this->options.ownLinkWindow) < MinContactFraction) {
        // When most probes fail, the links of this host are the likely cause.
        return;
    }
    Member &member = this->members[host];
    if (member.latestUpdate.state == MemberState::Leaving) {
        MemberUpdate update = member.latestUpdate;
        update.state = MemberState::Dead;
        this->adopt(member, update);
        return;
    }
    if (member.latestUpdate.state == MemberState::Alive) {
        MemberUpdate update = member.latestUpdate;
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
    const auto successful = std::ranges::count(recent, true);
    return static_cast<double>(successful) / static_cast<double>(count);
}

void MemberTable::recordContact(bool isSuccessful, core::Instant sentAt)
{
    if (isSuccessful) {
        this->successfulProbes.push_back(sentAt);
        if (this->successfulProbes.size() > this->options.contactReplies) {
            this->successfulProbes.pop_front();
        }
    }
    this->recentContacts.push_back(isSuccessful);
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
    if (found != this->members.end() && isNewer(update, found->second.latestUpdate)) {
        this->adopt(found->second, update);
    }
}

void MemberTable::refute(const MemberUpdate &update)
{
    Member &own = this->members[this->self];
    const bool isAboutThisProcess = update.incarnation <= this->incarnation;
    if (!isAboutThisProcess || !isNewer(update, own.latestUpdate)) {
        return;
    }
    MemberUpdate refuted = own.latestUpdate;
    refuted.counter = update.counter + 1;
    this->adopt(own, refuted);
}

void MemberTable::adopt(Member &member, const MemberUpdate &update)
{
    const bool isStateChanged = member.latestUpdate.state != update.state;
    member.latestUpdate = update;
    member.sendsLeft = this->sendsPerUpdate();
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

std::vector<core::HostName> MemberTable::pickIndirectProbers(const core::HostName &target)
{
    std::vector<core::HostName> candidates;
    std::ranges::copy_if(this->liveHosts(), std::back_inserter(candidates),
                         [this, &target](const core::HostName &host) {
                             return host != this->self && host != target;
                         });
    std::ranges::shuffle(candidates, this->random);
    const std::size_t wanted = this->options.indirectProbers;
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
        updates.push_back(member->latestUpdate);
    }
    return updates;
}

std::vector<MemberUpdate> MemberTable::initialUpdates(const core::HostName &newMember)
{
    Member &member = this->members[newMember];
    if (member.hasInitialUpdates) {
        return {};
    }
    member.hasInitialUpdates = true;
    std::vector<MemberUpdate> updates;
    for (const auto &[host, known] : this->members) {
        if (known.latestUpdate.state != MemberState::Alive && updates.size() < MaxInitialUpdates) {
            updates.push_back(known.latestUpdate);
        }
    }
    return updates;
}

std::uint32_t MemberTable::sendsPerUpdate() const
{
    return SendsPerDoubling * static_cast<std::uint32_t>(std::bit_width(this->members.size()));
}

} // namespace damaskgate::membership
