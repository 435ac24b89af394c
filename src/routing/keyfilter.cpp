#include "damaskgate/routing/keyfilter.h"

#include <algorithm>
#include <utility>

#include "damaskgate/core/base64.h"

#include "percentcoding.h"

namespace damaskgate::routing {

namespace {

constexpr std::string_view AuthorizationField = "Authorization";
constexpr std::string_view KeyField = "Damaskgate-Key";
constexpr std::string_view KeyParameter = "damaskgate_key";
constexpr std::string_view BasicScheme = "Basic ";
// A key may have been percent-encoded several times, so it is searched for after each pass.
constexpr int MaxDecodingPasses = 4;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view Whitespace = " \t";
    const auto start = text.find_first_not_of(Whitespace);
    if (start == std::string_view::npos) {
        return {};
    }
    return text.substr(start, text.find_last_not_of(Whitespace) - start + 1);
}

bool hasScheme(std::string_view credentials, std::string_view scheme)
{
    return credentials.size() >= scheme.size()
        && equalsIgnoringCase(credentials.substr(0, scheme.size()), scheme);
}

bool isKeyParameter(std::string_view parameter)
{
    return decodePercent(parameter.substr(0, parameter.find('='))) == KeyParameter;
}

std::string_view parameterValue(std::string_view parameter)
{
    const auto separator = parameter.find('=');
    return separator == std::string_view::npos ? std::string_view {}
                                               : parameter.substr(separator + 1);
}

template <typename Visitor>
void forEachParameter(std::string_view query, Visitor visitor)
{
    for (std::size_t start = 0; start < query.size();) {
        const auto end = std::min(query.find('&', start), query.size());
        visitor(query.substr(start, end - start));
        start = end + 1;
    }
}

} // namespace

void KeyFilter::inspectField(std::string_view name, std::string_view value)
{
    if (equalsIgnoringCase(name, KeyField)) {
        this->addKey(value);
        return;
    }
    if (equalsIgnoringCase(name, AuthorizationField) && hasScheme(value, this->scheme)) {
        this->addKey(value.substr(this->scheme.size()));
    }
}

void KeyFilter::inspectQuery(std::string_view query)
{
    forEachParameter(query, [this](std::string_view parameter) {
        if (isKeyParameter(parameter)) {
            this->addKey(decodePercent(parameterValue(parameter)));
        }
    });
}

core::Result<std::string_view> KeyFilter::key() const
{
    if (this->keys.empty()) {
        return std::string_view {};
    }
    if (this->keys.size() > 1) {
        return core::notRun(core::Reason::BadRequest, "several different keys were sent");
    }
    return std::string_view(this->keys.front());
}

bool KeyFilter::isFieldDropped(std::string_view name, std::string_view value) const
{
    if (equalsIgnoringCase(name, KeyField)) {
        return true;
    }
    const bool isAuthorization = equalsIgnoringCase(name, AuthorizationField);
    if (isAuthorization && hasScheme(value, this->scheme)) {
        return true;
    }
    if (isAuthorization && hasScheme(value, BasicScheme)
        && this->containsKey(core::decodeBase64(trim(value.substr(BasicScheme.size()))))) {
        return true;
    }
    return this->containsKey(name) || this->containsKey(value);
}

std::string KeyFilter::filterQuery(std::string_view query) const
{
    std::string kept;
    forEachParameter(query, [this, &kept](std::string_view parameter) {
        if (isKeyParameter(parameter) || this->containsKey(parameter)) {
            return;
        }
        if (!kept.empty()) {
            kept += '&';
        }
        kept += parameter;
    });
    return kept;
}

bool KeyFilter::containsKey(std::string_view text) const
{
    const auto occursIn = [](std::string_view searchedText) {
        return [searchedText](const std::string &key) {
            return searchedText.find(key) != std::string_view::npos;
        };
    };
    if (std::ranges::any_of(this->keys, occursIn(text))) {
        return true;
    }
    std::string decoded(text);
    for (int i = 0; i < MaxDecodingPasses && decoded.find('%') != std::string::npos; ++i) {
        decoded = decodePercent(decoded);
        if (std::ranges::any_of(this->keys, occursIn(decoded))) {
            return true;
        }
    }
    return false;
}

void KeyFilter::addKey(std::string_view value)
{
    const auto key = trim(value);
    if (key.empty() || std::ranges::find(this->keys, key) != this->keys.end()) {
        return;
    }
    this->keys.emplace_back(key);
}

} // namespace damaskgate::routing
