#include "damaskgate/peer/incarnation.h"

#include <chrono>
#include <random>

namespace damaskgate::peer {

std::uint64_t makeIncarnation()
{
    constexpr unsigned RandomBits = 12;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    std::random_device random;
    const std::uint64_t low = random() & ((1U << RandomBits) - 1U);
    return (static_cast<std::uint64_t>(micros) << RandomBits) | low;
}

} // namespace damaskgate::peer
