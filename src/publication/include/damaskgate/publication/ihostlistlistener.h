#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::publication {

/** A host in the platform's host list. The list may lag behind the hosts that actually run. */
struct ListedHost
{
    enum class State {
        Live,
        Leaving,
    };

    core::HostName name;
    std::string address; //!< IP address, numeric
    core::DomainName domain;
    State state = State::Live;
    std::optional<std::uint64_t> incarnation;

    bool operator==(const ListedHost &) const = default;
};

/** Receives the platform's host list. */
class IHostListListener
{
public:
    virtual ~IHostListListener() = default;

    /** Called on the control thread after each successful read, even if the list is unchanged. */
    virtual void onHostList(const std::vector<ListedHost> &hosts) = 0;
};

} // namespace damaskgate::publication
