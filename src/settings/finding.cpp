#include "damaskgate/settings/finding.h"

namespace damaskgate::settings {

std::string toLine(const Finding &finding)
{
    const std::string path = finding.path.empty() ? std::string() : finding.path + ": ";
    return finding.file + ": " + path + finding.message;
}

std::string toText(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += toLine(finding);
        text += '\n';
    }
    return text;
}

} // namespace damaskgate::settings
