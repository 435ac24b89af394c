#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "damaskgate/load/experiment.h"
#include "damaskgate/load/runner.h"

using namespace damaskgate;

namespace {

constexpr char Version[] = "damaskgate-load " DAMASKGATE_VERSION;
constexpr int UsageExitCode = 2; // invalid arguments, or a file that is missing or invalid
constexpr int MismatchedResponseExitCode = 3;

struct RunArguments
{
    std::string experimentPath;
    std::string jsonPath;
    bool isDirect = false;
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream inputFile(path);
    if (!inputFile) {
        std::cerr << "cannot read " << path << '\n';
        return std::nullopt;
    }
    std::ostringstream text;
    text << inputFile.rdbuf();
    return text.str();
}

std::optional<load::Experiment> readExperiment(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return std::nullopt;
    }
    core::Result<load::Experiment> experiment = load::parseExperiment(*text);
    if (!experiment) {
        std::cerr << path << ": " << experiment.error().detail << '\n';
        return std::nullopt;
    }
    return std::move(*experiment);
}

bool hasMismatchedResponses(const nlohmann::json &report)
{
    return std::ranges::any_of(report["streams"], [](const nlohmann::json &stream) {
        return stream["wrong_answers"].get<std::uint64_t>() > 0;
    });
}

int runCommand(const RunArguments &arguments)
{
    const std::optional<load::Experiment> experiment = readExperiment(arguments.experimentPath);
    if (!experiment) {
        return UsageExitCode;
    }
    const load::RunMode mode =
        arguments.isDirect ? load::RunMode::Direct : load::RunMode::ThroughFleet;
    const nlohmann::json report = load::runExperiment(*experiment, mode).toJson();
    if (!arguments.jsonPath.empty()) {
        std::ofstream reportFile(arguments.jsonPath);
        reportFile << report.dump(2) << '\n';
        reportFile.flush();
        if (!reportFile) {
            std::cerr << "cannot write " << arguments.jsonPath << '\n';
            return UsageExitCode;
        }
    }
    std::cout << load::formatReport(report);
    return hasMismatchedResponses(report) ? MismatchedResponseExitCode : 0;
}

int compareCommand(const std::string &firstPath, const std::string &secondPath)
{
    const std::optional<std::string> first = readFile(firstPath);
    const std::optional<std::string> second = readFile(secondPath);
    if (!first || !second) {
        return UsageExitCode;
    }
    try {
        std::cout << load::formatComparison(nlohmann::json::parse(*first),
                                            nlohmann::json::parse(*second));
    } catch (const nlohmann::json::exception &error) {
        std::cerr << "not a report of a run: " << error.what() << '\n';
        return UsageExitCode;
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Sends requests at given rates and reports the results");
    app.set_version_flag("--version", Version);
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done; 2 invalid arguments or files; 3 a response was for another request");

    RunArguments arguments;
    CLI::App *run = app.add_subcommand("run", "runs an experiment file");
    run->add_option("experiment", arguments.experimentPath, "JSON file")->required();
    run->add_option("--json", arguments.jsonPath, "file to write the report to");
    run->add_flag("--direct", arguments.isDirect,
                  "send requests directly to the endpoints, not through the fleet");

    std::string first;
    std::string second;
    CLI::App *compare = app.add_subcommand("compare", "compares the reports of two runs");
    compare->add_option("first", first, "report of `run --json`")->required();
    compare->add_option("second", second, "report of `run --json`")->required();

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : UsageExitCode;
    }
    return run->parsed() ? runCommand(arguments) : compareCommand(first, second);
}
