#include "tokencodec.h"

#include <algorithm>

#include "damaskgate/peer/packedmessage.h"

#include "token.capnp.h"

namespace damaskgate::limits {

namespace {

constexpr std::size_t MessagesPerDatagram = 8;

struct Writer
{
    wire::Message::Builder builder;

    void operator()(const TakeRequest &request)
    {
        auto take = this->builder.initTake();
        take.setId(request.id);
        take.setUseWithinNanoseconds(static_cast<std::uint64_t>(request.useWithin.count()));
        take.setWorkspace(request.workspace.text().c_str());
    }

    void operator()(const TakeReply &reply)
    {
        auto taken = this->builder.initTaken();
        taken.setId(reply.id);
        taken.setIncarnation(reply.incarnation);
        taken.setOutcome(static_cast<std::uint16_t>(reply.outcome));
        taken.setRetryAfterMilliseconds(static_cast<std::uint32_t>(reply.retryAfter.count()));
        taken.setHolder(reply.holder.text().c_str());
    }

    void operator()(const TokenHandover &handover)
    {
        auto entry = this->builder.initHandover();
        entry.setPartition(handover.partition);
        entry.setEpoch(handover.epoch);
        entry.setWorkspace(handover.workspace.text().c_str());
        entry.setTokens(handover.tokens);
    }
};

TakeRequest readTake(wire::TakeRequest::Reader take)
{
    return { take.getId(),
             core::Duration(static_cast<core::Duration::rep>(take.getUseWithinNanoseconds())),
             core::WorkspaceName(take.getWorkspace().cStr()) };
}

TakeReply readTaken(wire::TakeReply::Reader taken)
{
    return { taken.getId(), taken.getIncarnation(), static_cast<TakeOutcome>(taken.getOutcome()),
             std::chrono::milliseconds(taken.getRetryAfterMilliseconds()),
             core::HostName(taken.getHolder().cStr()) };
}

TokenHandover readHandover(wire::Handover::Reader handover)
{
    return { handover.getPartition(), handover.getEpoch(),
             core::WorkspaceName(handover.getWorkspace().cStr()), handover.getTokens() };
}

void readMessage(wire::Message::Reader reader, std::vector<TokenMessage> &messages)
{
    switch (reader.which()) {
    case wire::Message::TAKE:
        messages.emplace_back(readTake(reader.getTake()));
        break;
    case wire::Message::TAKEN:
        messages.emplace_back(readTaken(reader.getTaken()));
        break;
    case wire::Message::HANDOVER:
        messages.emplace_back(readHandover(reader.getHandover()));
        break;
    }
}

std::vector<std::byte> encodeSome(std::span<const TokenMessage> messages)
{
    capnp::MallocMessageBuilder message;
    auto list =
        message.initRoot<wire::Batch>().initMessages(static_cast<unsigned>(messages.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        std::visit(Writer { list[index] }, messages[index]);
    }
    return peer::packMessage(message);
}

std::vector<TokenMessage> readMessages(wire::Batch::Reader reader)
{
    std::vector<TokenMessage> messages;
    for (const auto entry : reader.getMessages()) {
        readMessage(entry, messages);
    }
    return messages;
}

} // namespace

std::vector<std::vector<std::byte>> encodeMessages(std::span<const TokenMessage> messages)
{
    std::vector<std::vector<std::byte>> payloads;
    while (!messages.empty()) {
        const std::size_t count = std::min(messages.size(), MessagesPerDatagram);
        payloads.push_back(encodeSome(messages.first(count)));
        messages = messages.subspan(count);
    }
    return payloads;
}

core::Result<std::vector<TokenMessage>> decodeMessages(std::span<const std::byte> payload)
{
    return peer::unpackMessage<wire::Batch, std::vector<TokenMessage>>(payload, readMessages);
}

} // namespace damaskgate::limits
