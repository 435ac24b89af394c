#include "commands.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/settings/hostsettings.h"
#include "damaskgate/settings/settingsbundle.h"

using namespace damaskgate;
using namespace damaskgate::ctl;
using testing::HasSubstr;

namespace fs = std::filesystem;

namespace {

const fs::path Examples = DAMASKGATE_EXAMPLES;

class CommandsFixture : public testing::Test
{
protected:
    CommandsFixture()
        : target(fs::path(testing::TempDir())
                 / testing::UnitTest::GetInstance()->current_test_info()->name())
    {
        fs::remove_all(this->target);
        fs::create_directories(this->target);
    }

    ~CommandsFixture() override
    {
        fs::remove_all(this->target);
    }

    static std::string read(const fs::path &file)
    {
        std::ifstream stream(file, std::ios::binary);
        return { std::istreambuf_iterator<char>(stream), {} };
    }

    settings::SettingsBundle readPacked() const
    {
        settings::SettingsBundle bundle;
        bundle.manifest = read(this->target / "manifest");
        for (const auto &file : fs::directory_iterator(this->target / "branch")) {
            bundle.branches[file.path().filename()] =
                std::make_shared<const std::string>(read(file.path()));
        }
        return bundle;
    }

    fs::path target;
    std::ostringstream out;
    std::ostringstream err;
    Output output { out, err };
};

using Commands_Tests = CommandsFixture;

using Examples_Hosts = testing::TestWithParam<std::string>;

} // namespace

TEST_P(Examples_Hosts, LoadHostSettings_EachHost_AgreesWithTheTree)
{
    // [GIVEN] The packed tree of an example
    const fs::path example = Examples / GetParam();
    std::ostringstream ignored;
    const fs::path target = fs::path(testing::TempDir()) / ("hosts_" + GetParam());
    ASSERT_EQ(runPack({ example / "tree", target, 1, {}, {} }, { ignored, ignored }), ExitCode::Ok);
    ASSERT_EQ(runExplain(example / "tree", "hosts/none", { ignored, ignored }), ExitCode::Findings);

    // [THEN] Each host settings file is valid, and the tree has that host with the same address
    for (const auto &file : fs::directory_iterator(example / "hosts")) {
        const auto host = settings::loadHostSettings(file.path());
        ASSERT_TRUE(host.has_value()) << settings::toText(host.error());
        std::ostringstream out;
        EXPECT_EQ(runExplain(example / "tree", "hosts/" + host->name.text(), { out, out }),
                  ExitCode::Ok);
        EXPECT_THAT(out.str(), HasSubstr("\"" + host->address + "\""));
    }
    fs::remove_all(target);
}

INSTANTIATE_TEST_SUITE_P(All, Examples_Hosts, testing::Values("dansveitur", "demo", "formais"));

TEST_F(Commands_Tests, Pack_Example_GivesABundleThatPasses)
{
    // [WHEN] A tree is packed together with a previous fleet
    const PackOptions options {
        Examples / "demo/tree", this->target, 7, {}, Examples / "demo/tree"
    };
    ASSERT_EQ(runPack(options, this->output), ExitCode::Ok) << this->err.str();

    // [THEN] A host accepts the written values
    const auto settings = settings::parseSettings(this->readPacked());
    ASSERT_TRUE(settings.has_value()) << settings::toText(settings.error());
    EXPECT_EQ((*settings)->revision.number, 7U);
    EXPECT_EQ((*settings)->previousHosts.size(), (*settings)->hosts.size());
}

TEST_F(Commands_Tests, Pack_AfterAManifest_TakesTheNextNumber)
{
    // [GIVEN] A packed revision
    ASSERT_EQ(runPack({ Examples / "demo/tree", this->target, 7, {}, {} }, this->output),
              ExitCode::Ok);

    // [THEN] The next revision is one higher, and an explicit revision that is not higher is
    // refused
    const fs::path after = this->target / "manifest";
    EXPECT_EQ(runPack({ Examples / "demo/tree", this->target, 0, after, {} }, this->output),
              ExitCode::Ok);
    EXPECT_THAT(this->out.str(), HasSubstr("revision=8"));
    EXPECT_EQ(runPack({ Examples / "demo/tree", this->target, 8, after, {} }, this->output),
              ExitCode::Findings);
}

TEST_F(Commands_Tests, Pack_PlainKey_IsRefusedAndNothingIsWritten)
{
    // [GIVEN] A tree with a key in plain text
    const fs::path tree = this->target / "tree";
    fs::copy(Examples / "demo/tree", tree, fs::copy_options::recursive);
    std::ofstream(tree / "workspaces/all.json")
        << R"({"entries":{"halls":{"rate":"1/s","burst":1,"keys":["plain"]}}})";

    // [THEN] The tree is refused with the file and path of the key
    EXPECT_EQ(runPack({ tree, this->target / "out", 1, {}, {} }, this->output), ExitCode::Findings);
    EXPECT_THAT(this->err.str(), HasSubstr("workspaces/all.json: /entries/halls/keys/0"));
    EXPECT_FALSE(fs::exists(this->target / "out"));
}

TEST_F(Commands_Tests, Check_NoDirectory_IsUnavailable)
{
    EXPECT_EQ(runCheck(this->target / "none", this->output), ExitCode::Unavailable);
}

TEST_F(Commands_Tests, Check_StrayFile_IsAFinding)
{
    fs::copy(Examples / "demo/tree", this->target, fs::copy_options::recursive);
    std::ofstream(this->target / "notes.txt") << "x";
    EXPECT_EQ(runCheck(this->target, this->output), ExitCode::Findings);
    EXPECT_THAT(this->err.str(), HasSubstr("notes.txt: expected a file named *.json"));
}

TEST_F(Commands_Tests, Diff_OneSettingChanged_IsListedAlone)
{
    fs::copy(Examples / "demo/tree", this->target, fs::copy_options::recursive);
    std::ofstream(this->target / "services/booking.json")
        << R"({"entries":{"booking":{"slots":3}}})";
    EXPECT_EQ(runDiff(Examples / "demo/tree", this->target, this->output), ExitCode::Findings);
    EXPECT_EQ(this->out.str(), "- services/booking slots = 6\n+ services/booking slots = 3\n");
    EXPECT_EQ(runDiff(this->target, this->target, this->output), ExitCode::Ok);
}

TEST_F(Commands_Tests, KeyNew_HashOfTheKey_IsThatOfKeyHash)
{
    // [GIVEN] A new key with its hash
    ASSERT_EQ(runKeyNew(this->output), ExitCode::Ok);
    std::istringstream lines(this->out.str());
    std::string label;
    std::string key;
    std::string hash;
    lines >> label >> key >> label >> hash;

    // [THEN] Hashing the key again gives the same hash
    std::ostringstream hashed;
    std::istringstream input(key + "\n");
    EXPECT_EQ(runKeyHash(input, { hashed, this->err }), ExitCode::Ok);
    EXPECT_EQ(hashed.str(), hash + "\n");
}
