#pragma once

namespace damaskgate::ctl {

/** Exit codes of damaskgate-ctl, for scripts. */
enum class ExitCode {
    Ok = 0,
    Findings = 1, //!< the settings or the input are invalid, or two trees differ
    Usage = 2, //!< the command line is invalid
    Unavailable = 3, //!< a file or a source of random bytes cannot be used
};

} // namespace damaskgate::ctl
