#include "leasecodec.h"

#include <algorithm>
#include <array>

#include "damaskgate/peer/packedmessage.h"

#include "lease.capnp.h"

namespace damaskgate::lease {

namespace {

//! Keeps a payload small enough for one datagram.
constexpr std::size_t EntriesPerDatagram = 16;

void writeReply(wire::Reply::Builder builder, const LeaseReply &reply)
{
    builder.setPartition(reply.partition);
    builder.setOutcome(static_cast<std::uint16_t>(reply.outcome));
    builder.setEpoch(reply.lease.epoch);
    builder.setSequence(reply.sequence);
    builder.setIncarnation(reply.incarnation);
    builder.setHolderIncarnation(reply.lease.holder.incarnation);
    builder.setHolderHost(reply.lease.holder.host.text().c_str());
}

LeaseReply readReply(wire::Reply::Reader reader)
{
    const HolderId holder { core::HostName(reader.getHolderHost().cStr()),
                            reader.getHolderIncarnation() };
    return { reader.getPartition(),
             static_cast<LeaseOutcome>(reader.getOutcome()),
             reader.getSequence(),
             reader.getIncarnation(),
             { holder, reader.getEpoch() } };
}

void writeRequest(wire::Request::Builder builder, const LeaseRequest &request)
{
    builder.setPartition(request.partition);
    builder.setEpoch(request.epoch);
    builder.setSequence(request.sequence);
}

void writeRelease(wire::Release::Builder builder, const LeaseRelease &release)
{
    builder.setPartition(release.partition);
    builder.setSequence(release.sequence);
}

template <typename List, typename T, typename Write>
void writeAll(List list, const std::vector<T> &values, Write write)
{
    for (unsigned index = 0; index < list.size(); ++index) {
        write(list[index], values[index]);
    }
}

std::vector<std::byte> encodePayload(const LeaseBatch &batch)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::Batch>();
    builder.setRosterHash(batch.roster.hash);
    builder.setRosterRevision(batch.roster.revision);
    const auto count = [](const auto &values) {
        return static_cast<unsigned>(values.size());
    };
    const auto writePartition = [](auto entry, const auto &value) {
        entry.setPartition(value.partition);
    };
    writeAll(builder.initRequests(count(batch.requests)), batch.requests, writeRequest);
    writeAll(builder.initReplies(count(batch.replies)), batch.replies, writeReply);
    writeAll(builder.initReleases(count(batch.releases)), batch.releases, writeRelease);
    writeAll(builder.initAsks(count(batch.handoverRequests)), batch.handoverRequests,
             writePartition);
    writeAll(builder.initOffers(count(batch.offers)), batch.offers, writePartition);
    return peer::packMessage(message);
}

/** Moves up to @p room entries from @p from to @p to and subtracts their number from @p room. */
template <typename T>
void moveEntries(std::vector<T> &from, std::vector<T> &to, std::size_t &room)
{
    const std::size_t count = std::min(room, from.size());
    const auto end = from.begin() + static_cast<std::ptrdiff_t>(count);
    to.assign(from.begin(), end);
    from.erase(from.begin(), end);
    room -= count;
}

LeaseBatch readBatch(wire::Batch::Reader reader)
{
    LeaseBatch batch;
    batch.roster = { reader.getRosterHash(), reader.getRosterRevision() };
    for (const auto entry : reader.getRequests()) {
        batch.requests.push_back({ entry.getPartition(), entry.getEpoch(), entry.getSequence() });
    }
    for (const auto entry : reader.getReplies()) {
        batch.replies.push_back(readReply(entry));
    }
    for (const auto entry : reader.getReleases()) {
        batch.releases.push_back({ entry.getPartition(), entry.getSequence() });
    }
    for (const auto entry : reader.getAsks()) {
        batch.handoverRequests.push_back({ entry.getPartition() });
    }
    for (const auto entry : reader.getOffers()) {
        batch.offers.push_back({ entry.getPartition() });
    }
    return batch;
}

} // namespace

std::vector<std::vector<std::byte>> encodeBatch(const LeaseBatch &batch)
{
    std::vector<std::vector<std::byte>> payloads;
    LeaseBatch remaining = batch;
    for (;;) {
        LeaseBatch part;
        part.roster = batch.roster;
        std::size_t room = EntriesPerDatagram;
        moveEntries(remaining.releases, part.releases, room);
        moveEntries(remaining.requests, part.requests, room);
        moveEntries(remaining.replies, part.replies, room);
        moveEntries(remaining.handoverRequests, part.handoverRequests, room);
        moveEntries(remaining.offers, part.offers, room);
        if (room == EntriesPerDatagram) {
            return payloads;
        }
        payloads.push_back(encodePayload(part));
    }
}

core::Result<LeaseBatch> decodeBatch(std::span<const std::byte> payload)
{
    return peer::unpackMessage<wire::Batch, LeaseBatch>(payload, readBatch);
}

} // namespace damaskgate::lease
