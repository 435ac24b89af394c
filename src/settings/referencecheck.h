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

/** All entries of a tree with their locations. */
struct LocatedTree
{
    std::vector<LocatedEntry<FailureDomain>> domains;
    std::vector<LocatedEntry<Host>> hosts;
    std::vector<LocatedEntry<Workspace>> workspaces;
    std::vector<LocatedEntry<Route>> routes;
    std::vector<LocatedEntry<Service>> services;
    std::vector<LocatedEntry<EndpointEntry>> endpoints;
};

/** Reports dangling references, and values that must be unique but occur in several entries. */
void checkReferences(const LocatedTree &tree, Findings &findings);

/** Runs the checks of checkReferences() on the failure domains and hosts alone. */
void checkFleetReferences(const LocatedTree &tree, Findings &findings);

} // namespace damaskgate::settings
