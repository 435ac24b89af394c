#include "damaskgate/routing/requesttarget.h"

#include <algorithm>
#include <utility>

#include "percentcoding.h"

namespace damaskgate::routing {

namespace {

constexpr std::string_view AbsolutePrefix = "http://";

bool isUnreserved(char c)
{
    const bool isAlnum = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isAlnum || c == '-' || c == '.' || c == '_' || c == '~';
}

bool isUnencodedPathCharacter(char c)
{
    constexpr std::string_view OtherCharacters = "/!$&'()*+,;=:@";
    return isUnreserved(c) || OtherCharacters.find(c) != std::string_view::npos;
}

bool isQueryCharacter(char c)
{
    return c > ' ' && c != 0x7f && c != '#' && c != '\\';
}

struct TargetParts
{
    std::string_view authority;
    std::string_view pathAndQuery;
};

core::Result<TargetParts> splitTarget(std::string_view target)
{
    if (target.starts_with('/')) {
        return TargetParts { {}, target };
    }
    const bool isAbsolute = target.size() > AbsolutePrefix.size()
        && equalsIgnoringCase(target.substr(0, AbsolutePrefix.size()), AbsolutePrefix);
    const auto authority = isAbsolute ? target.substr(AbsolutePrefix.size()) : std::string_view {};
    const auto pathStart = authority.find('/');
    if (pathStart == std::string_view::npos || pathStart == 0) {
        return core::notRun(core::Reason::BadRequest,
                            "request target is neither a path nor an http URL with a path");
    }
    if (authority.substr(0, pathStart).find_first_of("@?") != std::string_view::npos) {
        return core::notRun(core::Reason::BadRequest,
                            "authority of the request target has user information or a query");
    }
    return TargetParts { authority.substr(0, pathStart), authority.substr(pathStart) };
}

// Appends a percent-encoded octet in normalized form. Returns false if the encoding is invalid, or
// if it stands for a slash, backslash, percent sign or control character, which some upstreams may
// decode and then interpret as part of the structure of the path.
bool appendNormalizedOctet(std::string &path, std::string_view encoded)
{
    if (encoded.size() < 3 || !hexValue(encoded[1]) || !hexValue(encoded[2])) {
        return false;
    }
    const auto octet = *hexValue(encoded[1]) << 4U | *hexValue(encoded[2]);
    const char c = static_cast<char>(octet);
    if (octet < 0x20 || octet == 0x7f || c == '/' || c == '\\' || c == '%') {
        return false;
    }
    if (isUnreserved(c)) {
        path += c;
        return true;
    }
    constexpr std::string_view Digits = "0123456789ABCDEF";
    path += '%';
    path += Digits[octet >> 4U];
    path += Digits[octet & 0xfU];
    return true;
}

core::Result<std::string> normalizePath(std::string_view path)
{
    std::string normalized;
    normalized.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (isUnencodedPathCharacter(path[i])) {
            normalized += path[i];
            continue;
        }
        if (path[i] != '%' || !appendNormalizedOctet(normalized, path.substr(i, 3))) {
            return core::notRun(core::Reason::BadRequest,
                                "path has a forbidden character or percent-encoding");
        }
        i += 2;
    }
    return normalized;
}

// Path parameters (";x") are ignored here, because some upstreams strip them before they resolve
// dot segments.
bool isDotSegment(std::string_view segment)
{
    const auto name = segment.substr(0, segment.find(';'));
    return name == "." || name == "..";
}

bool hasAmbiguousSegment(std::string_view path)
{
    if (path.find("//") != std::string_view::npos) {
        return true;
    }
    for (std::size_t start = 1; start <= path.size();) {
        const auto end = std::min(path.find('/', start), path.size());
        if (isDotSegment(path.substr(start, end - start))) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

} // namespace

core::Result<RequestTarget> normalizeTarget(std::string_view target)
{
    const auto parts = splitTarget(target);
    if (!parts) {
        return tl::unexpected(parts.error());
    }
    const std::string_view pathAndQuery = parts->pathAndQuery;
    const auto queryStart = std::min(pathAndQuery.find('?'), pathAndQuery.size());
    const std::string_view sentPath = pathAndQuery.substr(0, queryStart);
    auto path = normalizePath(sentPath);
    if (!path) {
        return tl::unexpected(path.error());
    }
    if (hasAmbiguousSegment(*path)) {
        return core::notRun(core::Reason::BadRequest, "path has an empty or dot segment");
    }
    const auto query = pathAndQuery.substr(std::min(queryStart + 1, pathAndQuery.size()));
    if (!std::ranges::all_of(query, isQueryCharacter)) {
        return core::notRun(core::Reason::BadRequest, "query has a forbidden character");
    }
    return RequestTarget { std::move(*path), std::string(sentPath), std::string(query),
                           std::string(parts->authority) };
}

} // namespace damaskgate::routing
