#include "damaskgate/settings/hostsettings.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace damaskgate::settings;
using nlohmann::json;

namespace {

json validHost()
{
    return json::parse(R"({ "name": "nor-01", "domain": "north", "address": "127.0.0.1",
        "callerPort": 8080, "peerPort": 8081, "operatorPort": 8082,
        "platform": [ { "address": "127.0.0.1", "port": 8500 } ],
        "fleetSecret": "0123456789abcdef",
        "seedPeers": [ { "host": "nor-02", "address": "127.0.0.2", "port": 8081 } ],
        "logLevel": "debug" })");
}

//! A JSON merge patch that makes a valid file invalid, and the path of the expected finding.
struct HostCase
{
    std::string name;
    std::string patch;
    std::string path;
};

std::ostream &operator<<(std::ostream &stream, const HostCase &given)
{
    return stream << given.name;
}

const std::vector<HostCase> HostCases {
    { "NoName", R"({"name":null})", "/name" },
    { "BadAddress", R"({"address":"here"})", "/address" },
    { "PortZero", R"({"callerPort":0})", "/callerPort" },
    { "PortTooLarge", R"({"callerPort":65536})", "/callerPort" },
    { "SamePorts", R"({"peerPort":8080})", "" },
    { "NoPlatform", R"({"platform":[]})", "/platform" },
    { "PlatformAsText", R"({"platform":"127.0.0.1:8500"})", "/platform" },
    { "PlatformWithoutPort", R"({"platform":[{"address":"127.0.0.1"}]})", "/platform/0/port" },
    { "ShortSecret", R"({"fleetSecret":"short"})", "/fleetSecret" },
    { "NoSecret", R"({"fleetSecret":null})", "" },
    { "TwoSecrets", R"({"fleetSecretFile":"x"})", "" },
    { "MissingSecretFile", R"({"fleetSecret":null,"fleetSecretFile":"none"})", "/fleetSecretFile" },
    { "UnknownField", R"({"colour":"red"})", "/colour" },
    { "UnknownSeedField", R"({"seedPeers":[{"host":"a","address":"127.0.0.1","port":1,"x":1}]})",
      "/seedPeers/0/x" },
    { "UnknownLogLevel", R"({"logLevel":"loud"})", "/logLevel" },
};

using HostSettings_Faults = testing::TestWithParam<HostCase>;

} // namespace

TEST(HostSettings_Tests, Parse_ValidFile_GivesItsValues)
{
    const auto host = parseHostSettings(validHost().dump(), "host.json");
    ASSERT_TRUE(host.has_value()) << toText(host.error());
    EXPECT_EQ(host->name.text(), "nor-01");
    EXPECT_EQ(host->platform.front(), (SocketAddress { "127.0.0.1", 8500 }));
    EXPECT_EQ(host->seedPeers.front().host.text(), "nor-02");
    EXPECT_EQ(host->logLevel, "debug");
}

TEST_P(HostSettings_Faults, Parse_Fault_IsRefusedWithItsPath)
{
    // [GIVEN] A valid file with one change
    json host = validHost();
    host.merge_patch(json::parse(GetParam().patch));

    // [WHEN] The file is parsed
    const auto settings = parseHostSettings(host.dump(), "host.json");

    // [THEN] A finding is reported at the path of the invalid value
    ASSERT_FALSE(settings.has_value());
    const bool isReported = std::ranges::any_of(settings.error(), [](const Finding &finding) {
        return finding.file == "host.json" && finding.path == GetParam().path;
    });
    EXPECT_TRUE(isReported) << toText(settings.error());
}

INSTANTIATE_TEST_SUITE_P(Table, HostSettings_Faults, testing::ValuesIn(HostCases),
                         [](const auto &info) { return info.param.name; });
