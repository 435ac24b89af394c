#include "fleetcodec.h"

#include <algorithm>

#include <boost/asio/ip/address_v4.hpp>

#include "damaskgate/peer/packedmessage.h"

#include "fleet.capnp.h"

namespace damaskgate::fleet {

namespace {

constexpr std::uint16_t NoSourceAge = 65535;

void write(wire::Note::Builder builder, const GossipItem &item)
{
    builder.setKind(item.kind);
    builder.setAmount(item.amount);
    builder.setSubject(item.subject);
    builder.setAccount(item.account);
    builder.setOrigin(item.origin);
    builder.setIsUrgent(item.isUrgent);
}

GossipItem read(wire::Note::Reader reader)
{
    return GossipItem { reader.getKind(),    reader.getAmount(), reader.getSubject(),
                        reader.getAccount(), reader.getOrigin(), reader.getIsUrgent() };
}

// The name of a host is its IPv4 address.
std::uint32_t toAddress(const core::HostName &name)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(name.text(), error);
    return error ? 0 : address.to_uint();
}

core::HostName toName(std::uint32_t address)
{
    return core::HostName(boost::asio::ip::address_v4(address).to_string());
}

std::uint16_t toWireAge(const std::optional<std::chrono::milliseconds> &age)
{
    if (!age) {
        return NoSourceAge;
    }
    const auto count = std::min<std::chrono::milliseconds::rep>(age->count(), NoSourceAge - 1);
    return static_cast<std::uint16_t>(count);
}

} // namespace

std::vector<std::byte> encode(const Heartbeat &heartbeat)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Beat>();
    root.setDomain(heartbeat.state.domain.text().c_str());
    root.setIsLeaving(heartbeat.state.isLeaving);
    root.setIsServing(heartbeat.state.isServing);
    root.setIsAsking(heartbeat.isHostListRequested);
    root.setSpread(static_cast<std::uint8_t>(heartbeat.scope));
    root.setCorePercent(heartbeat.state.corePercent);
    root.setDataRevision(heartbeat.state.dataRevision);
    root.setSourceAgeMilliseconds(toWireAge(heartbeat.state.sourceAge));
    auto known = root.initKnown(static_cast<unsigned>(heartbeat.knownHosts.size()));
    for (unsigned index = 0; index < known.size(); ++index) {
        known.set(index, heartbeat.knownHosts[index].text().c_str());
    }
    auto gossipItems = root.initNotes(static_cast<unsigned>(heartbeat.gossipItems.size()));
    for (unsigned index = 0; index < gossipItems.size(); ++index) {
        write(gossipItems[index], heartbeat.gossipItems[index]);
    }
    auto indirectHeartbeats =
        root.initVouches(static_cast<unsigned>(heartbeat.indirectHeartbeats.size()));
    for (unsigned index = 0; index < indirectHeartbeats.size(); ++index) {
        const IndirectHeartbeat &indirect = heartbeat.indirectHeartbeats[index];
        indirectHeartbeats[index].setAddress(toAddress(indirect.name));
        indirectHeartbeats[index].setAgeMilliseconds(toWireAge(indirect.age));
        indirectHeartbeats[index].setIsLeaving(indirect.isLeaving);
        indirectHeartbeats[index].setIsServing(indirect.isServing);
        indirectHeartbeats[index].setCorePercent(indirect.corePercent);
    }
    return peer::packMessage(message);
}

core::Result<Heartbeat> decode(std::span<const std::byte> payload)
{
    const auto readHeartbeat = [](wire::Beat::Reader root) -> core::Result<Heartbeat> {
        Heartbeat heartbeat;
        heartbeat.state.domain = core::DomainName(root.getDomain().cStr());
        heartbeat.state.isLeaving = root.getIsLeaving();
        heartbeat.state.isServing = root.getIsServing();
        heartbeat.isHostListRequested = root.getIsAsking();
        heartbeat.scope = root.getSpread() > static_cast<std::uint8_t>(GossipScope::Fleet)
            ? GossipScope::Receiver
            : static_cast<GossipScope>(root.getSpread());
        heartbeat.state.corePercent = root.getCorePercent();
        heartbeat.state.dataRevision = root.getDataRevision();
        if (root.getSourceAgeMilliseconds() != NoSourceAge) {
            heartbeat.state.sourceAge = std::chrono::milliseconds(root.getSourceAgeMilliseconds());
        }
        for (const auto name : root.getKnown()) {
            heartbeat.knownHosts.emplace_back(name.cStr());
        }
        for (const auto item : root.getNotes()) {
            heartbeat.gossipItems.push_back(read(item));
        }
        for (const auto indirect : root.getVouches()) {
            heartbeat.indirectHeartbeats.push_back(
                { toName(indirect.getAddress()),
                  std::chrono::milliseconds(indirect.getAgeMilliseconds()), indirect.getIsLeaving(),
                  indirect.getIsServing(), indirect.getCorePercent() });
        }
        return heartbeat;
    };
    return peer::unpackMessage<wire::Beat, Heartbeat>(payload, readHeartbeat);
}

} // namespace damaskgate::fleet
