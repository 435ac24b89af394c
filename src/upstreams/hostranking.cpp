#include "damaskgate/upstreams/hostranking.h"

#include <algorithm>
#include <iterator>

#include "damaskgate/core/hash.h"

namespace damaskgate::upstreams {

namespace {

// Mixes the pair with the finalizer of SplitMix64; both values are already hashes of names.
std::uint64_t scoreOf(std::uint32_t host, std::uint32_t subject)
{
    std::uint64_t mixed = (static_cast<std::uint64_t>(host) << 32U) | subject;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace

bool HostRanking::setHosts(const core::HostName &self, std::span<const core::HostName> others)
{
    if (this->self != 0 && std::ranges::equal(others, this->otherNames)) {
        return false;
    }
    this->otherNames.assign(others.begin(), others.end());
    this->self = core::nameHash(self.text());
    this->others.clear();
    std::ranges::transform(others, std::back_inserter(this->others),
                           [](const auto &name) { return core::nameHash(name.text()); });
    return true;
}

std::size_t HostRanking::size() const
{
    return this->others.size() + 1;
}

std::size_t HostRanking::rankFor(std::uint32_t subject) const
{
    const std::uint64_t own = scoreOf(this->self, subject);
    return static_cast<std::size_t>(std::ranges::count_if(
        this->others, [own, subject](std::uint32_t host) { return scoreOf(host, subject) > own; }));
}

} // namespace damaskgate::upstreams
