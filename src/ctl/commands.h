#pragma once

#include <cstdint>
#include <filesystem>
#include <iosfwd>
#include <optional>
#include <string>

#include "exitcode.h"

namespace damaskgate::ctl {

/** Streams that commands write to; tests replace them. */
struct Output
{
    std::ostream &out;
    std::ostream &err;
};

/** Checks the tree in @p directory and lists all findings. */
ExitCode runCheck(const std::filesystem::path &directory, const Output &output);

/** Prints each effective setting of @p entry (`<kind>/<name>`) and the branch it came from. */
ExitCode runExplain(const std::filesystem::path &directory, const std::string &entry,
                    const Output &output);

struct PackOptions
{
    std::filesystem::path directory;
    std::filesystem::path target; //!< directory for `manifest` and `branch/<sha256>`
    std::uint64_t revision = 0; //!< zero: the revision of `after` plus one
    std::optional<std::filesystem::path> after; //!< path of the manifest published last
    std::optional<std::filesystem::path> previous; //!< tree that describes the previous fleet
};

/** Checks a tree and writes the values to publish. */
ExitCode runPack(const PackOptions &options, const Output &output);

/** Prints a new key and the hash to store for it. */
ExitCode runKeyNew(const Output &output);

/** Prints the hash to store for the key that is read from @p input. */
ExitCode runKeyHash(std::istream &input, const Output &output);

/** Lists the effective settings in which two trees differ. */
ExitCode runDiff(const std::filesystem::path &before, const std::filesystem::path &after,
                 const Output &output);

} // namespace damaskgate::ctl
