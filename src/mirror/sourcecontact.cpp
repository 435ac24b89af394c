#include "damaskgate/mirror/sourcecontact.h"

namespace damaskgate::mirror {

namespace {

constexpr core::Duration LongBefore = std::chrono::hours(1); // before the start of this process

} // namespace

SourceContact::SourceContact(core::Instant startedAt) : startedAt(startedAt) {}

bool SourceContact::update(bool isReached, core::Instant now)
{
    if (isReached == this->reachedSince.has_value()) {
        return false;
    }
    if (!isReached) {
        this->reachedSince.reset();
        return true;
    }
    const bool isFirst = !this->wasReached && now - this->startedAt <= FirstContact;
    this->reachedSince = isFirst ? this->startedAt - LongBefore : now;
    this->wasReached = true;
    return true;
}

std::optional<core::Instant> SourceContact::since() const
{
    return this->reachedSince;
}

} // namespace damaskgate::mirror
