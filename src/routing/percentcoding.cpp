#include "percentcoding.h"

#include <algorithm>

namespace damaskgate::routing {

namespace {

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

std::optional<unsigned> hexValue(char digit)
{
    const char c = toLower(digit);
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<unsigned>(c - 'a') + 10U;
    }
    return std::nullopt;
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEncoded =
            text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) && hexValue(text[i + 2]);
        if (!isEncoded) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(*hexValue(text[i + 1]) << 4U | *hexValue(text[i + 2]));
        i += 2;
    }
    return decoded;
}

bool equalsIgnoringCase(std::string_view first, std::string_view second)
{
    return std::ranges::equal(first, second, {}, toLower, toLower);
}

} // namespace damaskgate::routing
