#include "damaskgate/mirror/mirror.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <vector>

namespace damaskgate::mirror {

bool Mirror::apply(const Changes &changes)
{
    if (changes.revision < this->current) {
        return false;
    }
    bool isChanged = changes.isSnapshot && this->removeOthers(changes);
    if (isChanged) {
        this->changedAt = changes.revision;
    }
    for (const Item &item : changes.items) {
        // Pages of a whole copy may hold later items; what changed before those is still to come.
        this->changedAt = std::max(this->changedAt, std::min(item.revision, changes.revision));
        isChanged = this->put(item) || isChanged;
    }
    for (const Removal &removal : changes.removals) {
        this->changedAt = std::max(this->changedAt, removal.revision);
        isChanged = this->remove(removal.key, removal.revision) || isChanged;
    }
    this->current = changes.revision;
    this->forgetOldRemovals();
    return isChanged;
}

Changes Mirror::changesSince(std::uint64_t after) const
{
    Changes changes;
    changes.revision = this->changedAt;
    changes.isSnapshot = after == 0 || after < this->removalsFrom;
    for (const auto &[key, item] : this->held) {
        if (changes.isSnapshot || item.revision > after) {
            changes.items.push_back(item);
        }
    }
    for (const auto &[key, revision] : this->removed) {
        if (!changes.isSnapshot && revision > after) {
            changes.removals.push_back({ key, revision });
        }
    }
    return changes;
}

std::uint64_t Mirror::revision() const
{
    return this->current;
}

std::uint64_t Mirror::contentRevision() const
{
    return this->changedAt;
}

const std::map<std::string, Item, std::less<>> &Mirror::items() const
{
    return this->held;
}

bool Mirror::put(const Item &item)
{
    const auto gone = this->removed.find(item.key);
    if (gone != this->removed.end() && gone->second > item.revision) {
        return false;
    }
    const auto found = this->held.find(item.key);
    if (found != this->held.end() && found->second.revision >= item.revision) {
        return false;
    }
    this->removed.erase(item.key);
    this->held.insert_or_assign(item.key, item);
    return true;
}

bool Mirror::remove(const std::string &key, std::uint64_t revision)
{
    const auto found = this->held.find(key);
    if (found != this->held.end() && found->second.revision > revision) {
        return false;
    }
    this->removed.insert_or_assign(key, revision);
    if (found == this->held.end()) {
        return false;
    }
    this->held.erase(found);
    return true;
}

bool Mirror::removeOthers(const Changes &whole)
{
    std::set<std::string_view> kept;
    std::ranges::transform(whole.items, std::inserter(kept, kept.end()), &Item::key);
    std::vector<std::string> others;
    for (const auto &[key, item] : this->held) {
        if (!kept.contains(key)) {
            others.push_back(key);
        }
    }
    for (const std::string &key : others) {
        this->remove(key, whole.revision);
    }
    return !others.empty();
}

void Mirror::forgetOldRemovals()
{
    while (this->removed.size() > MaxRemovals) {
        const auto oldest = std::ranges::min_element(
            this->removed, {}, [](const auto &removal) { return removal.second; });
        this->removalsFrom = std::max(this->removalsFrom, oldest->second);
        this->removed.erase(oldest);
    }
}

} // namespace damaskgate::mirror
