#pragma once

#include <filesystem>

#include <tl/expected.hpp>

#include "commands.h"
#include "treedirectory.h"

namespace damaskgate::ctl {

/**
 * Loads the tree in @p directory and checks it.
 *
 * @return the tree; or an exit code, after the findings were written to `output.err`
 */
tl::expected<TreeDirectory, ExitCode> loadChecked(const std::filesystem::path &directory,
                                                  const Output &output);

/** Loads the tree in @p directory without checking its settings. */
tl::expected<TreeDirectory, ExitCode> loadUnchecked(const std::filesystem::path &directory,
                                                    const Output &output);

} // namespace damaskgate::ctl
