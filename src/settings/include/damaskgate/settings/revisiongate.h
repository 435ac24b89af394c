#pragma once

#include <optional>

#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Admits only revisions that are higher than the revision in force. */
class RevisionGate
{
public:
    enum class Decision {
        Newer, //!< higher than the revision in force; to be fetched and validated
        InForce, //!< equal to the revision in force
        Older, //!< lower than the revision in force
        Refused, //!< equal to the last revision that failed validation
    };

    /** Compares @p offered with the revision in force and the last refused revision. */
    Decision decide(const Revision &offered) const;

    /**
     * Puts the validated @p revision into force if it is higher than the revision in force.
     *
     * @return whether @p revision came into force
     */
    bool accept(const Revision &revision);

    /** Records that @p revision failed validation. */
    void refuse(const Revision &revision);

    /** @return the revision in force, or nothing before the first one. */
    const std::optional<Revision> &inForce() const;

private:
    std::optional<Revision> current;
    std::optional<Revision> lastRefused;
};

} // namespace damaskgate::settings
