#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::core {

using Sha256 = std::array<std::uint8_t, 32>;

/** @return the SHA-256 digest of @p data. */
Sha256 sha256(std::string_view data);

/** @return the HMAC-SHA-256 of @p data under @p secret. */
Sha256 hmacSha256(std::string_view secret, std::string_view data);

/** @return @p bytes in lower-case hexadecimal. */
std::string toHex(std::span<const std::uint8_t> bytes);

/** @return a 64-bit hash of @p data, equal on every machine. */
std::uint64_t hash64(std::string_view data);

/** @return a 32-bit hash that stands for @p name in messages between hosts; never zero. */
std::uint32_t nameHash(std::string_view name);

/**
 * @return whether both digests are equal. The time of the comparison depends on their size only,
 * so it does not reveal how many bytes match.
 */
bool equalInConstantTime(std::span<const std::uint8_t> first, std::span<const std::uint8_t> second);

/**
 * Orders @p hosts by rendezvous hashing for @p key. Every machine that knows the same hosts
 * computes the same order; adding or removing a host does not reorder the others.
 *
 * @param hosts candidates in any order
 * @param key identifies the item to be placed on a host
 * @return the hosts, the most preferred first
 */
std::vector<HostName> rankHosts(std::span<const HostName> hosts, std::string_view key);

} // namespace damaskgate::core
