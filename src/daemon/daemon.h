#pragma once

#include <memory>

#include "damaskgate/settings/hostsettings.h"

#include "commandline.h"

namespace damaskgate::daemon {

/** The whole process of an entry host: its parts under a supervisor, and its signals. */
class Daemon
{
public:
    Daemon(const settings::HostSettings &host, const CommandLine &commandLine);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Runs until it is told to stop. @return the exit code of the process. */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::daemon
