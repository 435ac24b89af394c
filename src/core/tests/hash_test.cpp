#include "damaskgate/core/hash.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace damaskgate::core;

TEST(Hash_Tests, Sha256_KnownInput_GivesPublishedDigest)
{
    // [GIVEN] The test vector "abc" of FIPS 180-4
    // [WHEN] It is hashed
    const std::string digest = toHex(sha256("abc"));

    // [THEN] The digest equals the published one
    EXPECT_EQ(digest, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(Hash_Tests, RankHosts_HostRemoved_KeepsOrderOfTheOthers)
{
    // [GIVEN] Hosts ranked for a key
    const std::vector<HostName> hosts { HostName("a"), HostName("b"), HostName("c"),
                                        HostName("d") };
    std::vector<HostName> ranked = rankHosts(hosts, "key");

    // [WHEN] One host is removed
    const HostName removed = ranked[1];
    std::vector<HostName> remaining = hosts;
    std::erase(remaining, removed);
    const std::vector<HostName> rankedWithoutOne = rankHosts(remaining, "key");

    // [THEN] The remaining hosts keep their order
    std::erase(ranked, removed);
    EXPECT_EQ(rankedWithoutOne, ranked);
}
