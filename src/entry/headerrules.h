#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"

#include "httptypes.h"

namespace damaskgate::entry {

/**
 * Checks the bytes of a request's header for what parsers read in different ways: obsolete
 * folding, bare line ends, control characters.
 *
 * @return nothing, or BadRequest
 */
core::Result<void> checkRawHeader(std::string_view raw);

/** Checks version, method, Host and framing fields. @return nothing, or BadRequest */
core::Result<void> checkRequestHeader(const RequestHeader &header);

/** Tells which fields concern one connection only and are not passed on. */
class HopByHopFilter
{
public:
    explicit HopByHopFilter(const http::fields &fields);

    bool isDropped(const http::fields::value_type &field) const;

private:
    std::vector<std::string> connectionOptions; //!< by the Connection field
};

/** @return whether @p name begins with @p prefix, ignoring case. */
bool hasNamePrefix(std::string_view name, std::string_view prefix);

/** Appends `name: value` and a line end. */
void appendField(std::string &head, std::string_view name, std::string_view value);

} // namespace damaskgate::entry
