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

/** The published hosts, and for each partition the ranking of candidates and the grantors. */
class Roster
{
public:
    static constexpr std::size_t GrantorCount = 5;
    //! Number of best-ranked live hosts that may hold a partition.
    static constexpr std::size_t PreferredHostCount = 3;
    static constexpr std::size_t RankingLength = 16; //!< candidates per partition

    /**
     * @param revision revision of the settings
     * @param hosts current hosts
     * @param previous hosts before the last change; empty after the first publication
     * @param onlyPartition partition to compute; all partitions if empty
     */
    Roster(std::uint64_t revision, std::span<const RosterHost> hosts,
           std::span<const RosterHost> previous, std::optional<PartitionId> onlyPartition = {});

    /** @return the roster of the hosts in @p settings. */
    static std::shared_ptr<const Roster> fromSettings(const settings::Settings &settings);

    const RosterId &id() const;

    /** @return the candidates for @p partition, the best-ranked first. */
    const std::vector<core::HostName> &ranking(PartitionId partition) const;

    /**
     * @return the current grantor set of @p partition, followed by the previous one if it differs.
     *         A lease needs a majority of each set.
     */
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
