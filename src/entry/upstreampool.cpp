#include "upstreampool.h"

#include <algorithm>
#include <array>
#include <utility>

#include <sys/socket.h>

namespace damaskgate::entry {

namespace {

constexpr std::chrono::seconds MaxIdleTime { 15 };
constexpr std::size_t MaxIdlePerEndpoint = 8; //!< connections

// Input on an idle connection is either its end or a response that matches no request.
bool hasNoPendingInput(UpstreamConnection &connection)
{
    std::array<char, 1> octet {};
    const auto size = ::recv(connection.socket.native_handle(), octet.data(), octet.size(),
                             MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

UpstreamConnectionPtr UpstreamPool::acquire(const asio::ip::tcp::endpoint &remote,
                                            core::Instant now, core::Duration maxIdle)
{
    const auto found = this->idle.find(remote);
    if (found == this->idle.end()) {
        return nullptr;
    }
    Idle &connections = found->second;
    while (!connections.empty() && now - connections.back()->idleSince <= maxIdle) {
        UpstreamConnectionPtr connection = std::move(connections.back());
        connections.pop_back();
        if (hasNoPendingInput(*connection)) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void UpstreamPool::release(UpstreamConnectionPtr connection, core::Instant now)
{
    Idle &connections = this->idle[connection->remote];
    if (connections.size() >= MaxIdlePerEndpoint) {
        connection->close();
        return;
    }
    connection->idleSince = now;
    connections.push_back(std::move(connection));
}

void UpstreamPool::closeIdle(core::Instant now)
{
    const auto isOld = [now](const UpstreamConnectionPtr &connection) {
        return now - connection->idleSince > MaxIdleTime;
    };
    for (auto &[remote, connections] : this->idle) {
        std::erase_if(connections, isOld);
    }
    std::erase_if(this->idle, [](const auto &item) { return item.second.empty(); });
}

void UpstreamPool::closeAll()
{
    this->idle.clear();
}

} // namespace damaskgate::entry
