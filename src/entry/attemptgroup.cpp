#include "attemptgroup.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>

namespace damaskgate::entry {

namespace {

bool isReady(const ActiveAttempt &active)
{
    return active.attempt->isReady();
}

bool hasEnded(const ActiveAttempt &active)
{
    return active.attempt->hasEnded();
}

} // namespace

AttemptGroup::AttemptGroup(EntryContext &context) : context(context), wakeTimer(context.ioContext)
{}

void AttemptGroup::start(ActiveAttempt added, const settings::Endpoint &endpoint,
                         std::shared_ptr<void> owner)
{
    const std::shared_ptr<Attempt> attempt = added.attempt;
    this->attempts.push_back(std::move(added));
    ++this->running;
    asio::co_spawn(
        this->context.ioContext, [attempt, endpoint] { return attempt->awaitResponse(endpoint); },
        [this, owner = std::move(owner)](std::exception_ptr thrown) {
            --this->running;
            if (thrown && !this->failure) {
                this->failure = std::move(thrown);
                this->abort();
            }
            this->wakeTimer.cancel();
        });
}

asio::awaitable<std::optional<ActiveAttempt>> AttemptGroup::next(std::optional<core::Instant> until)
{
    while (true) {
        if (this->failure && this->running == 0) {
            std::rethrow_exception(this->failure);
        }
        if (!this->failure) {
            if (auto ended = this->takeEnded()) {
                co_return ended;
            }
        }
        const core::Instant now = this->context.now();
        if (!this->failure && until && now >= *until) {
            co_return std::nullopt;
        }
        if (!this->failure && until) {
            this->wakeTimer.expires_after(*until - now);
        } else {
            this->wakeTimer.expires_at(asio::steady_timer::time_point::max());
        }
        co_await this->wakeTimer.async_wait(WithError);
    }
}

std::optional<ActiveAttempt> AttemptGroup::takeEnded()
{
    auto found = std::ranges::find_if(this->attempts, isReady);
    if (found == this->attempts.end()) {
        found = std::ranges::find_if(this->attempts, hasEnded);
    }
    if (found == this->attempts.end()) {
        return std::nullopt;
    }
    ActiveAttempt ended = std::move(*found);
    this->attempts.erase(found);
    return ended;
}

void AttemptGroup::abort()
{
    std::ranges::for_each(this->attempts,
                          [](const ActiveAttempt &active) { active.attempt->abort(); });
}

std::span<const ActiveAttempt> AttemptGroup::active() const
{
    return this->attempts;
}

} // namespace damaskgate::entry
