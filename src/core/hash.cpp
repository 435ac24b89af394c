#include "damaskgate/core/hash.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace damaskgate::core {

Sha256 sha256(std::string_view data)
{
    Sha256 digest {};
    EVP_Digest(data.data(), data.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

Sha256 hmacSha256(std::string_view secret, std::string_view data)
{
    Sha256 digest {};
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), nullptr);
    return digest;
}

std::string toHex(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const std::uint8_t byte : bytes) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xfU];
    }
    return text;
}

std::uint64_t hash64(std::string_view data)
{
    const Sha256 digest = sha256(data);
    std::uint64_t value = 0;
    for (const std::uint8_t byte : std::span(digest).first(sizeof(value))) {
        value = (value << 8U) | byte;
    }
    return value;
}

std::uint32_t nameHash(std::string_view name)
{
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(hash64(name)), 1);
}

bool equalInConstantTime(std::span<const std::uint8_t> first, std::span<const std::uint8_t> second)
{
    return first.size() == second.size()
        && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::vector<HostName> rankHosts(std::span<const HostName> hosts, std::string_view key)
{
    using Scored = std::pair<std::uint64_t, HostName>;
    std::vector<Scored> scored;
    scored.reserve(hosts.size());
    for (const HostName &host : hosts) {
        std::string input(key);
        input += '\0';
        input += host.text();
        scored.emplace_back(hash64(input), host);
    }
    std::ranges::sort(scored, std::greater<> {});
    std::vector<HostName> ranked;
    ranked.reserve(scored.size());
    std::ranges::transform(scored, std::back_inserter(ranked), &Scored::second);
    return ranked;
}

} // namespace damaskgate::core
