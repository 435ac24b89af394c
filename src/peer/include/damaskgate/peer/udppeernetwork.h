#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "damaskgate/core/error.h"
#include "damaskgate/core/event.h"
#include "damaskgate/core/names.h"

#include "damaskgate/peer/ipeernetwork.h"

namespace damaskgate::peer {

class IDatagramFault;

/** Where a host receives datagrams. */
struct PeerAddress
{
    core::HostName host;
    std::string address; //!< IP number
    std::uint16_t port = 0;
};

/** Who this process is among the hosts. */
struct PeerIdentity
{
    core::HostName self;
    std::uint64_t incarnation = 0;
    std::string secret; //!< of the fleet
};

/** Datagrams of one process since its start. */
struct PeerTraffic
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0; //!< without the headers of IP and UDP
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0; //!< also of datagrams that were rejected
};

/** IPeerNetwork over UDP. send() may be called from any thread, the rest from the executor. */
class UdpPeerNetwork final : public IPeerNetwork
{
public:
    UdpPeerNetwork(const boost::asio::any_io_executor &executor, PeerIdentity identity,
                   core::IEventSink &events);
    ~UdpPeerNetwork() override;

    /**
     * Binds the socket and begins to receive.
     *
     * @param address IP number to bind
     * @param port UDP port; zero takes a free one
     * @return the bound port; Internal when the address cannot be bound
     */
    core::Result<std::uint16_t> start(const std::string &address, std::uint16_t port);

    /** Closes the socket; nothing is sent or received any more. */
    void stop();

    /** Replaces the known hosts; an entry with an invalid address is reported and left out. */
    void setHosts(std::span<const PeerAddress> hosts);

    /** Installs @p fault, which outlives this; null removes it. */
    void setFault(IDatagramFault *fault);

    /** @return what was sent and received. Safe to call from any thread. */
    PeerTraffic traffic() const;

    void send(const core::HostName &to, MessageKind kind,
              std::span<const std::byte> payload) override;
    void sendToAll(std::span<const core::HostName> hosts, MessageKind kind,
                   std::span<const std::byte> payload) override;
    void setHandler(MessageKind kind, Handler handler) override;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace damaskgate::peer
