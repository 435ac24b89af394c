#pragma once

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "damaskgate/core/hash.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/settings/finding.h"

namespace damaskgate::settings {

/** A value found in a file. Each read function checks it, and reports what was expected. */
class FieldValue
{
public:
    /** Everything given must outlive this object. */
    FieldValue(const nlohmann::json &value, const std::string &file, std::string path,
               Findings &findings);

    template <std::unsigned_integral T>
    void readInteger(T &out, std::uint64_t lowest = 0,
                     std::uint64_t highest = std::numeric_limits<T>::max()) const
    {
        std::uint64_t number = 0;
        if (this->readUnsigned(number, lowest, highest)) {
            out = static_cast<T>(number);
        }
    }

    template <typename Tag>
    void readName(core::Name<Tag> &out) const
    {
        std::string text;
        if (this->readNameText(text)) {
            out = core::Name<Tag>(std::move(text));
        }
    }

    template <typename Tag>
    void readNames(std::vector<core::Name<Tag>> &out) const
    {
        out.clear();
        for (const FieldValue &element : this->elements()) {
            element.readName(out.emplace_back());
        }
    }

    void readBool(bool &out) const;
    void readNumber(double &out, double lowest, double highest) const;
    void readText(std::string &out) const;

    /** Reads a duration with its unit, such as "250ms", "30s", "5min" or "1h". */
    void readDuration(core::Duration &out, core::Duration lowest, core::Duration highest) const;

    /** Reads a rate with its unit, such as "50/s" or "600/min", as a number per second. */
    void readRate(double &out, double lowest, double highest) const;

    /** Reads an IP number. */
    void readAddress(std::string &out) const;

    /** Reads the path prefix of a route. */
    void readPathPrefix(std::string &out) const;

    /** Reads a list of HTTP methods. */
    void readMethods(std::vector<std::string> &out) const;

    /** Reads a list of "sha256:<64 hexadecimal digits>"; never repeats what it found instead. */
    void readKeyHashes(std::vector<core::Sha256> &out) const;

    /** Reads "sha256" in hexadecimal without a prefix. */
    void readHexHash(std::string &out) const;

    /** @return the elements of a list; reports anything else. */
    std::vector<FieldValue> elements() const;

    /** Reports that @p expected was expected; does not tell the value itself. */
    void report(const std::string &expected) const;

private:
    bool readUnsigned(std::uint64_t &out, std::uint64_t lowest, std::uint64_t highest) const;
    bool readNameText(std::string &out) const;
    const std::string *textOrReport(const std::string &expected) const;
    void reportWithValue(const std::string &expected) const;

    const nlohmann::json &value;
    const std::string &file;
    std::string path;
    Findings &findings;
};

/** @return whether @p text may name an entry: lower-case letters, digits and `-_.` inside. */
bool isValidName(std::string_view text);

} // namespace damaskgate::settings
