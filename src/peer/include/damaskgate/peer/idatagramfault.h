#pragma once

#include "damaskgate/core/names.h"

namespace damaskgate::peer {

/** Decides in tests which datagrams are lost. */
class IDatagramFault
{
public:
    virtual ~IDatagramFault() = default;

    /** @return whether a datagram to @p to is dropped instead of sent. */
    virtual bool dropsTo(const core::HostName &to) = 0;

    /** @return whether a datagram that arrived from @p from is dropped. */
    virtual bool dropsFrom(const core::HostName &from) = 0;
};

} // namespace damaskgate::peer
