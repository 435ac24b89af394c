#pragma once

#include <optional>
#include <string>

namespace damaskgate::daemon {

/** Exit codes of damaskgate-entry. */
enum class ExitCode : int {
    Ok = 0,
    SettingsRefused = 1, //!< the settings file is invalid
    Usage = 2, //!< the command line is invalid
    Unavailable = 3, //!< an address cannot be bound
    ForcedStop = 4, //!< a second signal stopped the process before running requests had ended
};

/** Options of the command line. */
struct CommandLine
{
    std::string configFile; //!< path of the settings file of this host
    std::string logFile; //!< path of the event log; empty for standard output
    bool isCheckOnly = false;
};

/** Result of reading the command line: its options, or the code to exit with. */
struct ParsedCommandLine
{
    CommandLine commandLine;
    std::optional<int> exitCode; //!< set if the process must exit without starting the host
};

/** Parses the command line. Prints the help, the version or an error if one is due. */
ParsedCommandLine parseCommandLine(int argumentCount, const char *const *arguments);

} // namespace damaskgate::daemon
