#pragma once

#include <string_view>

namespace damaskgate::core {

/** Whether an upstream executed a request. */
enum class Verdict {
    NotRun, //!< no upstream read any byte of the request, or the upstream explicitly shed it
    MayHaveRun, //!< an upstream may have executed the request
    Ran, //!< an upstream has responded to the request
};

/**
 * @return the value of the Damaskgate-Verdict field for @p verdict: `not-run`, `may-have-run` or
 * `ran`
 */
std::string_view toText(Verdict verdict);

/**
 * Combines the verdicts of two attempts of one request.
 *
 * @return Ran if either attempt ran; otherwise MayHaveRun if either may have run; otherwise NotRun
 */
Verdict combine(Verdict first, Verdict second);

} // namespace damaskgate::core
