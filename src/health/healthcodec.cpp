#include "healthcodec.h"

#include "damaskgate/peer/packedmessage.h"

#include "health.capnp.h"

namespace damaskgate::health {

namespace {

std::uint32_t toMicroseconds(core::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    return static_cast<std::uint32_t>(count);
}

void writeEndpoint(wire::Evidence::Builder builder, const EndpointEvidence &evidence)
{
    builder.setEndpoint(evidence.endpoint.text().c_str());
    builder.setAnswered(evidence.succeeded);
    builder.setFailed(evidence.failed);
    builder.setPrompt(evidence.fast);
    builder.setSlow(evidence.slow);
    builder.setEnded(evidence.ended);
    builder.setBusyMicroseconds(toMicroseconds(evidence.busyTime));
}

void write(wire::Message::Builder builder, const EvidenceReport &report)
{
    auto root = builder.initReport();
    root.setService(report.service.text().c_str());
    root.setSequence(report.sequence);
    auto endpoints = root.initEndpoints(static_cast<unsigned>(report.endpoints.size()));
    for (unsigned index = 0; index < endpoints.size(); ++index) {
        writeEndpoint(endpoints[index], report.endpoints[index]);
    }
    auto latencies = root.initLatencies(static_cast<unsigned>(report.latencies.size()));
    for (unsigned index = 0; index < latencies.size(); ++index) {
        latencies[index].setBucket(report.latencies[index].bucket);
        latencies[index].setCount(report.latencies[index].count);
    }
}

void write(wire::Message::Builder builder, const EjectionUpdate &update)
{
    auto root = builder.initNews();
    root.setService(update.service.text().c_str());
    root.setHolding(update.leaseId);
    root.setSequence(update.sequence);
    root.setRevision(update.revision);
    root.setSlowLimitMicroseconds(toMicroseconds(update.slowLimit));
    auto ejected = root.initEjected(static_cast<unsigned>(update.ejected.size()));
    for (unsigned index = 0; index < ejected.size(); ++index) {
        ejected.set(index, update.ejected[index].text().c_str());
    }
}

HealthMessage read(wire::Report::Reader reader)
{
    EvidenceReport report {
        core::ServiceName(reader.getService().cStr()), reader.getSequence(), {}, {}
    };
    for (const auto entry : reader.getEndpoints()) {
        report.endpoints.push_back({ core::EndpointName(entry.getEndpoint().cStr()),
                                     entry.getAnswered(), entry.getFailed(), entry.getPrompt(),
                                     entry.getSlow(), entry.getEnded(),
                                     std::chrono::microseconds(entry.getBusyMicroseconds()) });
    }
    for (const auto entry : reader.getLatencies()) {
        report.latencies.push_back({ entry.getBucket(), entry.getCount() });
    }
    return report;
}

HealthMessage read(wire::News::Reader reader)
{
    EjectionUpdate update { core::ServiceName(reader.getService().cStr()),
                            reader.getHolding(),
                            reader.getSequence(),
                            reader.getRevision(),
                            {},
                            std::chrono::microseconds(reader.getSlowLimitMicroseconds()) };
    for (const auto name : reader.getEjected()) {
        update.ejected.emplace_back(name.cStr());
    }
    return update;
}

} // namespace

std::vector<std::byte> encode(const HealthMessage &message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::Message>();
    std::visit([&root](const auto &value) { write(root, value); }, message);
    return peer::packMessage(builder);
}

core::Result<HealthMessage> decode(std::span<const std::byte> payload)
{
    return peer::unpackMessage<wire::Message, HealthMessage>(
        payload, [](wire::Message::Reader root) -> core::Result<HealthMessage> {
            return root.isReport() ? read(root.getReport()) : read(root.getNews());
        });
}

} // namespace damaskgate::health
