#include <iostream>
#include <optional>
#include <string>

#include <CLI/CLI.hpp>

#include "damaskgate/timeline/timeline.h"

#include "commands.h"

namespace {

using damaskgate::ctl::ExitCode;
using damaskgate::ctl::Output;
using damaskgate::ctl::PackOptions;

//! Time options as given on the command line, in the format of the `hlc` field of event lines.
struct TimelineTimes
{
    std::string from;
    std::string until;
};

//! Arguments of the command line and the command that they select.
struct Arguments
{
    std::string directory;
    std::string otherDirectory;
    std::string entry;
    PackOptions pack;
    damaskgate::timeline::TimelineCommand timeline;
    TimelineTimes timelineTimes;
    std::function<ExitCode(const Output &)> run;
};

void addCheck(CLI::App &app, Arguments &arguments)
{
    CLI::App *command = app.add_subcommand("check", "check a settings tree and list all findings");
    command->add_option("DIR", arguments.directory, "root of the tree")->required();
    command->callback([&arguments] {
        arguments.run = [&arguments](const Output &output) {
            return damaskgate::ctl::runCheck(arguments.directory, output);
        };
    });
}

void addExplain(CLI::App &app, Arguments &arguments)
{
    CLI::App *command =
        app.add_subcommand("explain", "show each setting of an entry and where it was set");
    command->add_option("DIR", arguments.directory, "root of the tree")->required();
    command->add_option("BRANCH", arguments.entry, "<kind>/<name>, such as services/bokun")
        ->required();
    command->callback([&arguments] {
        arguments.run = [&arguments](const Output &output) {
            return damaskgate::ctl::runExplain(arguments.directory, arguments.entry, output);
        };
    });
}

void addDiff(CLI::App &app, Arguments &arguments)
{
    CLI::App *command =
        app.add_subcommand("diff", "list the effective settings in which two trees differ");
    command->add_option("BEFORE", arguments.directory, "root of a tree")->required();
    command->add_option("AFTER", arguments.otherDirectory, "root of a tree")->required();
    command->callback([&arguments] {
        arguments.run = [&arguments](const Output &output) {
            return damaskgate::ctl::runDiff(arguments.directory, arguments.otherDirectory, output);
        };
    });
}

void addPack(CLI::App &app, Arguments &arguments)
{
    CLI::App *command = app.add_subcommand("pack", "write the values to publish from a tree");
    PackOptions &pack = arguments.pack;
    command->add_option("DIR", pack.directory, "root of the tree")->required();
    command->add_option("--out", pack.target, "directory for manifest and branch/<sha256>")
        ->required();
    CLI::Option *revision =
        command->add_option("--revision", pack.revision, "number of the revision")
            ->check(CLI::PositiveNumber);
    CLI::Option *after = command->add_option(
        "--after", pack.after, "manifest published last; its revision plus one is used");
    command->add_option("--previous", pack.previous,
                        "tree of the previous fleet, while hosts are being changed");
    command->callback([&arguments, revision, after] {
        if (revision->empty() && after->empty()) {
            throw CLI::RequiredError("--revision or --after");
        }
        arguments.run = [&arguments](const Output &output) {
            return damaskgate::ctl::runPack(arguments.pack, output);
        };
    });
}

void addKey(CLI::App &app, Arguments &arguments)
{
    CLI::App *command = app.add_subcommand("key", "create and hash keys");
    command->require_subcommand(1);
    command->add_subcommand("new", "print a new key and the hash to store for it")
        ->callback([&arguments] { arguments.run = damaskgate::ctl::runKeyNew; });
    command->add_subcommand("hash", "print the hash of a key read from the standard input")
        ->callback([&arguments] {
            arguments.run = [](const Output &output) {
                return damaskgate::ctl::runKeyHash(std::cin, output);
            };
        });
}

std::optional<damaskgate::timeline::HybridTime> parseTime(const std::string &option,
                                                          const std::string &text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    const auto time = damaskgate::timeline::parseHybridTime(text);
    if (!time) {
        throw CLI::ValidationError(option, time.error().detail);
    }
    return *time;
}

void addTimeline(CLI::App &app, Arguments &arguments)
{
    CLI::App *command = app.add_subcommand("timeline", "merge the events of several processes");
    damaskgate::timeline::TimelineCommand &timeline = arguments.timeline;
    TimelineTimes &times = arguments.timelineTimes;
    command->add_option("FILE", timeline.paths, "event logs; - is the standard input")->required();
    command->add_option("--trace", timeline.filter.trace, "only events of this trace id");
    command->add_option("--host", timeline.filter.host, "only events of this host");
    command->add_option("--event", timeline.filter.event, "only events of this name");
    command->add_option("--from", times.from, "hybrid time of the first event");
    command->add_option("--until", times.until, "hybrid time after the last event");
    command->add_flag("--page", timeline.asPage, "write an HTML page instead of text");
    command->add_option("--out", timeline.output, "file to write; the standard output if absent");
    command->callback([&arguments, &times] {
        arguments.timeline.filter.from = parseTime("--from", times.from);
        arguments.timeline.filter.until = parseTime("--until", times.until);
        arguments.run = [&arguments](const Output &output) {
            const int code = runCommand(arguments.timeline, output.out, output.err);
            return code == 0 ? ExitCode::Ok : ExitCode::Unavailable;
        };
    });
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    CLI::App app("Checks, explains and packs the settings of damaskgate");
    app.set_version_flag("--version", "damaskgate-ctl " DAMASKGATE_VERSION);
    app.require_subcommand(1);
    addCheck(app, arguments);
    addExplain(app, arguments);
    addPack(app, arguments);
    addKey(app, arguments);
    addDiff(app, arguments);
    addTimeline(app, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(arguments.run({ std::cout, std::cerr }));
}
