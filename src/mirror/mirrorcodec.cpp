#include "mirrorcodec.h"

#include <span>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "mirror.capnp.h"

namespace damaskgate::mirror {

namespace {

constexpr std::uint64_t MaxWordsRead = 8UL * 1024 * 1024; // 64 MiB

Changes read(wire::Changes::Reader reader)
{
    Changes changes;
    changes.revision = reader.getRevision();
    changes.isWhole = reader.getIsWhole();
    for (const auto item : reader.getItems()) {
        const auto value = item.getValue().asChars();
        changes.items.push_back(
            { item.getKey().cStr(), { value.begin(), value.end() }, item.getRevision() });
    }
    for (const auto removal : reader.getRemovals()) {
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
    root.setIsWhole(changes.isWhole);
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
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray().asChars();
    return { bytes.begin(), bytes.end() };
}

core::Result<Changes> decode(std::string_view bytes)
{
    try {
        kj::ArrayInputStream stream(
            { reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size() });
        capnp::ReaderOptions options;
        options.traversalLimitInWords = MaxWordsRead;
        capnp::PackedMessageReader message(stream, options);
        return read(message.getRoot<wire::Changes>());
    } catch (const kj::Exception &) {
        return core::notRun(core::Reason::BadRequest, "malformed changes of another host");
    }
}

} // namespace damaskgate::mirror
