#pragma once

#include <optional>
#include <string>

namespace damaskgate::daemon {

/** Exit codes of damaskgate-entry. */
enum class ExitCode : int {
    Ok = 0,
    SettingsRefused = 1, //!< the settings file has findings
    Usage = 2,
    Unavailable = 3, //!< an address cannot be bound
    StoppedAtOnce = 4, //!< a second signal cut running work
};

/** What the command line asks for. */
struct CommandLine
{
    std::string configFile;
    std::string logFile; //!< empty: standard error
    bool isCheckOnly = false;
};

/** What to do after the command line was read: run with it, or exit. */
struct ParsedCommandLine
{
    CommandLine commandLine;
    std::optional<int> exitCode;
};

/** Reads the command line; prints help, the version or what is wrong. */
ParsedCommandLine parseCommandLine(int argumentCount, const char *const *arguments);

} // namespace damaskgate::daemon
