#include "mirrorcodec.h"

#include <span>
#include <utility>

#include "damaskgate/peer/packedmessage.h"

#include "mirror.capnp.h"
#include "valuecompression.h"

namespace damaskgate::mirror {

namespace {

constexpr std::uint64_t MaxWordsRead = 8UL * 1024 * 1024; // 64 MiB in words of 8 bytes

constexpr std::size_t MaxValueBytes = 16UL * 1024 * 1024; // of a restored value

std::string_view toView(capnp::Data::Reader data)
{
    const auto chars = data.asChars();
    return { chars.begin(), chars.size() };
}

capnp::Data::Reader toData(std::string_view text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

core::Result<std::string> readValue(wire::Item::Reader item, const FindValue &findValue)
{
    if (item.getValueBytes() == 0) {
        return std::string(toView(item.getValue()));
    }
    if (item.getValueBytes() > MaxValueBytes) {
        return core::notRun(core::Reason::BadRequest, "value of another host is too large");
    }
    std::string_view base;
    if (item.getBaseRevision() != 0) {
        const auto found = findValue(item.getKey().cStr(), item.getBaseRevision());
        if (!found) {
            return core::notRun(core::Reason::BadRequest, "base of a compressed value is unknown");
        }
        base = *found;
    }
    return decompress(toView(item.getValue()), item.getValueBytes(), base);
}

void writeValue(wire::Item::Builder builder, const Item &item, const FindBase &findBase)
{
    const auto base = findBase(item);
    const std::string frame = base ? compress(item.value, base->value) : std::string();
    if (frame.empty()) {
        builder.setValue(toData(item.value));
        return;
    }
    builder.setValue(toData(frame));
    builder.setValueBytes(static_cast<std::uint32_t>(item.value.size()));
    builder.setBaseRevision(base->revision);
}

core::Result<Changes> readChanges(wire::Changes::Reader wireChanges, const FindValue &findValue)
{
    Changes changes;
    changes.revision = wireChanges.getRevision();
    changes.isSnapshot = wireChanges.getIsWhole();
    for (const auto item : wireChanges.getItems()) {
        auto value = readValue(item, findValue);
        if (!value) {
            return tl::unexpected(value.error());
        }
        changes.items.push_back({ item.getKey().cStr(), std::move(*value), item.getRevision(),
                                  item.getCreatedRevision() });
    }
    for (const auto removal : wireChanges.getRemovals()) {
        changes.removals.push_back({ removal.getKey().cStr(), removal.getRevision() });
    }
    return changes;
}

} // namespace

std::string encode(const Changes &changes, const FindBase &findBase)
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
        items[index].setCreatedRevision(item.createdRevision);
        writeValue(items[index], item, findBase);
    }
    auto removals = root.initRemovals(static_cast<unsigned>(changes.removals.size()));
    for (unsigned index = 0; index < removals.size(); ++index) {
        removals[index].setKey(changes.removals[index].key.c_str());
        removals[index].setRevision(changes.removals[index].revision);
    }
    const auto bytes = peer::packMessage(message);
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

core::Result<Changes> decode(std::string_view bytes, const FindValue &findValue)
{
    const auto read = [&findValue](wire::Changes::Reader wireChanges) {
        return readChanges(wireChanges, findValue);
    };
    return peer::unpackMessage<wire::Changes, Changes>(std::as_bytes(std::span(bytes)), read,
                                                       MaxWordsRead);
}

} // namespace damaskgate::mirror
