#pragma once

#include <optional>

#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Decides which revisions may come into force: only higher ones than any before. */
class RevisionGate
{
public:
    enum class Decision {
        Newer, //!< worth fetching and checking
        InForce, //!< the revision in force
        Older, //!< lower than the revision in force
        Refused, //!< its content was checked before and found faulty
    };

    /** @return what to do with @p offered. */
    Decision decide(const Revision &offered) const;

    /** Records that @p revision passed its checks. @return whether it comes into force. */
    bool accept(const Revision &revision);

    /** Records that the content of @p revision is faulty. */
    void refuse(const Revision &revision);

    /** @return the revision in force, if there is one. */
    const std::optional<Revision> &inForce() const;

private:
    std::optional<Revision> current;
    std::optional<Revision> lastRefused;
};

} // namespace damaskgate::settings
