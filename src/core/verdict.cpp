#include "damaskgate/core/verdict.h"

namespace damaskgate::core {

std::string_view toText(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

Verdict combine(Verdict first, Verdict second)
{
    if (first == Verdict::Ran || second == Verdict::Ran) {
        return Verdict::Ran;
    }
    if (first == Verdict::MayHaveRun || second == Verdict::MayHaveRun) {
        return Verdict::MayHaveRun;
    }
    return Verdict::NotRun;
}

} // namespace damaskgate::core
