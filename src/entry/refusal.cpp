#include "refusal.h"

#include <algorithm>

#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include "fieldnames.h"
#include "headerrules.h"

namespace damaskgate::entry {

namespace {

constexpr std::chrono::milliseconds::rep MillisecondsPerSecond = 1000;
constexpr int ServerErrorStatus = 500;
constexpr int BadGatewayStatus = 502;
constexpr int UnavailableStatus = 503;
constexpr int GatewayTimeoutStatus = 504;

std::string statusLine(int status)
{
    const auto phrase = http::obsolete_reason(static_cast<http::status>(status));
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(toView(phrase)) + "\r\n";
}

void appendBody(std::string &message, std::string_view body, bool isClosing, bool isHead)
{
    appendField(message, "Content-Type", "application/json");
    appendField(message, "Cache-Control", "no-store");
    appendField(message, "Content-Length", std::to_string(body.size()));
    if (isClosing) {
        appendField(message, "Connection", "close");
    }
    message += "\r\n";
    if (!isHead) {
        message += body;
    }
}

std::string toSeconds(std::chrono::milliseconds time, bool isFractional)
{
    if (isFractional) {
        const auto seconds = std::to_string(time.count() / MillisecondsPerSecond);
        const auto fraction =
            std::to_string(MillisecondsPerSecond + time.count() % MillisecondsPerSecond);
        return seconds + "." + fraction.substr(1);
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(time).count();
    return std::to_string(std::max<std::chrono::seconds::rep>(seconds, 1));
}

} // namespace

int statusOf(const core::Error &error, const Dialect &dialect)
{
    const int status = core::httpStatus(error.reason);
    if (!dialect.isVerdictInStatus) {
        return status;
    }
    if (error.verdict == core::Verdict::NotRun) {
        return status >= ServerErrorStatus ? UnavailableStatus : status;
    }
    return status == GatewayTimeoutStatus ? status : BadGatewayStatus;
}

std::string toMessage(const Refusal &refusal, const Dialect &dialect)
{
    const nlohmann::json body { { "reason", core::toText(refusal.error.reason) },
                                { "verdict", core::toText(refusal.error.verdict) },
                                { "detail", refusal.error.detail } };
    std::string message = statusLine(refusal.status);
    appendField(message, dialect.verdictField, core::toText(refusal.error.verdict));
    appendField(message, dialect.reasonField, core::toText(refusal.error.reason));
    if (!refusal.traceId.empty()) {
        appendField(message, dialect.traceField, refusal.traceId);
    }
    if (!refusal.host.empty()) {
        appendField(message, dialect.hostField, refusal.host);
    }
    if (refusal.error.retryAfter) {
        appendField(message, "Retry-After",
                    toSeconds(*refusal.error.retryAfter, dialect.isRetryAfterFractional));
    }
    const std::string text =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    appendBody(message, text, refusal.isClosing, refusal.isHead);
    return message;
}

std::string makeJsonResponse(std::string_view body, bool isClosing, bool isHead)
{
    std::string message = statusLine(200);
    appendBody(message, body, isClosing, isHead);
    return message;
}

} // namespace damaskgate::entry
