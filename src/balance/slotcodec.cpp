#include "slotcodec.h"

#include "damaskgate/peer/packedmessage.h"

#include "slot.capnp.h"

namespace damaskgate::balance {

namespace {

std::uint32_t toMilliseconds(core::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(count);
}

core::Result<WarmupState> toWarmupState(std::uint8_t value)
{
    if (value > static_cast<std::uint8_t>(WarmupState::Doubtful)) {
        return core::notRun(core::Reason::BadRequest, "unknown warm-up state");
    }
    return static_cast<WarmupState>(value);
}

void write(wire::Use::Builder builder, const EndpointUse &use)
{
    builder.setEndpoint(use.endpoint.text().c_str());
    builder.setTemperature(static_cast<std::uint8_t>(use.warmupState));
    builder.setServedForMilliseconds(toMilliseconds(use.servedFor));
    builder.setIncarnation(use.incarnation);
    builder.setAppliedHolding(use.appliedLeaseId);
    builder.setAppliedSequence(use.appliedSequence);
    builder.setQuota(static_cast<std::uint16_t>(use.quota));
    builder.setInFlight(static_cast<std::uint16_t>(use.inFlight));
    builder.setWanted(static_cast<std::uint16_t>(use.wanted));
}

void write(wire::Quota::Builder builder, const EndpointQuota &quota)
{
    builder.setEndpoint(quota.endpoint.text().c_str());
    builder.setTemperature(static_cast<std::uint8_t>(quota.warmupState));
    builder.setServedForMilliseconds(toMilliseconds(quota.servedFor));
    builder.setQuota(static_cast<std::uint16_t>(quota.quota));
}

template <typename List, typename T>
void writeAll(List list, const std::vector<T> &values)
{
    for (unsigned index = 0; index < list.size(); ++index) {
        write(list[index], values[index]);
    }
}

void write(wire::Message::Builder builder, const SlotRequest &request)
{
    auto root = builder.initRequest();
    root.setService(request.service.text().c_str());
    root.setSequence(request.sequence);
    writeAll(root.initEndpoints(static_cast<unsigned>(request.endpoints.size())),
             request.endpoints);
}

void write(wire::Message::Builder builder, const SlotReply &reply)
{
    auto root = builder.initAnswer();
    root.setService(reply.service.text().c_str());
    root.setHolding(reply.leaseId);
    root.setSequence(reply.sequence);
    writeAll(root.initEndpoints(static_cast<unsigned>(reply.endpoints.size())), reply.endpoints);
}

core::Result<SlotMessage> read(wire::Request::Reader reader)
{
    SlotRequest request { core::ServiceName(reader.getService().cStr()), reader.getSequence(), {} };
    for (const auto use : reader.getEndpoints()) {
        const auto warmupState = toWarmupState(use.getTemperature());
        if (!warmupState) {
            return tl::unexpected(warmupState.error());
        }
        request.endpoints.push_back({ core::EndpointName(use.getEndpoint().cStr()), *warmupState,
                                      std::chrono::milliseconds(use.getServedForMilliseconds()),
                                      use.getIncarnation(), use.getAppliedHolding(),
                                      use.getAppliedSequence(), use.getQuota(), use.getInFlight(),
                                      use.getWanted() });
    }
    return request;
}

core::Result<SlotMessage> read(wire::Answer::Reader reader)
{
    SlotReply reply {
        core::ServiceName(reader.getService().cStr()), reader.getHolding(), reader.getSequence(), {}
    };
    for (const auto quota : reader.getEndpoints()) {
        const auto warmupState = toWarmupState(quota.getTemperature());
        if (!warmupState) {
            return tl::unexpected(warmupState.error());
        }
        reply.endpoints.push_back({ core::EndpointName(quota.getEndpoint().cStr()), *warmupState,
                                    std::chrono::milliseconds(quota.getServedForMilliseconds()),
                                    quota.getQuota() });
    }
    return reply;
}

} // namespace

std::vector<std::byte> encode(const SlotMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::Message>();
    std::visit([&root](const auto &value) { write(root, value); }, message);
    return peer::packMessage(builder);
}

core::Result<SlotMessage> decode(std::span<const std::byte> payload)
{
    return peer::unpackMessage<wire::Message, SlotMessage>(
        payload, [](wire::Message::Reader root) -> core::Result<SlotMessage> {
            return root.isRequest() ? read(root.getRequest()) : read(root.getAnswer());
        });
}

} // namespace damaskgate::balance
