#include "jsontext.h"

#include <algorithm>
#include <set>
#include <vector>

#include "damaskgate/settings/manifest.h"

namespace damaskgate::settings {

namespace {

using nlohmann::json;

//! Parser callback that reports duplicate keys and too deep nesting, which the parser accepts.
class StructureCheck
{
public:
    StructureCheck(std::string file, Findings &findings) : file(std::move(file)), findings(findings)
    {}

    bool operator()(int depth, json::parse_event_t event, const json &parsed)
    {
        if (depth > MaxJsonDepth) {
            this->reportDepth();
            return false;
        }
        switch (event) {
        case json::parse_event_t::object_start:
            this->objects.emplace_back();
            break;
        case json::parse_event_t::key:
            this->addKey(parsed.get_ref<const std::string &>());
            break;
        case json::parse_event_t::object_end:
            this->objects.pop_back();
            break;
        default:
            break;
        }
        return true;
    }

private:
    struct OpenObject
    {
        std::set<std::string> keys;
        std::string lastKey;
    };

    void addKey(const std::string &key)
    {
        OpenObject &object = this->objects.back();
        object.lastKey = key;
        if (!object.keys.insert(key).second) {
            this->findings.push_back(
                { this->file, this->currentPath(), "expected each key once, found it twice" });
        }
    }

    void reportDepth()
    {
        if (!this->isDepthReported) {
            this->findings.push_back(
                { this->file, this->currentPath(),
                  "expected at most " + std::to_string(MaxJsonDepth) + " nested levels" });
        }
        this->isDepthReported = true;
    }

    std::string currentPath() const
    {
        std::string path;
        for (const OpenObject &object : this->objects) {
            path = childPath(path, object.lastKey);
        }
        return path;
    }

    std::string file;
    Findings &findings;
    std::vector<OpenObject> objects;
    bool isDepthReported = false;
};

std::string lineOf(std::string_view text, std::size_t byte)
{
    const auto prefix = text.substr(0, std::min(byte, text.size()));
    return std::to_string(1 + std::ranges::count(prefix, '\n'));
}

} // namespace

std::optional<json> parseJson(std::string_view text, const std::string &file, Findings &findings)
{
    if (text.size() > MaxValueBytes) {
        findings.push_back({ file, "",
                             "expected at most " + std::to_string(MaxValueBytes) + " bytes, found "
                                 + std::to_string(text.size()) });
        return std::nullopt;
    }
    const std::size_t findingsBefore = findings.size();
    StructureCheck check(file, findings);
    try {
        json value = json::parse(text, std::ref(check));
        if (findings.size() != findingsBefore) {
            return std::nullopt;
        }
        return value;
    } catch (const json::parse_error &error) {
        findings.push_back({ file, "",
                             "expected complete JSON in UTF-8, found an error in line "
                                 + lineOf(text, error.byte) });
    } catch (const json::exception &error) {
        findings.push_back(
            { file, "", "expected numbers in the range of a double, found one out of range" });
    }
    return std::nullopt;
}

std::string childPath(std::string_view path, std::string_view key)
{
    std::string child(path);
    child += '/';
    for (const char c : key) {
        if (c == '~') {
            child += "~0";
        } else if (c == '/') {
            child += "~1";
        } else {
            child += c;
        }
    }
    return child;
}

std::string describeType(const json &value)
{
    if (value.is_null()) {
        return "null";
    }
    const std::string type = value.type_name();
    return (type == "object" || type == "array" ? "an " : "a ") + type;
}

} // namespace damaskgate::settings
