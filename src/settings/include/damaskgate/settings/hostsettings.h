#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "damaskgate/core/names.h"

#include "damaskgate/settings/finding.h"

namespace damaskgate::settings {

/** An IP number with a port. */
struct SocketAddress
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const SocketAddress &) const = default;
};

/** Another host to ask for settings before any are known. */
struct SeedPeer
{
    core::HostName host;
    SocketAddress address;
};

/** What a host must know before it can read the settings tree: its own settings file. */
struct HostSettings
{
    core::HostName name;
    core::DomainName domain;
    std::string address; //!< IP number
    std::uint16_t callerPort = 0; //!< HTTP, for callers
    std::uint16_t peerPort = 0; //!< UDP datagrams and TCP RPC, for other hosts
    std::uint16_t operatorPort = 0; //!< HTTP, for metrics and status
    std::vector<SocketAddress> platform; //!< replicas, tried in this order
    std::string fleetSecret; //!< authenticates the messages between hosts
    std::vector<SeedPeer> seedPeers;
    std::string logLevel = "info";
};

/**
 * Reads the settings of one host.
 *
 * @param text JSON
 * @param file name for the findings; a relative `fleetSecretFile` is looked up beside it
 */
tl::expected<HostSettings, Findings> parseHostSettings(std::string_view text,
                                                       const std::filesystem::path &file);

/** Reads @p file; see parseHostSettings(). */
tl::expected<HostSettings, Findings> loadHostSettings(const std::filesystem::path &file);

} // namespace damaskgate::settings
