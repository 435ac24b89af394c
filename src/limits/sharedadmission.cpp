#include "damaskgate/limits/sharedadmission.h"

#include <chrono>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::limits {

SharedAdmission::SharedAdmission(const core::IClock &clock) : clock(clock) {}

void SharedAdmission::applySettings(const settings::Settings &settings)
{
    const core::Instant now = this->clock.now();
    std::map<core::WorkspaceName, WorkspaceBucket> newBuckets;
    this->namesByHash.clear();
    for (const auto &[name, workspace] : settings.workspaces) {
        const BucketLimits bucketLimits { workspace.ratePerSecond, workspace.burst };
        const auto found = this->buckets.find(name);
        WorkspaceBucket entry { found == this->buckets.end() ? SharedBucket(bucketLimits, now)
                                                             : found->second.bucket,
                                workspace.ratePerSecond > 0 };
        entry.bucket.setLimits(bucketLimits, now);
        entry.bucket.setReachableFraction(this->reachableFraction, now);
        newBuckets.emplace(name, entry);
        this->namesByHash.emplace(core::nameHash(name.text()), name);
    }
    this->buckets = std::move(newBuckets);
}

void SharedAdmission::consumeRemote(std::uint32_t nameHash)
{
    const auto name = this->namesByHash.find(nameHash);
    if (name != this->namesByHash.end()) {
        this->buckets.at(name->second).bucket.consumeRemote(this->clock.now());
    }
}

void SharedAdmission::setReachableFraction(double reachableFraction)
{
    if (reachableFraction == this->reachableFraction) {
        return;
    }
    this->reachableFraction = reachableFraction;
    for (auto &[name, entry] : this->buckets) {
        entry.bucket.setReachableFraction(reachableFraction, this->clock.now());
    }
}

void SharedAdmission::admit(const core::WorkspaceName &workspace, core::Instant /*deadline*/,
                            Done done)
{
    const auto found = this->buckets.find(workspace);
    if (found == this->buckets.end()) {
        done(core::notRun(core::Reason::LimiterUnavailable, "unknown workspace"));
        return;
    }
    WorkspaceBucket &entry = found->second;
    const core::Instant now = this->clock.now();
    if (!entry.isLimited || entry.bucket.tryConsume(now)) {
        done({});
        return;
    }
    core::Error error { core::Reason::RateLimited, core::Verdict::NotRun,
                        "rate limit of the workspace exceeded", std::nullopt };
    error.retryAfter =
        std::chrono::ceil<std::chrono::milliseconds>(entry.bucket.timeUntilToken(now));
    done(tl::unexpected(std::move(error)));
}

} // namespace damaskgate::limits
