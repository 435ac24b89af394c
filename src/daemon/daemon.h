#pragma once

#include <memory>

#include "damaskgate/settings/hostsettings.h"

#include "commandline.h"

namespace damaskgate::daemon {

/** Process of an entry host: runs its components under a supervisor and handles signals. */
class Daemon
{
public:
    Daemon(const settings::HostSettings &host, const CommandLine &commandLine);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Runs until a signal or a failure stops the process. @return the exit code of the process. */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::daemon
