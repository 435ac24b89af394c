#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstypes.h"

#include "fieldrules.h"
#include "kindreader.h"

namespace damaskgate::settings {

/** The entries of a whole tree, each with its place. */
struct PlacedTree
{
    std::vector<PlacedEntry<FailureDomain>> domains;
    std::vector<PlacedEntry<Host>> hosts;
    std::vector<PlacedEntry<Workspace>> workspaces;
    std::vector<PlacedEntry<Route>> routes;
    std::vector<PlacedEntry<Service>> services;
    std::vector<PlacedEntry<EndpointEntry>> endpoints;
};

/** Reports dangling references and values that must differ between entries but do not. */
void checkReferences(const PlacedTree &tree, Findings &findings);

/** The same for the domains and hosts alone. */
void checkFleetReferences(const PlacedTree &tree, Findings &findings);

} // namespace damaskgate::settings
