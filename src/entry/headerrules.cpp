#include "headerrules.h"

#include <algorithm>
#include <array>

#include <boost/beast/http/rfc7230.hpp>

namespace damaskgate::entry {

namespace {

constexpr std::array HopByHopFields {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::http2_settings,
};

constexpr std::array RefusedMethods { http::verb::connect, http::verb::trace, http::verb::unknown };

bool isForbiddenOctet(char c)
{
    const auto octet = static_cast<unsigned char>(c);
    return (octet < 0x20 && c != '\t' && c != '\r' && c != '\n') || octet == 0x7f;
}

bool endsWithCrLf(std::string_view raw, std::size_t lineEnd)
{
    return lineEnd > 0 && raw[lineEnd - 1] == '\r';
}

core::Result<void> checkLineEnds(std::string_view raw)
{
    for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '\r' && (i + 1 == raw.size() || raw[i + 1] != '\n')) {
            return core::notRun(core::Reason::BadRequest, "bare CR in the header");
        }
        if (raw[i] != '\n') {
            continue;
        }
        if (!endsWithCrLf(raw, i)) {
            return core::notRun(core::Reason::BadRequest, "bare LF in the header");
        }
        if (i + 1 < raw.size() && (raw[i + 1] == ' ' || raw[i + 1] == '\t')) {
            return core::notRun(core::Reason::BadRequest, "obsolete line folding in the header");
        }
    }
    return {};
}

core::Result<void> checkFraming(const RequestHeader &header)
{
    const auto lengths = header.count(http::field::content_length);
    const auto codings = header.count(http::field::transfer_encoding);
    if (lengths > 1 || codings > 1 || lengths + codings > 1) {
        return core::notRun(core::Reason::BadRequest,
                            "conflicting Content-Length or Transfer-Encoding fields");
    }
    const auto coding = header[http::field::transfer_encoding];
    if (codings == 1 && (header.version() < 11 || !beast::iequals(coding, "chunked"))) {
        return core::notRun(core::Reason::BadRequest, "unsupported transfer coding");
    }
    return {};
}

} // namespace

core::Result<void> checkRawHeader(std::string_view raw)
{
    if (std::ranges::any_of(raw, isForbiddenOctet)) {
        return core::notRun(core::Reason::BadRequest, "control character in the header");
    }
    return checkLineEnds(raw);
}

core::Result<void> checkRequestHeader(const RequestHeader &header)
{
    if (header.version() != 11 && header.version() != 10) {
        return core::notRun(core::Reason::BadRequest, "unsupported HTTP version");
    }
    if (std::ranges::find(RefusedMethods, header.method()) != RefusedMethods.end()) {
        return core::notRun(core::Reason::BadRequest, "unsupported method");
    }
    const auto hosts = header.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && header.version() == 11)) {
        return core::notRun(core::Reason::BadRequest, "exactly one Host field is required");
    }
    return checkFraming(header);
}

HopByHopFilter::HopByHopFilter(const http::fields &fields)
{
    const auto [begin, end] = fields.equal_range(http::field::connection);
    for (auto field = begin; field != end; ++field) {
        for (const auto &token : http::token_list(field->value())) {
            this->connectionOptions.emplace_back(token.data(), token.size());
        }
    }
}

bool HopByHopFilter::isDropped(const http::fields::value_type &field) const
{
    if (std::ranges::find(HopByHopFields, field.name()) != HopByHopFields.end()) {
        return true;
    }
    return std::ranges::any_of(this->connectionOptions, [&field](const std::string &name) {
        return beast::iequals(name, field.name_string());
    });
}

bool hasNamePrefix(std::string_view name, std::string_view prefix)
{
    return name.size() >= prefix.size()
        && beast::iequals({ name.data(), prefix.size() }, { prefix.data(), prefix.size() });
}

void appendField(std::string &head, std::string_view name, std::string_view value)
{
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
}

} // namespace damaskgate::entry
