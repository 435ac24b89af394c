#pragma once

#include "damaskgate/core/names.h"

namespace damaskgate::peer {

/** Fault injection for tests: selects the datagrams to drop. */
class IDatagramFault
{
public:
    virtual ~IDatagramFault() = default;

    /** @return whether to drop a datagram to @p to instead of sending it. */
    virtual bool dropsTo(const core::HostName &to) = 0;

    /** @return whether to drop a received datagram from @p from. */
    virtual bool dropsFrom(const core::HostName &from) = 0;
};

} // namespace damaskgate::peer
