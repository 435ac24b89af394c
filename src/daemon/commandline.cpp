#include "commandline.h"

#include <CLI/CLI.hpp>

namespace damaskgate::daemon {

ParsedCommandLine parseCommandLine(int argumentCount, const char *const *arguments)
{
    ParsedCommandLine parsed;
    CLI::App app("Entry host of the damaskgate proxy fleet.", "damaskgate-entry");
    app.set_version_flag("--version", std::string("damaskgate-entry ") + DAMASKGATE_VERSION);
    app.add_option("--config", parsed.commandLine.configFile, "settings file of this host (JSON)")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--log", parsed.commandLine.logFile,
                   "file for the event log; standard output if absent");
    app.add_flag("--check", parsed.commandLine.isCheckOnly, "check the settings file and exit");
    app.footer(
        "Exit codes: 0 stopped gracefully or settings are valid, 1 settings refused, 2 usage, "
        "3 an address cannot be bound, 4 stopped by a second signal, "
        "70 a component failed too often.");
    try {
        app.parse(argumentCount, arguments);
    } catch (const CLI::ParseError &error) {
        const bool isFailure = app.exit(error) != 0;
        parsed.exitCode = static_cast<int>(isFailure ? ExitCode::Usage : ExitCode::Ok);
    }
    return parsed;
}

} // namespace damaskgate::daemon
