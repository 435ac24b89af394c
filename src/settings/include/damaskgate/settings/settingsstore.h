#pragma once

#include <mutex>
#include <vector>

#include "damaskgate/core/event.h"

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/isettingsstore.h"
#include "damaskgate/settings/revisiongate.h"
#include "damaskgate/settings/settingsbundle.h"

namespace damaskgate::settings {

/** What became of an offered bundle. */
struct OfferResult
{
    enum class Outcome {
        Accepted, //!< in force from now on
        Unchanged, //!< the revision was in force before
        Older, //!< a higher revision is in force
        Refused, //!< faulty; the settings in force stay
    };

    Outcome outcome = Outcome::Refused;
    Findings findings; //!< why it was refused
};

/** Takes bundles from the platform and from other hosts and keeps the highest that is valid. */
class SettingsStore final : public ISettingsStore
{
public:
    /** @param events receives `settings-accepted` and `settings-refused`; outlives the store */
    explicit SettingsStore(core::IEventSink &events);

    SettingsPtr current() const override;
    void addListener(Listener listener) override;

    /**
     * Checks @p bundle and puts it into force when it is valid and higher than all before.
     * Listeners are called before this returns.
     *
     * @param bundle manifest with each branch that it names
     * @param source where the bundle came from, for the log
     */
    OfferResult offer(const BundlePtr &bundle, std::string_view source);

    /** @return what is worth doing with @p offered before its content is known. */
    RevisionGate::Decision decide(const Revision &offered) const;

    /** @return the bundle in force, to hand on to other hosts; null before the first. */
    BundlePtr bundle() const;

private:
    OfferResult checkAndAccept(const Revision &revision, const BundlePtr &bundle,
                               std::string_view source);
    OfferResult refuse(const Revision &revision, Findings findings, std::string_view source);

    core::IEventSink &events;
    mutable std::mutex offerMutex; //!< one offer at a time
    mutable std::mutex stateMutex;
    RevisionGate gate;
    SettingsPtr settings;
    BundlePtr bundleInForce;
    std::vector<Listener> listeners;
};

} // namespace damaskgate::settings
