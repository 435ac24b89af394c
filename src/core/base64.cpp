#include "damaskgate/core/base64.h"

#include <algorithm>

#include <openssl/evp.h>

namespace damaskgate::core {

std::string decodeBase64(std::string_view text)
{
    const std::string_view digits = text.substr(0, text.find('='));
    std::string padded(digits);
    padded.resize((digits.size() + 3) / 4 * 4, '=');
    std::string decoded(padded.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(decoded.data()),
                                     reinterpret_cast<const unsigned char *>(padded.data()),
                                     static_cast<int>(padded.size()));
    // EVP_DecodeBlock counts the padding as decoded zero bytes.
    const auto unused = static_cast<int>(padded.size() - digits.size());
    decoded.resize(static_cast<std::size_t>(std::max(size - unused, 0)));
    return decoded;
}

} // namespace damaskgate::core
