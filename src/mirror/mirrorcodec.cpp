#include "mirrorcodec.h"

#include <span>

#include "damaskgate/peer/packedmessage.h"

#include "mirror.capnp.h"

namespace damaskgate::mirror {

namespace {

constexpr std::uint64_t MaxWordsRead = 8UL * 1024 * 1024; // 64 MiB in words of 8 bytes

Changes readChanges(wire::Changes::Reader wireChanges)
{
    Changes changes;
    changes.revision = wireChanges.getRevision();
    changes.isSnapshot = wireChanges.getIsWhole();
    for (const auto item : wireChanges.getItems()) {
        const auto value = item.getValue().asChars();
        changes.items.push_back(
            { item.getKey().cStr(), { value.begin(), value.end() }, item.getRevision() });
    }
    for (const auto removal : wireChanges.getRemovals()) {
        changes.removals.push_back({ removal.getKey().cStr(), removal.getRevision() });
    }
    return changes;
}

} // namespace

std::string encode(const Changes &changes)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Changes>();
    root.setRevision(changes.revision);
    root.setIsWhole(changes.isSnapshot);
    auto items = root.initItems(static_cast<unsigned>(changes.items.size()));
    for (unsigned index = 0; index < items.size(); ++index) {
        const Item &item = changes.items[index];
        items[index].setKey(item.key.c_str());
        items[index].setRevision(item.revision);
        items[index].setValue(
            { reinterpret_cast<const kj::byte *>(item.value.data()), item.value.size() });
    }
    auto removals = root.initRemovals(static_cast<unsigned>(changes.removals.size()));
    for (unsigned index = 0; index < removals.size(); ++index) {
        removals[index].setKey(changes.removals[index].key.c_str());
        removals[index].setRevision(changes.removals[index].revision);
    }
    const auto bytes = peer::packMessage(message);
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

core::Result<Changes> decode(std::string_view bytes)
{
    return peer::unpackMessage<wire::Changes, Changes>(std::as_bytes(std::span(bytes)), readChanges,
                                                       MaxWordsRead);
}

} // namespace damaskgate::mirror
