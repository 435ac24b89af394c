#include "tokencodec.h"

#include <algorithm>

#include "damaskgate/peer/packedmessage.h"

#include "token.capnp.h"

namespace damaskgate::limits {

namespace {

constexpr std::size_t MessagesPerDatagram = 8;

struct MessageWriter
{
    wire::Message::Builder builder;

    void operator()(const TokenRequest &request)
    {
        auto wireRequest = this->builder.initTake();
        wireRequest.setId(request.id);
        wireRequest.setUseWithinNanoseconds(static_cast<std::uint64_t>(request.useWithin.count()));
        wireRequest.setWorkspace(request.workspace.text().c_str());
    }

    void operator()(const TokenReply &reply)
    {
        auto wireReply = this->builder.initTaken();
        wireReply.setId(reply.id);
        wireReply.setIncarnation(reply.incarnation);
        wireReply.setOutcome(static_cast<std::uint16_t>(reply.outcome));
        wireReply.setRetryAfterMilliseconds(static_cast<std::uint32_t>(reply.retryAfter.count()));
        wireReply.setHolder(reply.holder.text().c_str());
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

TokenRequest readTokenRequest(wire::TakeRequest::Reader wireRequest)
{
    return { wireRequest.getId(),
             core::Duration(
                 static_cast<core::Duration::rep>(wireRequest.getUseWithinNanoseconds())),
             core::WorkspaceName(wireRequest.getWorkspace().cStr()) };
}

TokenReply readTokenReply(wire::TakeReply::Reader wireReply)
{
    return { wireReply.getId(), wireReply.getIncarnation(),
             static_cast<TokenOutcome>(wireReply.getOutcome()),
             std::chrono::milliseconds(wireReply.getRetryAfterMilliseconds()),
             core::HostName(wireReply.getHolder().cStr()) };
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
        messages.emplace_back(readTokenRequest(reader.getTake()));
        break;
    case wire::Message::TAKEN:
        messages.emplace_back(readTokenReply(reader.getTaken()));
        break;
    case wire::Message::HANDOVER:
        messages.emplace_back(readHandover(reader.getHandover()));
        break;
    }
}

std::vector<std::byte> encodeBatch(std::span<const TokenMessage> messages)
{
    capnp::MallocMessageBuilder message;
    auto list =
        message.initRoot<wire::Batch>().initMessages(static_cast<unsigned>(messages.size()));
    for (unsigned index = 0; index < list.size(); ++index) {
        std::visit(MessageWriter { list[index] }, messages[index]);
    }
    return peer::packMessage(message);
}

std::vector<TokenMessage> readBatch(wire::Batch::Reader reader)
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
        payloads.push_back(encodeBatch(messages.first(count)));
        messages = messages.subspan(count);
    }
    return payloads;
}

core::Result<std::vector<TokenMessage>> decodeMessages(std::span<const std::byte> payload)
{
    return peer::unpackMessage<wire::Batch, std::vector<TokenMessage>>(payload, readBatch);
}

} // namespace damaskgate::limits
