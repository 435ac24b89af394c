#include "fleetlookup.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace damaskgate;

namespace {

std::vector<settings::Host> makeHosts(int count)
{
    std::vector<settings::Host> hosts;
    for (int index = 0; index < count; ++index) {
        settings::Host host;
        host.name = core::HostName("h" + std::to_string(index));
        hosts.push_back(host);
    }
    return hosts;
}

} // namespace

TEST(FleetLookup_Tests, RankFor_HostLeft_IsNoLongerListed)
{
    // [GIVEN] A look-up that lists some of eight hosts
    daemon::FleetLookup lookup(1);
    std::vector<settings::Host> hosts = makeHosts(8);
    lookup.setHosts(hosts);
    const core::WorkspaceName workspace("school");
    const core::HostName first = lookup.rankFor(workspace).front().host;

    // [WHEN] The first listed host leaves
    std::erase_if(hosts, [&first](const settings::Host &host) { return host.name == first; });
    lookup.setHosts(hosts);

    // [THEN] It is no longer listed
    const auto entries = lookup.rankFor(workspace);
    EXPECT_EQ(std::ranges::count(entries, first, &entry::LookupEntry::host), 0);
}

TEST(FleetLookup_Tests, RankFor_PreferredHostsKnown_AreListedFirstAndOnce)
{
    // [GIVEN] A workspace with three preferred hosts, one of them not live
    daemon::FleetLookup lookup(1);
    lookup.setHosts(makeHosts(8));
    lookup.setPreferredHostsFinder([](const core::WorkspaceName &) {
        return std::vector { core::HostName("h5"), core::HostName("gone"), core::HostName("h2") };
    });

    // [WHEN] Its callers look up hosts
    const auto entries = lookup.rankFor(core::WorkspaceName("school"));

    // [THEN] The live preferred hosts come first, and neither is listed twice
    ASSERT_EQ(entries.size(), 4U);
    EXPECT_EQ(entries[0].host, core::HostName("h5"));
    EXPECT_EQ(entries[1].host, core::HostName("h2"));
    EXPECT_EQ(std::ranges::count(entries, core::HostName("h2"), &entry::LookupEntry::host), 1);
}

TEST(FleetLookup_Tests, RankFor_OpenRoutes_SpreadsCallersOverAllHosts)
{
    // [GIVEN] A look-up over eight hosts
    daemon::FleetLookup lookup(1);
    lookup.setHosts(makeHosts(8));

    // [WHEN] Many callers without a key look up hosts
    std::set<core::HostName> first;
    for (int caller = 0; caller < 100; ++caller) {
        first.insert(lookup.rankFor(core::WorkspaceName()).front().host);
    }

    // [THEN] Each host is listed first for some of them
    EXPECT_EQ(first.size(), 8U);
}
