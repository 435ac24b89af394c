#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"

#include "httptypes.h"

namespace damaskgate::entry {

/**
 * Rejects header bytes that HTTP parsers interpret in different ways: obsolete line folding, bare
 * CR or LF, control characters.
 *
 * @return nothing, or BadRequest
 */
core::Result<void> checkRawHeader(std::string_view raw);

/** Checks version, method, Host and framing fields. @return nothing, or BadRequest */
core::Result<void> checkRequestHeader(const RequestHeader &header);

/** Detects hop-by-hop fields, which must not be forwarded. */
class HopByHopFilter
{
public:
    explicit HopByHopFilter(const http::fields &fields);

    bool isDropped(const http::fields::value_type &field) const;

private:
    std::vector<std::string> connectionOptions; //!< field names listed in the Connection field
};

/** @return whether @p name begins with @p prefix, ignoring case. */
bool hasNamePrefix(std::string_view name, std::string_view prefix);

/** Appends `name: value` and CRLF. */
void appendField(std::string &head, std::string_view name, std::string_view value);

} // namespace damaskgate::entry
