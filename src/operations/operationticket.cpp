#include "damaskgate/operations/operationticket.h"

#include <array>
#include <charconv>
#include <span>

#include "damaskgate/core/hash.h"

namespace damaskgate::operations {

namespace {

constexpr std::string_view SignatureContext = "damaskgate-operation-ticket-1\n";
constexpr std::size_t SignatureBytes = 16;
constexpr char Separator = '\n';
constexpr std::size_t FieldCount = 4;
using Fields = std::array<std::string_view, FieldCount>;

std::string toHex(std::string_view text)
{
    return core::toHex({ reinterpret_cast<const std::uint8_t *>(text.data()), text.size() });
}

std::optional<std::string> fromHex(std::string_view hex)
{
    if (hex.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string text;
    text.reserve(hex.size() / 2);
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        unsigned octet = 0;
        const char *end = hex.data() + i + 2;
        const auto parsed = std::from_chars(hex.data() + i, end, octet, 16);
        if (parsed.ec != std::errc {} || parsed.ptr != end) {
            return std::nullopt;
        }
        text += static_cast<char>(octet);
    }
    return text;
}

std::string sign(std::string_view payload, std::string_view secret)
{
    const core::Sha256 digest =
        core::hmacSha256(secret, std::string(SignatureContext) + std::string(payload));
    return core::toHex(std::span(digest).first(SignatureBytes));
}

bool isEqual(std::string_view first, std::string_view second)
{
    const auto bytes = [](std::string_view text) {
        return std::span(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
    };
    return core::equalInConstantTime(bytes(first), bytes(second));
}

std::optional<Fields> splitFields(std::string_view payload)
{
    Fields fields;
    for (std::size_t i = 0; i + 1 < FieldCount; ++i) {
        const auto end = payload.find(Separator);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        fields[i] = payload.substr(0, end);
        payload.remove_prefix(end + 1);
    }
    fields.back() = payload;
    return fields;
}

template <typename T>
std::optional<T> toNumber(std::string_view text)
{
    T value {};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string encodeTicket(const OperationTicket &ticket, std::string_view secret)
{
    std::string payload = ticket.host.text();
    payload += Separator;
    payload += std::to_string(ticket.incarnation);
    payload += Separator;
    payload += std::to_string(ticket.expiry.time_since_epoch().count());
    payload += Separator;
    payload += ticket.workspace.text();
    return toHex(payload) + "." + sign(payload, secret);
}

std::optional<OperationTicket> decodeTicket(std::string_view text, std::string_view secret)
{
    const auto separator = text.find('.');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    const auto payload = fromHex(text.substr(0, separator));
    if (!payload || !isEqual(sign(*payload, secret), text.substr(separator + 1))) {
        return std::nullopt;
    }
    const auto fields = splitFields(*payload);
    if (!fields) {
        return std::nullopt;
    }
    const auto incarnation = toNumber<std::uint64_t>((*fields)[1]);
    const auto expiry = toNumber<core::Duration::rep>((*fields)[2]);
    if (!incarnation || !expiry) {
        return std::nullopt;
    }
    return OperationTicket { core::HostName(std::string((*fields)[0])), *incarnation,
                             core::Instant(core::Duration(*expiry)),
                             core::WorkspaceName(std::string((*fields)[3])) };
}

} // namespace damaskgate::operations
