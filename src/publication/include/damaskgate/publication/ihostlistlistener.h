#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::publication {

/** A host on the platform's list. The list lags behind what really runs. */
struct ListedHost
{
    enum class State {
        Live,
        Leaving,
    };

    core::HostName name;
    std::string address; //!< IP number
    core::DomainName domain;
    State state = State::Live;
    std::optional<std::uint64_t> incarnation;

    bool operator==(const ListedHost &) const = default;
};

/** Receives the platform's list of hosts. */
class IHostListListener
{
public:
    virtual ~IHostListListener() = default;

    /** Called on the control thread with each list that was read, also when it is unchanged. */
    virtual void onHostList(const std::vector<ListedHost> &hosts) = 0;
};

} // namespace damaskgate::publication
