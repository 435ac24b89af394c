#include "damaskgate/settings/settingstree.h"

#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "damaskgate/settings/manifest.h"

#include "fieldrules.h"
#include "testtree.h"

using namespace damaskgate;
using namespace damaskgate::settings;
using namespace damaskgate::settings::tests;

namespace {

//! An invalid file in an otherwise valid tree, and the expected finding.
struct FaultCase
{
    std::string name;
    std::string branch;
    std::string text;
    std::string file;
    std::string path;
    std::string expected; //!< text that the message of the finding must contain
};

std::ostream &operator<<(std::ostream &stream, const FaultCase &given)
{
    return stream << given.name;
}

std::string nested(int depth)
{
    return R"({"entries":{"x":{"region":)" + std::string(depth, '[') + std::string(depth, ']')
        + "}}}";
}

std::string workspaceWith(const std::string &fields)
{
    return R"({"entries":{"halls":{"rate":"1/s","burst":1,)" + fields + "}}}";
}

std::vector<FaultCase> faultCases()
{
    const std::string key(64, 'b');
    return {
        { "WrongType", "services", R"({"entries":{"booking":{"slots":"6"}}})", "services.json",
          "/entries/booking/slots", "whole number from 1 to 65535, found \"6\"" },
        { "UnknownField", "services", R"({"entries":{"booking":{"slot":6}}})", "services.json",
          "/entries/booking/slot", "one of slots, connections" },
        { "UnknownFieldInDefaults", "hosts", R"({"defaults":{"colour":1}})", "hosts.json",
          "/defaults/colour", "one of domain, address" },
        { "MissingUnit", "services", R"({"entries":{"booking":{"rampTime":"20"}}})",
          "services.json", "/entries/booking/rampTime", "a duration with its unit" },
        { "DurationAsNumber", "services", R"({"entries":{"booking":{"rampTime":20}}})",
          "services.json", "/entries/booking/rampTime", "a duration with its unit" },
        { "DurationTooLong", "services", R"({"entries":{"booking":{"rampTime":"4000000000h"}}})",
          "services.json", "/entries/booking/rampTime", "from 0s to 1h" },
        { "RateWithoutUnit", "workspaces", R"({"entries":{"halls":{"rate":"5","burst":1}}})",
          "workspaces.json", "/entries/halls/rate", "a rate with its unit" },
        { "NegativeNumber", "services", R"({"entries":{"booking":{"slots":-1}}})", "services.json",
          "/entries/booking/slots", "whole number" },
        { "OutOfRange", "services", R"({"entries":{"booking":{"healthyFloor":1.5}}})",
          "services.json", "/entries/booking/healthyFloor", "from 0" },
        { "HugeNumber", "services", R"({"entries":{"booking":{"healthyFloor":1e999}}})",
          "services.json", "", "out of range" },
        { "Null", "services", R"({"entries":{"booking":{"slots":null}}})", "services.json",
          "/entries/booking/slots", "found null" },
        { "DuplicateKey", "services", R"({"entries":{"booking":{"slots":1,"slots":2}}})",
          "services.json", "/entries/booking/slots", "each key once" },
        { "DuplicateEntry", "services", R"({"entries":{"booking":{},"booking":{}}})",
          "services.json", "/entries/booking", "each key once" },
        { "DuplicateName", "hosts/south",
          R"({"entries":{"nor-01":{"domain":"south","address":"127.0.0.9"}}})", "hosts/south.json",
          "/entries/nor-01", "each name once in hosts, found it also in hosts/north.json" },
        { "DuplicateAddress", "hosts/south",
          R"({"entries":{"sou-01":{"domain":"south","address":"127.0.0.1"}}})", "hosts/south.json",
          "/entries/sou-01/callerPort", "no other entry has, \"nor-01\" has the same" },
        { "DuplicateEndpointAddress", "endpoints/other",
          R"({"entries":{"e2":{"service":"booking","domain":"north","address":"127.0.1.1"}}})",
          "endpoints/other.json", "/entries/e2/address", "no other entry has" },
        { "SharedKey", "workspaces",
          R"({"entries":{"halls":{"rate":"1/s","burst":1,"keys":["sha256:)" + key
              + R"("]},"schools":{"rate":"1/s","burst":1,"keys":["sha256:)" + key + R"("]}}})",
          "workspaces.json", "/entries/schools/keys", "no other entry has" },
        { "PlainKey", "workspaces", workspaceWith(R"("keys":["secret-key-in-plain-text"])"),
          "workspaces.json", "/entries/halls/keys/0", "never the key itself" },
        { "DanglingService", "endpoints/booking",
          R"({"entries":{"e":{"service":"gone","domain":"north","address":"127.0.1.1"}}})",
          "endpoints/booking.json", "/entries/e/service", "in services, found \"gone\"" },
        { "DanglingDomain", "hosts/north",
          R"({"entries":{"h":{"domain":"gone","address":"127.0.0.1"}}})", "hosts/north.json",
          "/entries/h/domain", "in domains, found \"gone\"" },
        { "DanglingWorkspace", "routes",
          R"({"entries":{"r":{"path":"/","service":"booking","workspaces":["gone"]}}})",
          "routes.json", "/entries/r/workspaces", "in workspaces, found \"gone\"" },
        { "OpenRouteWithWorkspaces", "routes",
          R"({"entries":{"r":{"path":"/","service":"booking","open":true,
              "workspaces":["halls"]}}})",
          "routes.json", "/entries/r/workspaces", "no workspaces on an open route" },
        { "SamePathTwice", "routes",
          R"({"entries":{"a":{"path":"/","service":"booking"},
              "b":{"path":"/","service":"booking"}}})",
          "routes.json", "/entries/b/path", "no other entry has" },
        { "SamePathWithSlash", "routes",
          R"({"entries":{"a":{"path":"/a","service":"booking"},
              "b":{"path":"/a/","service":"booking"}}})",
          "routes.json", "/entries/b/path", "no other entry has" },
        { "MissingField", "hosts/north", R"({"entries":{"h":{"domain":"north"}}})",
          "hosts/north.json", "/entries/h/address", "here or in a branch above, found none" },
        { "NoHosts", "hosts/north", "{}", "hosts.json", "", "at least one entry" },
        { "BadAddress", "hosts/north",
          R"({"entries":{"h":{"domain":"north","address":"localhost"}}})", "hosts/north.json",
          "/entries/h/address", "an IP address, found \"localhost\"" },
        { "BadName", "domains", R"({"entries":{"north":{},"South Hall":{}}})", "domains.json",
          "/entries/South Hall", "lower-case letters" },
        { "Truncated", "services", R"({"entries":{"booking":{"slots":6)", "services.json", "",
          "complete JSON in UTF-8, found an error in line 1" },
        { "Empty", "services", "", "services.json", "", "complete JSON" },
        { "BadUtf8", "domains", "{\"entries\":{\"north\":{\"region\":\"\xff\"}}}", "domains.json",
          "", "complete JSON in UTF-8" },
        { "DeepNesting", "domains", nested(100'000), "domains.json", "/entries/x/region",
          "nested levels" },
        { "TooLarge", "domains", std::string(MaxValueBytes + 1, ' '), "domains.json", "",
          "at most 1048576 bytes" },
        { "NotAnObject", "services", "[]", "services.json", "", "an object, found an array" },
        { "EntriesNotAnObject", "services", R"({"entries":[]})", "services.json", "/entries",
          "an object, found an array" },
        { "UnknownPart", "services", R"({"entry":{}})", "services.json", "/entry",
          "defaults or entries" },
        { "UnknownKind", "server", "{}", "server.json", "", "a file below domains" },
        { "UnknownKindInRoot", "defaults", R"({"server":{}})", "defaults.json", "/server",
          "expected domains, hosts" },
        { "PathInName", "hosts/../x", "{}", "hosts/../x.json", "", "a file below domains" },
    };
}

using SettingsTree_Faults = testing::TestWithParam<FaultCase>;

bool matches(const Finding &finding, const FaultCase &fault)
{
    return finding.file == fault.file && finding.path == fault.path
        && finding.message.find(fault.expected) != std::string::npos;
}

} // namespace

TEST_P(SettingsTree_Faults, ParseTree_Fault_IsRefusedWithItsPlace)
{
    // [GIVEN] A valid tree with one invalid file
    const FaultCase &fault = GetParam();
    TreeTexts texts = validTree();
    texts[fault.branch] = fault.text;

    // [WHEN] The tree is parsed
    const auto settings = parseTree(filesOf(texts), {});

    // [THEN] A finding names the file, the path and the expected value
    ASSERT_FALSE(settings.has_value());
    const bool isReported = std::ranges::any_of(
        settings.error(), [&](const Finding &finding) { return matches(finding, fault); });
    EXPECT_TRUE(isReported) << toText(settings.error());
}

INSTANTIATE_TEST_SUITE_P(Table, SettingsTree_Faults, testing::ValuesIn(faultCases()),
                         [](const auto &info) { return info.param.name; });

TEST(SettingsTree_Tests, ParseTree_ValidTree_AppliesInheritance)
{
    // [GIVEN] A tree whose entries override some defaults
    const TreeTexts texts = validTree();

    // [WHEN] The tree is parsed
    const auto settings = parseTree(filesOf(texts), {});

    // [THEN] Each entry has its own value, or else the value of the nearest branch above
    ASSERT_TRUE(settings.has_value()) << toText(settings.error());
    EXPECT_EQ(settings->hosts.at(core::HostName("nor-01")).callerPort, 8080);
    EXPECT_EQ(settings->hosts.at(core::HostName("nor-02")).callerPort, 8090);
    EXPECT_EQ(settings->hosts.at(core::HostName("nor-02")).domain.text(), "north");
    EXPECT_DOUBLE_EQ(settings->workspaces.at(core::WorkspaceName("halls")).ratePerSecond, 1);
    EXPECT_DOUBLE_EQ(settings->workspaces.at(core::WorkspaceName("schools")).ratePerSecond, 50);
    const Service &booking = settings->services.at(core::ServiceName("booking"));
    EXPECT_EQ(booking.slots, 2U);
    EXPECT_EQ(booking.rampTime, std::chrono::seconds(20));
    EXPECT_EQ(booking.endpoints.at(core::EndpointName("booking-01")).port, 9000);
    EXPECT_FALSE(settings->routes.at(core::RouteName("place")).isRepeatable);
    EXPECT_FALSE(settings->domains.at(core::DomainName("south")).isInService);
}

TEST(SettingsTree_Tests, ParseTree_SeveralFaults_ListsAll)
{
    // [GIVEN] Three invalid values in two files
    TreeTexts texts = validTree();
    texts["services"] = R"({"entries":{"booking":{"slots":0,"rampTime":"x"}}})";
    texts["domains"] = R"({"entries":{"north":{"inService":1}}})";

    // [WHEN] The tree is parsed
    const auto settings = parseTree(filesOf(texts), {});

    // [THEN] Each invalid value is reported once
    ASSERT_FALSE(settings.has_value());
    EXPECT_EQ(settings.error().size(), 3U) << toText(settings.error());
}

TEST(SettingsTree_Tests, ParseTree_PlainKey_IsNotRepeatedInTheFinding)
{
    // [GIVEN] A workspace with a key in plain text
    TreeTexts texts = validTree();
    texts["workspaces"] = workspaceWith(R"("keys":["secret-key-in-plain-text"])");

    // [WHEN] The tree is parsed
    const auto settings = parseTree(filesOf(texts), {});

    // [THEN] The finding does not contain the key
    ASSERT_FALSE(settings.has_value());
    EXPECT_THAT(toText(settings.error()), testing::Not(testing::HasSubstr("secret")));
}

TEST(SettingsTree_Tests, ParseTree_PreviousFleet_GivesPreviousHosts)
{
    // [GIVEN] A previous fleet of one host
    const TreeTexts texts = validTree();
    TreeTexts previous { { "defaults", texts.at("defaults") },
                         { "domains", texts.at("domains") },
                         { "hosts",
                           R"({"entries":{"old":{"domain":"north","address":"127.0.0.7"}}})" } };

    // [WHEN] The tree is parsed with the previous fleet
    const auto settings = parseTree(filesOf(texts), filesOf(previous));

    // [THEN] The previous host is kept apart from the current hosts
    ASSERT_TRUE(settings.has_value()) << toText(settings.error());
    EXPECT_EQ(settings->previousHosts.size(), 1U);
    EXPECT_FALSE(settings->hosts.contains(core::HostName("old")));
}

TEST(SettingsTree_Tests, ParseTree_FaultyPreviousFleet_IsRefused)
{
    // [GIVEN] A previous fleet whose host is in an unknown domain
    const TreeTexts texts = validTree();
    const TreeTexts previous {
        { "domains", R"({"entries":{"north":{}}})" },
        { "hosts", R"({"entries":{"old":{"domain":"gone"}}})" },
    };

    // [WHEN] The tree is parsed with the previous fleet
    const auto settings = parseTree(filesOf(texts), filesOf(previous));

    // [THEN] The file of the finding is marked as part of the previous fleet
    ASSERT_FALSE(settings.has_value());
    EXPECT_THAT(settings.error().front().file, testing::StartsWith("previous fleet, "));
}

TEST(SettingsTree_Tests, ExplainEntry_InheritedSettings_NamesTheirBranches)
{
    // [GIVEN] A host that overrides one setting
    const TreeTexts texts = validTree();

    // [WHEN] The host is explained
    const auto settings = explainEntry(filesOf(texts), "hosts/nor-02");

    // [THEN] Each setting names the file and path that set it
    ASSERT_TRUE(settings.has_value());
    using Explained = ExplainedSetting;
    EXPECT_THAT(
        *settings,
        testing::ElementsAre(
            Explained { "domain", "\"north\"", "hosts/north.json", "/defaults/domain" },
            Explained { "address", "\"127.0.0.2\"", "hosts/north.json", "/entries/nor-02/address" },
            Explained { "callerPort", "8090", "hosts/north.json", "/entries/nor-02/callerPort" },
            Explained { "peerPort", "8081", "defaults.json", "/hosts/peerPort" },
            Explained { "operatorPort", "8082", "defaults.json", "/hosts/operatorPort" },
            Explained { "inService", "true", "", "" }));
}

TEST(SettingsTree_Tests, ExplainEntry_UnknownEntry_IsAFinding)
{
    const TreeTexts texts = validTree();
    for (const char *entry : { "hosts/gone", "hosts", "gone/x", "" }) {
        EXPECT_FALSE(explainEntry(filesOf(texts), entry).has_value()) << entry;
    }
}

namespace {

//! Fields with a built-in default, either read from the rules or left at the member initialisers.
template <typename Entry>
std::string dumpFields(bool areBuiltInDefaultsApplied)
{
    Findings findings;
    const std::string file;
    Entry entry;
    for (const FieldRule<Entry> &rule : fieldRules<Entry>()) {
        if (areBuiltInDefaultsApplied && !rule.builtInDefault.empty()) {
            rule.read(FieldValue(nlohmann::json::parse(rule.builtInDefault), file, "", findings),
                      entry);
        }
    }
    EXPECT_TRUE(findings.empty()) << toText(findings);
    if constexpr (std::is_same_v<Entry, Service>) {
        return std::to_string(entry.connections) + " " + std::to_string(entry.healthyFloor) + " "
            + std::to_string(entry.queueLimit);
    } else if constexpr (std::is_same_v<Entry, Workspace>) {
        return std::to_string(entry.weight) + " " + std::to_string(entry.keyHashes.size());
    } else if constexpr (std::is_same_v<Entry, Route>) {
        return std::to_string(entry.isOpen) + std::to_string(entry.isDeferrable);
    } else if constexpr (std::is_same_v<Entry, EndpointEntry>) {
        return std::to_string(entry.endpoint.isInService);
    } else {
        return std::to_string(entry.isInService);
    }
}

} // namespace

TEST(FieldRules_Tests, BuiltIn_AllKinds_EqualTheMembers)
{
    EXPECT_EQ(dumpFields<FailureDomain>(true), dumpFields<FailureDomain>(false));
    EXPECT_EQ(dumpFields<Host>(true), dumpFields<Host>(false));
    EXPECT_EQ(dumpFields<Workspace>(true), dumpFields<Workspace>(false));
    EXPECT_EQ(dumpFields<Route>(true), dumpFields<Route>(false));
    EXPECT_EQ(dumpFields<Service>(true), dumpFields<Service>(false));
    EXPECT_EQ(dumpFields<EndpointEntry>(true), dumpFields<EndpointEntry>(false));
}
