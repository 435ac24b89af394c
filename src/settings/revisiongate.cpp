#include "damaskgate/settings/revisiongate.h"

namespace damaskgate::settings {

RevisionGate::Decision RevisionGate::decide(const Revision &offered) const
{
    if (this->current && offered == *this->current) {
        return Decision::InForce;
    }
    if (this->current && offered < *this->current) {
        return Decision::Older;
    }
    if (this->lastRefused && offered == *this->lastRefused) {
        return Decision::Refused;
    }
    return Decision::Newer;
}

bool RevisionGate::accept(const Revision &revision)
{
    if (this->current && revision <= *this->current) {
        return false;
    }
    this->current = revision;
    return true;
}

void RevisionGate::refuse(const Revision &revision)
{
    this->lastRefused = revision;
}

const std::optional<Revision> &RevisionGate::inForce() const
{
    return this->current;
}

} // namespace damaskgate::settings
