#include "keyvaluestore.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace damaskgate::standins {

namespace {

std::optional<KeyValueStore::Entry> findIn(const KeyValueStore::Snapshot &entries,
                                           const std::string &key)
{
    const auto found = entries.find(key);
    return found == entries.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

KeyValueStore::KeyValueStore(std::filesystem::path directory) : directory(std::move(directory))
{
    this->reload();
}

bool KeyValueStore::reload()
{
    std::error_code error;
    if (this->directory.empty() || !std::filesystem::is_directory(this->directory, error)) {
        return false;
    }
    bool hasChanged = this->removeMissing();
    std::filesystem::recursive_directory_iterator files(this->directory, error);
    for (; !error && files != std::filesystem::end(files); files.increment(error)) {
        if (files->is_regular_file(error)) {
            hasChanged = this->reloadFile(files->path()) || hasChanged;
        }
    }
    return hasChanged;
}

bool KeyValueStore::removeMissing()
{
    const auto isMissing = [this](const auto &stamp) {
        return !std::filesystem::exists(this->directory / stamp.first);
    };
    std::vector<std::string> missing;
    for (const auto &stamp : this->stamps) {
        if (isMissing(stamp)) {
            missing.push_back(stamp.first);
        }
    }
    for (const std::string &key : missing) {
        this->stamps.erase(key);
        this->entries.erase(key);
        ++this->index;
    }
    return !missing.empty();
}

bool KeyValueStore::reloadFile(const std::filesystem::path &file)
{
    std::error_code error;
    const FileStamp stamp { std::filesystem::last_write_time(file, error),
                            std::filesystem::file_size(file, error) };
    const std::string key = file.lexically_relative(this->directory).generic_string();
    FileStamp &known = this->stamps[key];
    if (error || known == stamp) {
        return false;
    }
    known = stamp;
    std::ifstream stream(file, std::ios::binary);
    this->set(key, { std::istreambuf_iterator<char>(stream), {} });
    return true;
}

void KeyValueStore::set(const std::string &key, std::string value)
{
    this->entries[key] = { std::move(value), ++this->index };
}

std::optional<KeyValueStore::Entry> KeyValueStore::find(const std::string &key) const
{
    return findIn(this->entries, key);
}

std::uint64_t KeyValueStore::lastIndex() const
{
    return this->index;
}

void KeyValueStore::takeSnapshot()
{
    this->snapshot = this->entries;
}

std::optional<KeyValueStore::Entry> KeyValueStore::findInSnapshot(const std::string &key) const
{
    return findIn(this->snapshot, key);
}

} // namespace damaskgate::standins
