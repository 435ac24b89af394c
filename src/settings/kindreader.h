#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "branchdocuments.h"
#include "fieldrules.h"
#include "fieldvalue.h"
#include "jsontext.h"

namespace damaskgate::settings {

/** An entry with inherited defaults applied, and its location: file and JSON pointer. */
template <typename Entry>
struct LocatedEntry
{
    std::string name;
    std::string file;
    std::string path;
    Entry entry;
};

/** Reads all entries of one kind and applies the defaults of their branch and its parents. */
template <typename Entry>
class KindReader
{
public:
    KindReader(const BranchDocuments &documents, std::string_view kind, Findings &findings)
        : documents(documents), kind(kind), findings(findings)
    {}

    /** @return the entries of all branches without duplicate names, which are reported. */
    std::vector<LocatedEntry<Entry>> read()
    {
        this->checkDefaults(RootBranch);
        for (const std::string &branch : this->documents.branchesOf(this->kind)) {
            this->checkDefaults(branch);
            this->readBranch(branch);
        }
        return std::move(this->entries);
    }

private:
    //! An entry to which not all layers are applied yet, and a bit mask of the fields set so far.
    struct PartialEntry
    {
        Entry entry;
        std::uint32_t present = 0;
    };

    void checkDefaults(std::string_view branch)
    {
        const DefaultsLayer own = this->documents.ownDefaults(branch, this->kind);
        if (own.fields != nullptr) {
            PartialEntry ignored;
            this->apply(*own.fields, own.file, own.path, ignored, this->findings);
        }
    }

    void readBranch(const std::string &branch)
    {
        const PartialEntry inherited = this->inheritedBy(branch);
        for (const RawEntry &raw : this->documents.entriesOf(branch)) {
            if (this->checkName(raw)) {
                this->readEntry(raw, inherited);
            }
        }
    }

    PartialEntry inheritedBy(const std::string &branch)
    {
        PartialEntry inherited;
        Findings alreadyReported;
        for (const DefaultsLayer &layer : this->documents.defaultsFor(branch)) {
            this->apply(*layer.fields, layer.file, layer.path, inherited, alreadyReported);
        }
        return inherited;
    }

    void readEntry(const RawEntry &raw, const PartialEntry &inherited)
    {
        PartialEntry partial = inherited;
        this->apply(*raw.fields, raw.file, raw.path, partial, this->findings);
        this->reportMissing(raw, partial.present);
        this->entries.push_back({ raw.name, raw.file, raw.path, std::move(partial.entry) });
    }

    void apply(const nlohmann::json &fields, const std::string &file, const std::string &path,
               PartialEntry &partial, Findings &collected)
    {
        const auto rules = fieldRules<Entry>();
        for (const auto &[name, value] : fields.items()) {
            const auto rule = std::ranges::find(rules, name, &FieldRule<Entry>::name);
            if (rule == rules.end()) {
                collected.push_back(
                    { file, childPath(path, name), "expected one of " + knownFields() });
                continue;
            }
            rule->read(FieldValue(value, file, childPath(path, name), collected), partial.entry);
            partial.present |= 1U << static_cast<unsigned>(rule - rules.begin());
        }
    }

    void reportMissing(const RawEntry &raw, std::uint32_t present)
    {
        const auto rules = fieldRules<Entry>();
        for (std::size_t i = 0; i < rules.size(); ++i) {
            const bool isPresent = (present >> i & 1U) != 0;
            if (!isPresent && rules[i].builtInDefault.empty()) {
                this->findings.push_back(
                    { raw.file, childPath(raw.path, rules[i].name),
                      "expected a value here or in a branch above, found none" });
            }
        }
    }

    bool checkName(const RawEntry &raw)
    {
        if (!isValidName(raw.name)) {
            this->findings.push_back({ raw.file, raw.path,
                                       "expected a name of lower-case letters, digits, '-', '_' "
                                       "and '.'" });
            return false;
        }
        const auto [known, isNew] = this->filesByName.emplace(raw.name, raw.file);
        if (!isNew) {
            this->findings.push_back({ raw.file, raw.path,
                                       "expected each name once in " + std::string(this->kind)
                                           + ", found it also in " + known->second });
        }
        return isNew;
    }

    static std::string knownFields()
    {
        std::string names;
        for (const FieldRule<Entry> &rule : fieldRules<Entry>()) {
            names += names.empty() ? "" : ", ";
            names += rule.name;
        }
        return names;
    }

    const BranchDocuments &documents;
    std::string_view kind;
    Findings &findings;
    std::vector<LocatedEntry<Entry>> entries;
    std::map<std::string, std::string> filesByName;
};

} // namespace damaskgate::settings
