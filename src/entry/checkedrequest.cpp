#include "checkedrequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "fieldnames.h"
#include "headerrules.h"

namespace damaskgate::entry {

namespace {

constexpr std::chrono::milliseconds MaxCallerDeadline { 3600000 };
constexpr std::size_t MaxTraceSize = 64; //!< characters

// Fields that the forwarded request gets with new values or omits.
constexpr std::array ReplacedFields { http::field::host, http::field::content_length,
                                      http::field::expect };

core::Result<std::optional<std::chrono::milliseconds>> readDeadline(std::string_view text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || value <= 0) {
        return core::notRun(core::Reason::BadRequest, "the deadline is not a positive integer");
    }
    return std::min(std::chrono::milliseconds(value), MaxCallerDeadline);
}

std::string readTrace(std::string_view text, const routing::KeyFilter &keyFilter)
{
    const auto isPlain = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || c == '-';
    };
    const bool isUsable = text.size() <= MaxTraceSize && std::ranges::all_of(text, isPlain)
        && !keyFilter.containsKey(text);
    return isUsable ? std::string(text) : std::string {};
}

routing::KeyFilter findKeys(const RequestHeader &header, std::string_view query,
                            const Dialect &dialect)
{
    routing::KeyFilter filter(dialect.keyScheme);
    for (const auto &field : header) {
        filter.inspectField(toView(field.name_string()), toView(field.value()));
    }
    filter.inspectQuery(query);
    return filter;
}

core::Result<std::string> readOperationKey(const RequestHeader &header, const Dialect &dialect)
{
    if (dialect.operationKeyField.empty()) {
        return std::string {};
    }
    if (header.count(dialect.operationKeyField) > 1) {
        return core::notRun(core::Reason::OperationKeyInvalid,
                            "more than one operation key was sent");
    }
    return std::string(toView(header[dialect.operationKeyField]));
}

void appendHost(std::string &head, const RequestHeader &header, const RequestInfo &info,
                const settings::Route &route)
{
    const auto host = toView(header[http::field::host]);
    const bool isUsable = !host.empty() && !info.keyFilter.containsKey(host);
    appendField(head, "Host", isUsable ? host : std::string_view(route.service.text()));
}

std::string readHost(const RequestHeader &header, const routing::RequestTarget &target)
{
    // RFC 9112 3.2.2: the authority of an absolute-form target overrides the Host field.
    const std::string_view named =
        target.authority.empty() ? toView(header[http::field::host]) : target.authority;
    std::string host(named.substr(0, named.find(':')));
    std::ranges::transform(host, host.begin(),
                           [](char c) { return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c; });
    return host;
}

void appendTarget(std::string &head, const RequestInfo &info, const Dialect &dialect)
{
    if (dialect.isTargetForwardedVerbatim) {
        head += info.sentTarget;
        return;
    }
    head += info.target.path;
    const std::string query = info.keyFilter.filterQuery(info.target.query);
    if (!query.empty()) {
        head += "?" + query;
    }
}

} // namespace

core::Result<RequestInfo> readRequestInfo(const RequestHeader &header, const Dialect &dialect)
{
    auto target = routing::normalizeTarget(toView(header.target()));
    if (!target) {
        return tl::unexpected(target.error());
    }
    RequestInfo info;
    info.target = std::move(*target);
    info.sentTarget = toView(header.target());
    info.routedPath = dialect.isTargetForwardedVerbatim ? info.target.sentPath : info.target.path;
    info.host = readHost(header, info.target);
    info.keyFilter = findKeys(header, info.target.query, dialect);
    const auto key = info.keyFilter.key();
    if (!key) {
        return tl::unexpected(key.error());
    }
    info.key = *key;
    info.method = toView(header.method_string());
    if (info.keyFilter.containsKey(info.target.path)) {
        return core::notRun(core::Reason::BadRequest, "the path contains the key");
    }
    const auto deadline = readDeadline(toView(header[dialect.deadlineField]));
    if (!deadline) {
        return tl::unexpected(deadline.error());
    }
    info.callerDeadline = *deadline;
    auto operationKey = readOperationKey(header, dialect);
    if (!operationKey) {
        return tl::unexpected(operationKey.error());
    }
    info.operationKey = std::move(*operationKey);
    info.traceId = readTrace(toView(header[dialect.traceField]), info.keyFilter);
    info.isExpectingContinue = beast::iequals(header[http::field::expect], "100-continue");
    return info;
}

core::Result<Permission> findPermission(const RequestInfo &info, routing::RouteIndexPtr index)
{
    const auto route = index->findRoute(info.routedPath, info.method, info.host);
    if (!route) {
        return tl::unexpected(route.error());
    }
    if ((*route)->isOpen) {
        return Permission { std::move(index), *route, {}, (*route)->priority };
    }
    const auto workspace = index->findWorkspace(info.key);
    if (!workspace) {
        return tl::unexpected(workspace.error());
    }
    if (!routing::isAllowed(**route, (*workspace)->name)) {
        return core::notRun(core::Reason::RouteUnknown, "no such route for this workspace");
    }
    const std::uint32_t priority = (*workspace)->priority.value_or((*route)->priority);
    return Permission { std::move(index), *route, (*workspace)->name, priority };
}

std::string makeForwardedHead(const RequestHeader &header, const RequestInfo &info,
                              const Permission &permission, const Dialect &dialect)
{
    std::string head = info.method + " ";
    appendTarget(head, info, dialect);
    head += " HTTP/1.1\r\n";
    appendHost(head, header, info, *permission.route);
    const HopByHopFilter hopByHop(header);
    for (const auto &field : header) {
        const auto name = toView(field.name_string());
        const auto value = toView(field.value());
        const bool isReplaced =
            std::ranges::find(ReplacedFields, field.name()) != ReplacedFields.end();
        if (isReplaced || hasNamePrefix(name, dialect.ownFieldPrefix) || hopByHop.isDropped(field)
            || info.keyFilter.isFieldDropped(name, value)) {
            continue;
        }
        appendField(head, name, value);
    }
    appendField(head, "Via", ViaValue);
    if (!dialect.workspaceField.empty() && !permission.workspace.isEmpty()) {
        appendField(head, dialect.workspaceField, permission.workspace.text());
    }
    return head;
}

} // namespace damaskgate::entry
