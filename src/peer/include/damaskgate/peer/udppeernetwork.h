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

/** Address at which a host receives datagrams. */
struct PeerAddress
{
    core::HostName host;
    std::string address; //!< IP address, numeric
    std::uint16_t port = 0;
};

/** Identity of this process towards the other hosts. */
struct PeerIdentity
{
    core::HostName self;
    std::uint64_t incarnation = 0;
    std::string secret; //!< shared secret of the fleet, used to authenticate datagrams
};

/** Traffic counters of this process since its start. */
struct PeerTraffic
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0; //!< without IP and UDP headers
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0; //!< includes rejected datagrams
};

/**
 * IPeerNetwork over UDP. send(), sendToAll() and traffic() may be called from any thread, all other
 * functions only on the executor.
 */
class UdpPeerNetwork final : public IPeerNetwork
{
public:
    UdpPeerNetwork(const boost::asio::any_io_executor &executor, PeerIdentity identity,
                   core::IEventSink &events);
    ~UdpPeerNetwork() override;

    /**
     * Binds the socket and starts receiving.
     *
     * @param address IP address to bind
     * @param port UDP port; zero selects a free one
     * @return the bound port, or Internal when the address cannot be bound
     */
    core::Result<std::uint16_t> start(const std::string &address, std::uint16_t port);

    /** Closes the socket; no datagram is sent or received afterwards. */
    void stop();

    /** Replaces the known hosts. Entries with an invalid address are reported and skipped. */
    void setHosts(std::span<const PeerAddress> hosts);

    /** Sets the fault injection, which must outlive this object; null removes it. */
    void setFault(IDatagramFault *fault);

    /** @return the traffic counters. May be called from any thread. */
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
