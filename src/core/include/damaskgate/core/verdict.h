#pragma once

#include <string_view>

namespace damaskgate::core {

/** Tells whether an upstream may have executed a request. */
enum class Verdict {
    NotRun, //!< no upstream has read any byte of the request, or the upstream shed it explicitly
    MayHaveRun, //!< an upstream may have executed the request
    Ran, //!< an upstream has answered the request
};

/** @return the verdict as it stands in the Damaskgate-Verdict field: `not-run`, `may-have-run`,
 * `ran`. */
std::string_view toText(Verdict verdict);

/** @return the verdict that claims less: combining NotRun with MayHaveRun yields MayHaveRun. */
Verdict combine(Verdict first, Verdict second);

} // namespace damaskgate::core
