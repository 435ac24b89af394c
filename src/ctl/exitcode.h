#pragma once

namespace damaskgate::ctl {

/** Exit codes of damaskgate-ctl, for scripts. */
enum class ExitCode {
    Ok = 0,
    Findings = 1, //!< the settings are faulty, or differ
    Usage = 2, //!< the command line is wrong
    Unavailable = 3, //!< a file or a host cannot be reached
};

} // namespace damaskgate::ctl
