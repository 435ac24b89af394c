#include "fleetcodec.h"

#include <algorithm>

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
    root.setIsForRelay(beat.isForRelay);
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
        beat.isForRelay = root.getIsForRelay();
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
        return beat;
    };
    return peer::unpackMessage<wire::Beat, Beat>(payload, readBeat);
}

} // namespace damaskgate::fleet
