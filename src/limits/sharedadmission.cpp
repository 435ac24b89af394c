#include "damaskgate/limits/sharedadmission.h"

#include <chrono>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::limits {

SharedAdmission::SharedAdmission(const core::IClock &clock) : clock(clock) {}

void SharedAdmission::applySettings(const settings::Settings &settings)
{
    const core::Instant now = this->clock.now();
    std::map<core::WorkspaceName, Account> next;
    this->namesByTag.clear();
    for (const auto &[name, workspace] : settings.workspaces) {
        const BucketSize size { workspace.ratePerSecond, workspace.burst };
        const auto found = this->accounts.find(name);
        Account account { found == this->accounts.end() ? SharedBucket(size, now)
                                                        : found->second.bucket,
                          workspace.ratePerSecond > 0 };
        account.bucket.resize(size, now);
        account.bucket.setShare(this->share, now);
        next.emplace(name, account);
        this->namesByTag.emplace(core::nameHash(name.text()), name);
    }
    this->accounts = std::move(next);
}

void SharedAdmission::takeRemote(std::uint32_t tag)
{
    const auto name = this->namesByTag.find(tag);
    if (name != this->namesByTag.end()) {
        this->accounts.at(name->second).bucket.takeRemote(this->clock.now());
    }
}

void SharedAdmission::setShare(double share)
{
    if (share == this->share) {
        return;
    }
    this->share = share;
    for (auto &[name, account] : this->accounts) {
        account.bucket.setShare(share, this->clock.now());
    }
}

void SharedAdmission::admit(const core::WorkspaceName &workspace, core::Instant /*deadline*/,
                            Done done)
{
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end()) {
        done(core::notRun(core::Reason::LimiterUnavailable, "the workspace is not known"));
        return;
    }
    Account &account = found->second;
    const core::Instant now = this->clock.now();
    if (!account.isLimited || account.bucket.tryTake(now)) {
        done({});
        return;
    }
    core::Error error { core::Reason::RateLimited, core::Verdict::NotRun,
                        "over the rate and burst of the workspace", std::nullopt };
    error.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(account.bucket.untilToken(now));
    done(tl::unexpected(std::move(error)));
}

} // namespace damaskgate::limits
