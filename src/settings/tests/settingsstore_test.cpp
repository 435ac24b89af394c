#include "damaskgate/settings/settingsstore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damaskgate/settings/manifest.h"

#include "testtree.h"

using namespace damaskgate;
using namespace damaskgate::settings;
using namespace damaskgate::settings::tests;

using Outcome = OfferResult::Outcome;

namespace {

BundlePtr truncated(const BundlePtr &complete)
{
    auto bundle = std::make_shared<SettingsBundle>(*complete);
    bundle->manifest.resize(bundle->manifest.size() / 2);
    return bundle;
}

BundlePtr withoutOneBranch(const BundlePtr &complete)
{
    auto bundle = std::make_shared<SettingsBundle>(*complete);
    bundle->branches.erase(bundle->branches.begin());
    return bundle;
}

//! The changed branch is still valid JSON, so that only the check of its hash fails.
BundlePtr withDamagedBranch(const BundlePtr &complete)
{
    auto bundle = std::make_shared<SettingsBundle>(*complete);
    BranchText &text = bundle->branches.begin()->second;
    text = std::make_shared<const std::string>(*text + " ");
    return bundle;
}

TreeTexts treeVariant(const std::string &region)
{
    TreeTexts texts = validTree();
    texts["domains"] = R"({"entries":{"north":{"region":")" + region + R"("},"south":{}}})";
    return texts;
}

TreeTexts faultyTree()
{
    TreeTexts texts = validTree();
    texts["services"] = R"({"entries":{"booking":{"slots":0}}})";
    return texts;
}

} // namespace

TEST(SettingsStore_Tests, Offer_ValidBundle_IsInForceForListeners)
{
    // [GIVEN] A store with a listener
    core::NullEventSink events;
    SettingsStore store(events);
    SettingsPtr notified;
    store.addListener([&](const SettingsPtr &settings) { notified = settings; });

    // [WHEN] A valid bundle is offered
    const auto result = store.offer(bundleOf(1, validTree()), "test");

    // [THEN] The bundle is in force and the listener was called
    EXPECT_EQ(result.outcome, Outcome::Accepted);
    ASSERT_NE(store.current(), nullptr);
    EXPECT_EQ(notified, store.current());
    EXPECT_EQ(notified->revision.number, 1U);
}

TEST(SettingsStore_Tests, Offer_FaultyBundles_LastGoodStaysInForce)
{
    // [GIVEN] A revision in force
    core::NullEventSink events;
    SettingsStore store(events);
    store.offer(bundleOf(1, validTree()), "test");
    const SettingsPtr inForce = store.current();
    const BundlePtr next = bundleOf(2, treeVariant("x"));

    // [WHEN] Invalid bundles with a higher revision are offered
    for (const BundlePtr &faulty : { truncated(next), withoutOneBranch(next),
                                     withDamagedBranch(next), bundleOf(2, faultyTree()) }) {
        const auto result = store.offer(faulty, "test");

        // [THEN] Each bundle is refused with findings, and the settings in force stay
        EXPECT_EQ(result.outcome, Outcome::Refused);
        EXPECT_FALSE(result.findings.empty());
        EXPECT_EQ(store.current(), inForce);
    }

    // [THEN] The complete bundle of the same revision is accepted afterwards
    EXPECT_EQ(store.offer(next, "test").outcome, Outcome::Accepted);
}

namespace {

//! Published bundles: two valid ones for each of the revisions 1 to 4, and an invalid revision 5.
std::vector<BundlePtr> publishedBundles()
{
    std::vector<BundlePtr> bundles;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        bundles.push_back(bundleOf(number, treeVariant("one")));
        bundles.push_back(bundleOf(number, treeVariant("two")));
    }
    bundles.push_back(bundleOf(5, faultyTree()));
    return bundles;
}

struct Fault
{
    BundlePtr (*apply)(const BundlePtr &);
};

BundlePtr unchanged(const BundlePtr &bundle)
{
    return bundle;
}

Revision revisionOf(const BundlePtr &bundle)
{
    return parseManifest(bundle->manifest)->revision;
}

} // namespace

RC_GTEST_PROP(SettingsStore_Properties, Offer_LossRepeatsReorderFaults_NeverRevertsAndConverges, ())
{
    static const std::vector<BundlePtr> published = publishedBundles();
    static constexpr std::array Faults { Fault { unchanged }, Fault { truncated },
                                         Fault { withoutOneBranch }, Fault { withDamagedBranch } };
    constexpr std::size_t HostCount = 3;
    core::NullEventSink events;
    std::vector<std::unique_ptr<SettingsStore>> hosts;
    for (std::size_t i = 0; i < HostCount; ++i) {
        hosts.push_back(std::make_unique<SettingsStore>(events));
    }
    std::optional<Revision> highestAccepted;

    // [WHEN] Hosts are offered bundles of the platform and of each other, some of them damaged
    const auto steps = *rc::gen::inRange(0, 12);
    for (int step = 0; step < steps; ++step) {
        SettingsStore &target = *hosts[*rc::gen::inRange<std::size_t>(0, HostCount)];
        const auto source = *rc::gen::inRange<std::size_t>(0, HostCount + published.size());
        const BundlePtr offered =
            source < HostCount ? hosts[source]->bundle() : published[source - HostCount];
        if (!offered) {
            continue;
        }
        const Fault fault = Faults[*rc::gen::inRange<std::size_t>(0, Faults.size())];
        const SettingsPtr before = target.current();
        const auto result = target.offer(fault.apply(offered), "test");

        // [THEN] No host goes back to a lower revision, and only valid complete bundles are
        // accepted
        const SettingsPtr after = target.current();
        RC_ASSERT((!before || after->revision >= before->revision));
        const bool isValidRevision = result.outcome != Outcome::Accepted
            || (after->revision == revisionOf(offered) && after->revision.number < 5);
        RC_ASSERT(isValidRevision);
        if (after) {
            highestAccepted = std::max(highestAccepted, std::optional(after->revision));
        }
    }

    // [THEN] Once all hosts have exchanged their bundles, all have the highest accepted revision
    for (const auto &from : hosts) {
        for (const auto &to : hosts) {
            if (from->bundle()) {
                to->offer(from->bundle(), "test");
            }
        }
    }
    for (const auto &host : hosts) {
        const SettingsPtr last = host->current();
        RC_ASSERT(((last ? std::optional(last->revision) : std::nullopt) == highestAccepted));
    }
}

namespace {

struct ManifestCase
{
    std::string name;
    std::string text;
    std::string path;
};

std::ostream &operator<<(std::ostream &stream, const ManifestCase &given)
{
    return stream << given.name;
}

const std::vector<ManifestCase> ManifestCases {
    { "Empty", "", "" },
    { "Truncated", R"({"format":1,"revision":1)", "" },
    { "NotAnObject", "3", "" },
    { "UnknownFormat", R"({"format":2,"revision":1,"branches":{}})", "/format" },
    { "NoRevision", R"({"format":1,"branches":{}})", "/revision" },
    { "RevisionZero", R"({"format":1,"revision":0,"branches":{}})", "/revision" },
    { "RevisionTooLarge", R"({"format":1,"revision":9007199254740992,"branches":{}})",
      "/revision" },
    { "RevisionAsText", R"({"format":1,"revision":"1","branches":{}})", "/revision" },
    { "BranchesAsList", R"({"format":1,"revision":1,"branches":[]})", "/branches" },
    { "BadHash", R"({"format":1,"revision":1,"branches":{"a":"ff"}})", "/branches/a" },
    { "DuplicateBranch", R"({"format":1,"revision":1,"branches":{"a":"","a":""}})", "/branches/a" },
    { "UnknownField", R"({"format":1,"revision":1,"branches":{},"note":1})", "/note" },
};

using Manifest_Faults = testing::TestWithParam<ManifestCase>;

} // namespace

TEST_P(Manifest_Faults, ParseManifest_Fault_IsRefusedWithItsPath)
{
    const auto manifest = parseManifest(GetParam().text);
    ASSERT_FALSE(manifest.has_value());
    EXPECT_EQ(manifest.error().front().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(Table, Manifest_Faults, testing::ValuesIn(ManifestCases),
                         [](const auto &info) { return info.param.name; });
