#include "membercodec.h"

#include <cstdint>

#include "damaskgate/peer/packedmessage.h"

#include "membershipmessages.capnp.h"

namespace damaskgate::membership {

namespace {

constexpr std::uint32_t FirstSegmentWords = 128;

void writeRevision(wire::Revision::Builder builder, const settings::Revision &revision)
{
    builder.setNumber(revision.number);
    builder.setHash(revision.hash);
}

void writeUpdates(wire::MemberMessage::Builder builder, std::span<const MemberUpdate> updates)
{
    auto list = builder.initUpdates(static_cast<unsigned>(updates.size()));
    unsigned index = 0;
    for (const MemberUpdate &update : updates) {
        auto item = list[index++];
        item.setHost(update.host.text());
        item.setIncarnation(update.incarnation);
        item.setCounter(update.counter);
        item.setState(static_cast<std::uint8_t>(update.state));
    }
}

struct MessageWriter
{
    wire::MemberMessage::Builder builder;

    void operator()(const Probe &probe)
    {
        this->builder.setSequence(probe.sequence);
        writeRevision(this->builder.initRevision(), probe.revision);
        writeUpdates(this->builder, probe.updates);
        this->builder.setProbe();
    }

    void operator()(const ProbeReply &reply)
    {
        this->builder.setSequence(reply.sequence);
        writeRevision(this->builder.initRevision(), reply.revision);
        writeUpdates(this->builder, reply.updates);
        this->builder.setReply();
    }

    void operator()(const IndirectProbe &request)
    {
        this->builder.setSequence(request.sequence);
        this->builder.setIndirectTarget(request.target.text());
    }
};

settings::Revision readRevision(wire::Revision::Reader reader)
{
    return settings::Revision { reader.getNumber(), std::string(reader.getHash().cStr()) };
}

std::vector<MemberUpdate> readUpdates(wire::MemberMessage::Reader reader)
{
    std::vector<MemberUpdate> updates;
    for (const auto item : reader.getUpdates()) {
        if (item.getState() > static_cast<std::uint8_t>(MemberState::Dead)) {
            continue;
        }
        updates.push_back(MemberUpdate { core::HostName(item.getHost().cStr()),
                                         item.getIncarnation(), item.getCounter(),
                                         static_cast<MemberState>(item.getState()) });
    }
    return updates;
}

MemberMessage readMessage(wire::MemberMessage::Reader reader)
{
    switch (reader.which()) {
    case wire::MemberMessage::PROBE:
        return Probe { reader.getSequence(), readRevision(reader.getRevision()),
                       readUpdates(reader) };
    case wire::MemberMessage::REPLY:
        return ProbeReply { reader.getSequence(), readRevision(reader.getRevision()),
                            readUpdates(reader) };
    case wire::MemberMessage::INDIRECT_TARGET:
        break;
    }
    return IndirectProbe { reader.getSequence(),
                           core::HostName(reader.getIndirectTarget().cStr()) };
}

} // namespace

std::vector<std::byte> encode(const MemberMessage &message)
{
    capnp::MallocMessageBuilder builder(FirstSegmentWords);
    std::visit(MessageWriter { builder.initRoot<wire::MemberMessage>() }, message);
    return peer::packMessage(builder);
}

core::Result<MemberMessage> decode(std::span<const std::byte> payload)
{
    return peer::unpackMessage<wire::MemberMessage, MemberMessage>(payload, readMessage);
}

} // namespace damaskgate::membership
