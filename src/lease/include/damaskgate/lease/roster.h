#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::lease {

struct RosterHost
{
    core::HostName name;
    core::DomainName domain;
};

/** The published hosts, and for each partition their order and its grantors. */
class Roster
{
public:
    static constexpr std::size_t GrantorCount = 5;
    static constexpr std::size_t PreferredHostCount =
        3; //!< hosts that serve a partition's work at first
    static constexpr std::size_t RankingLength = 16; //!< candidates kept for each partition

    /**
     * @param revision of the settings
     * @param hosts the present fleet
     * @param previous the fleet before the last change; empty after the first publication
     * @param only the one partition to place; all without it
     */
    Roster(std::uint64_t revision, std::span<const RosterHost> hosts,
           std::span<const RosterHost> previous, std::optional<PartitionId> only = {});

    /** @return the roster that @p settings publish. */
    static std::shared_ptr<const Roster> fromSettings(const settings::Settings &settings);

    const RosterId &id() const;

    /** @return the candidates for @p partition, the most preferred first. */
    const std::vector<core::HostName> &ranking(PartitionId partition) const;

    /** @return one grantor set, or two while the fleet changes; each must grant by majority. */
    const std::vector<std::vector<core::HostName>> &grantorSets(PartitionId partition) const;

private:
    struct Placement
    {
        std::vector<core::HostName> ranking;
        std::vector<std::vector<core::HostName>> grantorSets;
    };

    RosterId rosterId;
    std::vector<Placement> placements;
};

using RosterPtr = std::shared_ptr<const Roster>;

} // namespace damaskgate::lease
