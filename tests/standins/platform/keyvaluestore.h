#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskgate::standins {

/** Key-value store whose values are read from files or set by calls; keeps an index of changes. */
class KeyValueStore
{
public:
    struct Entry
    {
        std::string value;
        std::uint64_t index = 0;
    };

    using Snapshot = std::map<std::string, Entry>;

    /** @param directory its files are the values; an empty path means no files */
    explicit KeyValueStore(std::filesystem::path directory);

    /** Reads the files that changed since the last call. @return whether any value changed. */
    bool reload();

    /** Sets @p key; overrides a file of that name until the file changes. */
    void set(const std::string &key, std::string value);

    std::optional<Entry> find(const std::string &key) const;

    /** @return the index of the last change of any key; at least 1. */
    std::uint64_t lastIndex() const;

    /** Copies the present values for findInSnapshot(). */
    void takeSnapshot();

    /** @return the entry of @p key at the time of the last takeSnapshot(). */
    std::optional<Entry> findInSnapshot(const std::string &key) const;

private:
    struct FileStamp
    {
        std::filesystem::file_time_type writtenAt;
        std::uintmax_t size = 0;

        bool operator==(const FileStamp &) const = default;
    };

    bool reloadFile(const std::filesystem::path &file);
    bool removeMissing();

    std::filesystem::path directory;
    std::map<std::string, FileStamp> stamps;
    Snapshot entries;
    Snapshot snapshot;
    std::uint64_t index = 1;
};

} // namespace damaskgate::standins
