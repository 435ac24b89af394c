#pragma once

#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "attempt.h"
#include "slotguard.h"

namespace damaskgate::entry {

/** An attempt with the slot of its endpoint. */
struct ActiveAttempt
{
    std::shared_ptr<Attempt> attempt;
    std::unique_ptr<SlotGuard> slot;
    core::EndpointName endpoint;
    core::Instant startedAt;
    core::Duration lateThreshold {}; //!< see balance::SlotGrant::lateThreshold
    bool isSpeculative = false; //!< started beside another attempt, with a retry of the budget
};

/** The attempts of one request that are in progress at the same time. */
class AttemptGroup
{
public:
    explicit AttemptGroup(EntryContext &context);

    AttemptGroup(const AttemptGroup &) = delete;
    AttemptGroup &operator=(const AttemptGroup &) = delete;

    /**
     * Sends the request to @p endpoint and adds @p added to the group.
     *
     * @param owner owner of this group and of what the attempt refers to; kept until the attempt
     * has ended
     */
    void start(ActiveAttempt added, const settings::Endpoint &endpoint,
               std::shared_ptr<void> owner);

    /**
     * Waits until an attempt has a response or has failed. An attempt with a response comes first.
     * If an attempt throws, the others are aborted and the exception follows when all have ended.
     *
     * @param until latest end of the wait; nothing: no limit
     * @return the attempt, which is no longer in the group, or nothing at @p until
     */
    asio::awaitable<std::optional<ActiveAttempt>> next(std::optional<core::Instant> until);

    /** Aborts all attempts; they stay in the group until next() returns them. */
    void abort();

    /** @return the attempts in progress, oldest first. */
    std::span<const ActiveAttempt> active() const;

private:
    std::optional<ActiveAttempt> takeEnded();

    EntryContext &context;
    asio::steady_timer wakeTimer; //!< cancelled when an attempt ends
    std::vector<ActiveAttempt> attempts;
    std::size_t running = 0; //!< coroutines that have not ended
    std::exception_ptr failure; //!< first exception of an attempt
};

} // namespace damaskgate::entry
