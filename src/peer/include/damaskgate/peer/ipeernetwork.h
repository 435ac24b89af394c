#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::peer {

/** Kind of a datagram's payload. Each module encodes its own kind with Cap'n Proto. */
enum class MessageKind : std::uint16_t {
    Heartbeat = 1, //!< used by module membership
    Lease = 2, //!< used by module lease
    Token = 3, //!< used by module limits
    Health = 4, //!< used by module health
    Slot = 5, //!< used by module balance
    Fleet = 6, //!< used by module fleet
};

/** An authenticated datagram from another host. */
struct Datagram
{
    core::HostName from;
    std::uint64_t incarnation = 0; //!< incarnation of the sending process
    MessageKind kind = MessageKind::Heartbeat;
    std::vector<std::byte> payload;
};

/** Sends datagrams between hosts. A datagram may be lost, duplicated, delayed or reordered. */
class IPeerNetwork
{
public:
    using Handler = std::function<void(const Datagram &)>;

    virtual ~IPeerNetwork() = default;

    /** Sends @p payload, at most 1,200 bytes, to @p to. Does nothing if the host is unknown. */
    virtual void send(const core::HostName &to, MessageKind kind,
                      std::span<const std::byte> payload) = 0;

    /** Sends the same @p payload to each of @p hosts. */
    virtual void sendToAll(std::span<const core::HostName> hosts, MessageKind kind,
                           std::span<const std::byte> payload)
    {
        for (const core::HostName &host : hosts) {
            this->send(host, kind, payload);
        }
    }

    /** Sets the one handler of @p kind. It is called on the control thread for each datagram. */
    virtual void setHandler(MessageKind kind, Handler handler) = 0;
};

} // namespace damaskgate::peer
