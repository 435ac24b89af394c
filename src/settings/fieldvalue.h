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

/** A JSON value in a file. Each read function validates it and reports an invalid value. */
class FieldValue
{
public:
    /** @p value, @p file and @p findings must outlive this object. */
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

    /** Reads an IPv4 or IPv6 address. */
    void readAddress(std::string &out) const;

    /**
     * Reads the path prefix of a route, without the slash at its end: in settings, a prefix covers
     * its own path, too.
     */
    void readPathPrefix(std::string &out) const;

    /** Reads a list of HTTP methods. */
    void readMethods(std::vector<std::string> &out) const;

    /**
     * Reads a list of "sha256:<64 hexadecimal digits>". The finding never quotes an invalid value,
     * since it may be a key in plain text.
     */
    void readKeyHashes(std::vector<core::Sha256> &out) const;

    /** Reads a SHA-256 hash in hexadecimal without a prefix. */
    void readHexHash(std::string &out) const;

    /** @return the elements of a list; reports a finding if the value is no list. */
    std::vector<FieldValue> elements() const;

    /** Reports a finding that names @p expected and does not quote the value. */
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

/**
 * @return whether @p text is a valid entry name: at most 64 lower-case letters, digits, `-`, `_`
 *         and `.`, the first of them a letter or a digit
 */
bool isValidName(std::string_view text);

} // namespace damaskgate::settings
