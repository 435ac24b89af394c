#include <iostream>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/hostsettings.h"

#include "commandline.h"
#include "daemon.h"

using namespace damaskgate;

int main(int argumentCount, char **arguments)
{
    const daemon::ParsedCommandLine parsed = daemon::parseCommandLine(argumentCount, arguments);
    if (parsed.exitCode) {
        return *parsed.exitCode;
    }
    const auto host = settings::loadHostSettings(parsed.commandLine.configFile);
    if (!host) {
        std::cerr << settings::toText(host.error());
        return static_cast<int>(daemon::ExitCode::SettingsRefused);
    }
    if (parsed.commandLine.isCheckOnly) {
        return static_cast<int>(daemon::ExitCode::Ok);
    }
    daemon::Daemon process(*host, parsed.commandLine);
    return process.run();
}
