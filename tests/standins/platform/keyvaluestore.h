#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace damaskgate::standins {

/** Values by key, each with the index of its last change; files below a directory, or set. */
class KeyValueStore
{
public:
    struct Entry
    {
        std::string value;
        std::uint64_t index = 0;
    };

    using Snapshot = std::map<std::string, Entry>;

    /** @param directory whose files are the values; empty: none */
    explicit KeyValueStore(std::filesystem::path directory);

    /** Reads files that changed since the last call. @return whether any value changed. */
    bool reload();

    /** Sets @p key beside the files, or above them. */
    void set(const std::string &key, std::string value);

    std::optional<Entry> find(const std::string &key) const;

    /** @return the index of the last change of any key; at least 1. */
    std::uint64_t lastIndex() const;

    /** Keeps the values as they are now, for findInSnapshot(). */
    void takeSnapshot();

    /** Looks @p key up as it was when the snapshot was taken. */
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
