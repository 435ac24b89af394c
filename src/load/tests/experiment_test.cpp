#include "damaskgate/load/experiment.h"

#include <gtest/gtest.h>

using namespace damaskgate::load;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Good = R"({
  "seed": 5, "arrivals": "constant", "entries": ["127.0.0.1:80"],
  "workspaces": [{"name": "w", "key": "k", "rate_per_second": 10, "burst": 5, "callers": 2}],
  "routes": [{"name": "r", "path": "/r"}],
  "phases": [{"name": "p", "seconds": 0.5, "mix": [
      {"workspace": "w", "route": "r", "per_second": 20}]}],
  "actions": [{"at_seconds": 0.1, "address": "127.0.0.1:81", "target": "/f", "body": {"a": 1}}]
})";

std::string withReplaced(std::string_view from, std::string_view to)
{
    std::string text(Good);
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST(Experiment_Tests, Parse_GoodFile_ReadsAll)
{
    // [GIVEN] A complete experiment
    // [WHEN] It is parsed
    const auto experiment = parseExperiment(Good);

    // [THEN] All fields have the values of the file
    ASSERT_TRUE(experiment) << experiment.error().detail;
    EXPECT_FALSE(experiment->isPoisson);
    EXPECT_EQ(experiment->entries.front(), (Address { "127.0.0.1", 80 }));
    EXPECT_EQ(experiment->phases.front().length, 500ms);
    EXPECT_EQ(experiment->phases.front().mix.front().perSecond, 20);
    EXPECT_EQ(experiment->actions.front().body, R"({"a":1})");
}

TEST(Experiment_Tests, Parse_EachFault_NamesTheField)
{
    // [GIVEN] Invalid fields, and the text that the error should contain
    struct Row
    {
        const char *from;
        const char *to;
        const char *named;
    };
    const Row rows[] = {
        { "\"seed\": 5", "\"sed\": 5", "sed" },
        { "\"path\": \"/r\"", "\"path\": 1", "path" },
        { "\"workspace\": \"w\"", "\"workspace\": \"x\"", "x" },
        { "\"per_second\": 20", "\"per_second\": 0", "per_second" },
        { "constant", "sometimes", "arrivals" },
        { "127.0.0.1:81", "127.0.0.1", "127.0.0.1" },
        { "\"name\": \"p\", ", "", "name" },
    };
    for (const Row &row : rows) {
        // [WHEN] The file is parsed
        const auto experiment = parseExperiment(withReplaced(row.from, row.to));

        // [THEN] The error names the field
        ASSERT_FALSE(experiment) << row.from;
        EXPECT_NE(experiment.error().detail.find(row.named), std::string::npos)
            << experiment.error().detail;
    }
    EXPECT_FALSE(parseExperiment("{"));
}
