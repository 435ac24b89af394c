#include "fleetcodec.h"

#include <algorithm>

#include <boost/asio/ip/address_v4.hpp>

#include "damaskgate/peer/packedmessage.h"

#include "fleet.capnp.h"

namespace damaskgate::fleet {

namespace {

constexpr std::uint16_t NoSourceAge = 65535;

void write(wire::Note::Builder builder, const Note &note)
{
    builder.setKind(note.kind);
    builder.setAmount(note.amount);
    builder.setSubject(note.subject);
    builder.setAccount(note.account);
    builder.setOrigin(note.origin);
}

Note read(wire::Note::Reader reader)
{
    return Note { reader.getKind(), reader.getAmount(), reader.getSubject(), reader.getAccount(),
                  reader.getOrigin() };
}

// Hosts are named by their IP numbers.
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

std::vector<std::byte> encode(const Beat &beat)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Beat>();
    root.setDomain(beat.state.domain.text().c_str());
    root.setIsLeaving(beat.state.isLeaving);
    root.setIsServing(beat.state.isServing);
    root.setIsAsking(beat.isAsking);
    root.setSpread(static_cast<std::uint8_t>(beat.spread));
    root.setCorePercent(beat.state.corePercent);
    root.setDataRevision(beat.state.dataRevision);
    root.setSourceAgeMilliseconds(toWireAge(beat.state.sourceAge));
    auto known = root.initKnown(static_cast<unsigned>(beat.known.size()));
    for (unsigned index = 0; index < known.size(); ++index) {
        known.set(index, beat.known[index].text().c_str());
    }
    auto notes = root.initNotes(static_cast<unsigned>(beat.notes.size()));
    for (unsigned index = 0; index < notes.size(); ++index) {
        write(notes[index], beat.notes[index]);
    }
    auto vouches = root.initVouches(static_cast<unsigned>(beat.vouches.size()));
    for (unsigned index = 0; index < vouches.size(); ++index) {
        const Vouch &vouch = beat.vouches[index];
        vouches[index].setAddress(toAddress(vouch.name));
        vouches[index].setAgeMilliseconds(toWireAge(vouch.age));
        vouches[index].setIsLeaving(vouch.isLeaving);
        vouches[index].setIsServing(vouch.isServing);
        vouches[index].setCorePercent(vouch.corePercent);
    }
    return peer::packMessage(message);
}

core::Result<Beat> decode(std::span<const std::byte> payload)
{
    const auto readBeat = [](wire::Beat::Reader root) -> core::Result<Beat> {
        Beat beat;
        beat.state.domain = core::DomainName(root.getDomain().cStr());
        beat.state.isLeaving = root.getIsLeaving();
        beat.state.isServing = root.getIsServing();
        beat.isAsking = root.getIsAsking();
        beat.spread = root.getSpread() > static_cast<std::uint8_t>(Spread::Fleet)
            ? Spread::Done
            : static_cast<Spread>(root.getSpread());
        beat.state.corePercent = root.getCorePercent();
        beat.state.dataRevision = root.getDataRevision();
        if (root.getSourceAgeMilliseconds() != NoSourceAge) {
            beat.state.sourceAge = std::chrono::milliseconds(root.getSourceAgeMilliseconds());
        }
        for (const auto name : root.getKnown()) {
            beat.known.emplace_back(name.cStr());
        }
        for (const auto note : root.getNotes()) {
            beat.notes.push_back(read(note));
        }
        for (const auto vouch : root.getVouches()) {
            beat.vouches.push_back(
                { toName(vouch.getAddress()), std::chrono::milliseconds(vouch.getAgeMilliseconds()),
                  vouch.getIsLeaving(), vouch.getIsServing(), vouch.getCorePercent() });
        }
        return beat;
    };
    return peer::unpackMessage<wire::Beat, Beat>(payload, readBeat);
}

} // namespace damaskgate::fleet
