#include <array>
#include <istream>
#include <ostream>
#include <string>

#include <openssl/rand.h>

#include "damaskgate/core/hash.h"

#include "commands.h"

namespace damaskgate::ctl {

namespace {

constexpr std::size_t KeyBytes = 32;

std::string storedHash(const std::string &key)
{
    return "sha256:" + core::toHex(core::sha256(key));
}

} // namespace

ExitCode runKeyNew(const Output &output)
{
    std::array<std::uint8_t, KeyBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        output.err << "cannot get random bytes from the system\n";
        return ExitCode::Unavailable;
    }
    const std::string key = "dg_" + core::toHex(bytes);
    output.out << "key  " << key << "\nhash " << storedHash(key) << '\n';
    return ExitCode::Ok;
}

ExitCode runKeyHash(std::istream &input, const Output &output)
{
    std::string key;
    if (!std::getline(input, key) || key.empty()) {
        output.err << "expected a key on the standard input\n";
        return ExitCode::Findings;
    }
    output.out << storedHash(key) << '\n';
    return ExitCode::Ok;
}

} // namespace damaskgate::ctl
