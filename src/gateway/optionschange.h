#pragma once

#include <string_view>
#include <vector>

#include "damaskgate/gateway/gateway.h"

namespace damaskgate::gateway {

/** What differs between the options in force and those of a changed settings file. */
struct OptionsChange
{
    GatewayOptions options; //!< the options in force with all fields that can change at run time
    std::vector<std::string_view> applied; //!< names of the fields that change
    std::vector<std::string_view> refused; //!< names of the fields that need a restart
};

/** @return the change from @p current to @p next. */
OptionsChange compareOptions(const GatewayOptions &current, const GatewayOptions &next);

} // namespace damaskgate::gateway
