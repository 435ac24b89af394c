#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::peer {

/** What a datagram carries; each module encodes its own kinds with Cap'n Proto. */
enum class MessageKind : std::uint16_t {
    Heartbeat = 1, //!< membership
    Lease = 2, //!< lease
    Token = 3, //!< limits
    Health = 4, //!< health
    Slot = 5, //!< balance
    Fleet = 6, //!< fleet
};

/** A datagram from another host, authenticated. */
struct Datagram
{
    core::HostName from;
    std::uint64_t incarnation = 0; //!< of the sending process
    MessageKind kind = MessageKind::Heartbeat;
    std::vector<std::byte> payload;
};

/** Sends small messages between hosts. A message may be lost, repeated, late or reordered. */
class IPeerNetwork
{
public:
    using Handler = std::function<void(const Datagram &)>;

    virtual ~IPeerNetwork() = default;

    /** Sends @p payload to @p to, at most 1,200 bytes; unknown hosts are ignored. */
    virtual void send(const core::HostName &to, MessageKind kind,
                      std::span<const std::byte> payload) = 0;

    /** Sends the same @p payload to every one of @p hosts. */
    virtual void sendToAll(std::span<const core::HostName> hosts, MessageKind kind,
                           std::span<const std::byte> payload)
    {
        for (const core::HostName &host : hosts) {
            this->send(host, kind, payload);
        }
    }

    /** Calls @p handler on the control thread for each datagram of @p kind; one for each kind. */
    virtual void setHandler(MessageKind kind, Handler handler) = 0;
};

} // namespace damaskgate::peer
