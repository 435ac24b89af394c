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

/** An IP address and a port. */
struct SocketAddress
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const SocketAddress &) const = default;
};

/** Another host from which settings are requested before any are known. */
struct SeedPeer
{
    core::HostName host;
    SocketAddress address;
};

/** The settings file of one host, which is needed before the settings tree can be read. */
struct HostSettings
{
    core::HostName name;
    core::DomainName domain;
    std::string address; //!< IP address
    std::uint16_t callerPort = 0; //!< HTTP, for callers
    std::uint16_t peerPort = 0; //!< UDP datagrams and TCP RPC, for other hosts
    std::uint16_t operatorPort = 0; //!< HTTP, for metrics and status
    std::vector<SocketAddress> platform; //!< addresses of the replicas, tried in this order
    std::string fleetSecret; //!< authenticates messages between hosts
    std::vector<SeedPeer> seedPeers;
    std::string logLevel = "info";
};

/**
 * Parses the settings of one host.
 *
 * @param text JSON
 * @param file path for the findings; a relative `fleetSecretFile` is resolved against its directory
 * @return the settings, or all findings
 */
tl::expected<HostSettings, Findings> parseHostSettings(std::string_view text,
                                                       const std::filesystem::path &file);

/** Reads and parses @p file; see parseHostSettings(). */
tl::expected<HostSettings, Findings> loadHostSettings(const std::filesystem::path &file);

} // namespace damaskgate::settings
