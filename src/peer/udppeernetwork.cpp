#include "damaskgate/peer/udppeernetwork.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include "damaskgate/peer/envelope.h"
#include "damaskgate/peer/idatagramfault.h"

namespace damaskgate::peer {

namespace asio = boost::asio;
using asio::ip::udp;

class UdpPeerNetwork::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const asio::any_io_executor &executor, PeerIdentity identity, core::IEventSink &events)
        : identity(std::move(identity)), events(events), socket(executor)
    {}

    core::Result<std::uint16_t> start(const std::string &address, std::uint16_t port);
    void stop();
    void setHosts(std::span<const PeerAddress> hosts);
    void send(std::span<const core::HostName> hosts, MessageKind kind,
              std::span<const std::byte> payload);
    PeerTraffic traffic() const;

    void setFault(IDatagramFault *newFault)
    {
        const std::lock_guard lock(this->mutex);
        this->fault = newFault;
    }

    void setHandler(MessageKind kind, Handler handler)
    {
        this->handlers[kind] = std::move(handler);
    }

private:
    std::vector<udp::endpoint> targetsOf(std::span<const core::HostName> hosts) const;
    void receiveNext();
    void countReceived(std::size_t size);
    void onReceived(std::size_t size);
    void reportRejected(std::string_view detail);
    bool isDroppedFrom(const core::HostName &from);

    const PeerIdentity identity;
    core::IEventSink &events;
    //! Guards the socket, which is not thread-safe, and endpoints, counters and fault.
    mutable std::mutex mutex;
    udp::socket socket;
    std::unordered_map<core::HostName, udp::endpoint> endpoints;
    std::atomic<std::uint64_t> nextSequenceNumber = 0;
    PeerTraffic counters;
    IDatagramFault *fault = nullptr;
    std::map<MessageKind, Handler> handlers;
    udp::endpoint sender;
    std::array<std::byte, MaxDatagramBytes + 1> buffer {};
    std::uint64_t rejectedDatagrams = 0;
};

core::Result<std::uint16_t> UdpPeerNetwork::Impl::start(const std::string &address,
                                                        std::uint16_t port)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        return core::notRun(core::Reason::Internal, "invalid address " + address);
    }
    const udp::endpoint local(ip, port);
    this->socket.open(local.protocol(), error);
    if (!error) {
        this->socket.bind(local, error);
    }
    if (!error) {
        this->socket.non_blocking(true, error);
    }
    if (error) {
        return core::notRun(core::Reason::Internal,
                            "cannot bind " + address + ": " + error.message());
    }
    this->receiveNext();
    return this->socket.local_endpoint().port();
}

void UdpPeerNetwork::Impl::stop()
{
    const std::lock_guard lock(this->mutex);
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void UdpPeerNetwork::Impl::setHosts(std::span<const PeerAddress> hosts)
{
    std::unordered_map<core::HostName, udp::endpoint> replaced;
    for (const PeerAddress &host : hosts) {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(host.address, error);
        if (error) {
            this->events.record({ "peer-address-invalid",
                                  { { "host", host.host.text() }, { "address", host.address } } });
            continue;
        }
        replaced.emplace(host.host, udp::endpoint(ip, host.port));
    }
    const std::lock_guard lock(this->mutex);
    this->endpoints = std::move(replaced);
}

void UdpPeerNetwork::Impl::send(std::span<const core::HostName> hosts, MessageKind kind,
                                std::span<const std::byte> payload)
{
    if (payload.size() > MaxPayloadBytes) {
        this->events.record({ "peer-payload-too-large", { { "bytes", payload.size() } } });
        return;
    }
    const std::vector<udp::endpoint> targets = this->targetsOf(hosts);
    if (targets.empty()) {
        return;
    }
    const Envelope envelope { this->identity.self,
                              hosts.size() == 1 ? hosts.front() : core::HostName {},
                              this->identity.incarnation,
                              this->nextSequenceNumber++,
                              kind,
                              { payload.begin(), payload.end() } };
    const std::vector<std::byte> datagram = sealEnvelope(envelope, this->identity.secret);
    const std::lock_guard lock(this->mutex);
    this->counters.sentDatagrams += targets.size();
    this->counters.sentBytes += datagram.size() * targets.size();
    for (const udp::endpoint &target : targets) {
        //! NOTE A full socket buffer drops the datagram. Callers tolerate loss in any case.
        boost::system::error_code ignored;
        this->socket.send_to(asio::buffer(datagram.data(), datagram.size()), target, 0, ignored);
    }
}

std::vector<udp::endpoint>
UdpPeerNetwork::Impl::targetsOf(std::span<const core::HostName> hosts) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<udp::endpoint> targets;
    for (const core::HostName &host : hosts) {
        const auto found = this->endpoints.find(host);
        const bool isDropped = this->fault != nullptr && this->fault->dropsTo(host);
        if (found != this->endpoints.end() && !isDropped) {
            targets.push_back(found->second);
        }
    }
    return targets;
}

void UdpPeerNetwork::Impl::receiveNext()
{
    const std::lock_guard lock(this->mutex);
    if (!this->socket.is_open()) {
        return;
    }
    this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
                                    [self = this->shared_from_this()](
                                        const boost::system::error_code &error, std::size_t size) {
                                        if (error == asio::error::operation_aborted) {
                                            return;
                                        }
                                        if (!error) {
                                            self->countReceived(size);
                                            self->onReceived(size);
                                        }
                                        self->receiveNext();
                                    });
}

void UdpPeerNetwork::Impl::countReceived(std::size_t size)
{
    const std::lock_guard lock(this->mutex);
    ++this->counters.receivedDatagrams;
    this->counters.receivedBytes += size;
}

PeerTraffic UdpPeerNetwork::Impl::traffic() const
{
    const std::lock_guard lock(this->mutex);
    return this->counters;
}

void UdpPeerNetwork::Impl::onReceived(std::size_t size)
{
    auto envelope = openEnvelope(std::span(this->buffer).first(size), this->identity.secret,
                                 this->identity.self);
    if (!envelope) {
        this->reportRejected(envelope.error().detail);
        return;
    }
    const auto handler = this->handlers.find(envelope->kind);
    if (handler == this->handlers.end() || this->isDroppedFrom(envelope->from)) {
        return;
    }
    handler->second({ std::move(envelope->from), envelope->incarnation, envelope->kind,
                      std::move(envelope->payload) });
}

void UdpPeerNetwork::Impl::reportRejected(std::string_view detail)
{
    // Reports only counts that are powers of two, so that a flood of invalid datagrams does not
    // flood the log.
    ++this->rejectedDatagrams;
    if ((this->rejectedDatagrams & (this->rejectedDatagrams - 1)) == 0) {
        this->events.record({ "peer-datagram-rejected",
                              { { "detail", detail }, { "total", this->rejectedDatagrams } } });
    }
}

bool UdpPeerNetwork::Impl::isDroppedFrom(const core::HostName &from)
{
    const std::lock_guard lock(this->mutex);
    return this->fault != nullptr && this->fault->dropsFrom(from);
}

UdpPeerNetwork::UdpPeerNetwork(const asio::any_io_executor &executor, PeerIdentity identity,
                               core::IEventSink &events)
    : impl(std::make_shared<Impl>(executor, std::move(identity), events))
{}

UdpPeerNetwork::~UdpPeerNetwork()
{
    this->impl->stop();
}

core::Result<std::uint16_t> UdpPeerNetwork::start(const std::string &address, std::uint16_t port)
{
    return this->impl->start(address, port);
}

void UdpPeerNetwork::stop()
{
    this->impl->stop();
}

void UdpPeerNetwork::setHosts(std::span<const PeerAddress> hosts)
{
    this->impl->setHosts(hosts);
}

void UdpPeerNetwork::setFault(IDatagramFault *fault)
{
    this->impl->setFault(fault);
}

PeerTraffic UdpPeerNetwork::traffic() const
{
    return this->impl->traffic();
}

void UdpPeerNetwork::send(const core::HostName &to, MessageKind kind,
                          std::span<const std::byte> payload)
{
    this->impl->send({ &to, 1 }, kind, payload);
}

void UdpPeerNetwork::sendToAll(std::span<const core::HostName> hosts, MessageKind kind,
                               std::span<const std::byte> payload)
{
    this->impl->send(hosts, kind, payload);
}

void UdpPeerNetwork::setHandler(MessageKind kind, Handler handler)
{
    this->impl->setHandler(kind, std::move(handler));
}

} // namespace damaskgate::peer
