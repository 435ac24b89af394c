#pragma once

#include <string>
#include <string_view>

#include <capnp/blob.h>

namespace damaskgate::relay {

/** @return the bytes of @p text, without a copy. */
inline capnp::Data::Reader toData(std::string_view text)
{
    return { reinterpret_cast<const kj::byte *>(text.data()), text.size() };
}

/** @return a copy of @p data as text. */
inline std::string toText(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char *>(data.begin()), data.size() };
}

} // namespace damaskgate::relay
