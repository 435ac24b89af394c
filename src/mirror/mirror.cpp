#include "damaskgate/mirror/mirror.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <vector>

namespace damaskgate::mirror {

bool Mirror::apply(const Changes &changes)
{
    if (changes.revision < this->appliedRevision) {
        return false;
    }
    if (changes.isSnapshot) {
        this->recordJump(this->lastContentRevision, changes.revision);
    }
    bool isChanged = changes.isSnapshot && this->removeMissingItems(changes);
    if (isChanged) {
        this->lastContentRevision = changes.revision;
    }
    for (const Item &item : changes.items) {
        // The pages of a snapshot are read one by one, so a later page may hold an item that is
        // newer than the snapshot's revision. Earlier changes may still be missing then, so the
        // content revision is capped at the revision of the snapshot.
        this->lastContentRevision =
            std::max(this->lastContentRevision, std::min(item.revision, changes.revision));
        isChanged = this->applyItem(item) || isChanged;
    }
    for (const Removal &removal : changes.removals) {
        this->lastContentRevision = std::max(this->lastContentRevision, removal.revision);
        isChanged = this->applyRemoval(removal.key, removal.revision) || isChanged;
    }
    this->appliedRevision = changes.revision;
    this->discardOldRemovals();
    return isChanged;
}

Changes Mirror::changesSince(std::uint64_t after) const
{
    Changes changes;
    changes.revision = this->lastContentRevision;
    changes.isSnapshot = after == 0 || !this->areRemovalsKnownSince(after);
    for (const auto &[key, item] : this->itemsByKey) {
        if (changes.isSnapshot || item.revision > after) {
            changes.items.push_back(item);
        }
    }
    for (const auto &[key, revision] : this->removalRevisions) {
        if (!changes.isSnapshot && revision > after) {
            changes.removals.push_back({ key, revision });
        }
    }
    return changes;
}

std::optional<std::string_view> Mirror::valueAt(std::string_view key, std::uint64_t revision) const
{
    const auto current = this->itemsByKey.find(key);
    if (current != this->itemsByKey.end() && current->second.revision == revision) {
        return current->second.value;
    }
    const auto former = this->formerItems.find(key);
    if (former == this->formerItems.end()) {
        return std::nullopt;
    }
    const auto found = std::ranges::find(former->second, revision, &Item::revision);
    return found == former->second.end() ? std::nullopt
                                         : std::optional<std::string_view>(found->value);
}

std::vector<std::uint64_t> Mirror::largeItemRevisions() const
{
    std::vector<std::uint64_t> revisions;
    for (const auto &[key, item] : this->itemsByKey) {
        if (item.value.size() >= LargeValueBytes) {
            revisions.push_back(item.revision);
        }
    }
    return revisions;
}

void Mirror::keepFormer(const Item &item)
{
    if (item.value.size() < LargeValueBytes) {
        return;
    }
    std::deque<Item> &former = this->formerItems[item.key];
    former.push_back(item);
    this->formerBytes += item.value.size();
    if (former.size() > MaxFormerValues) {
        this->formerBytes -= former.front().value.size();
        former.pop_front();
    }
    while (this->formerBytes > MaxFormerBytes) {
        this->discardOldestFormer();
    }
}

void Mirror::discardOldestFormer()
{
    const auto oldest = std::ranges::min_element(
        this->formerItems, {}, [](const auto &item) { return item.second.front().revision; });
    this->formerBytes -= oldest->second.front().value.size();
    oldest->second.pop_front();
    if (oldest->second.empty()) {
        this->formerItems.erase(oldest);
    }
}

void Mirror::discardFormer(const std::string &key)
{
    const auto found = this->formerItems.find(key);
    if (found == this->formerItems.end()) {
        return;
    }
    for (const Item &item : found->second) {
        this->formerBytes -= item.value.size();
    }
    this->formerItems.erase(found);
}

std::uint64_t Mirror::revision() const
{
    return this->appliedRevision;
}

std::uint64_t Mirror::contentRevision() const
{
    return this->lastContentRevision;
}

const std::map<std::string, Item, std::less<>> &Mirror::items() const
{
    return this->itemsByKey;
}

bool Mirror::areRemovalsKnownSince(std::uint64_t after) const
{
    const auto isWithin = [after](const Jump &jump) {
        return after > jump.from && after < jump.to;
    };
    return after >= this->discardedRemovalRevision && std::ranges::none_of(this->jumps, isWithin);
}

void Mirror::recordJump(std::uint64_t from, std::uint64_t to)
{
    this->jumps.push_back({ from, to });
    if (this->jumps.size() > MaxJumps) {
        this->discardedRemovalRevision =
            std::max(this->discardedRemovalRevision, this->jumps.front().to);
        this->jumps.pop_front();
    }
}

bool Mirror::applyItem(const Item &item)
{
    const auto removal = this->removalRevisions.find(item.key);
    if (removal != this->removalRevisions.end() && removal->second > item.revision) {
        return false;
    }
    const auto found = this->itemsByKey.find(item.key);
    if (found != this->itemsByKey.end() && found->second.revision >= item.revision) {
        return false;
    }
    if (found != this->itemsByKey.end()) {
        this->keepFormer(found->second);
    }
    this->removalRevisions.erase(item.key);
    this->itemsByKey.insert_or_assign(item.key, item);
    return true;
}

bool Mirror::applyRemoval(const std::string &key, std::uint64_t revision)
{
    const auto found = this->itemsByKey.find(key);
    if (found != this->itemsByKey.end() && found->second.revision > revision) {
        return false;
    }
    this->removalRevisions.insert_or_assign(key, revision);
    if (found == this->itemsByKey.end()) {
        return false;
    }
    this->itemsByKey.erase(found);
    this->discardFormer(key);
    return true;
}

bool Mirror::removeMissingItems(const Changes &snapshot)
{
    std::set<std::string_view> listed;
    std::ranges::transform(snapshot.items, std::inserter(listed, listed.end()), &Item::key);
    std::vector<std::string> missing;
    for (const auto &[key, item] : this->itemsByKey) {
        if (!listed.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        this->applyRemoval(key, snapshot.revision);
    }
    return !missing.empty();
}

void Mirror::discardOldRemovals()
{
    while (this->removalRevisions.size() > MaxRemovals) {
        const auto oldest = std::ranges::min_element(
            this->removalRevisions, {}, [](const auto &removal) { return removal.second; });
        this->discardedRemovalRevision = std::max(this->discardedRemovalRevision, oldest->second);
        this->removalRevisions.erase(oldest);
    }
}

} // namespace damaskgate::mirror
