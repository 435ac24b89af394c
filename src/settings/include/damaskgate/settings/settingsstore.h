#pragma once

#include <mutex>
#include <vector>

#include "damaskgate/core/event.h"

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/isettingsstore.h"
#include "damaskgate/settings/revisiongate.h"
#include "damaskgate/settings/settingsbundle.h"

namespace damaskgate::settings {

/** Result of SettingsStore::offer(). */
struct OfferResult
{
    enum class Outcome {
        Accepted, //!< the bundle came into force
        Unchanged, //!< the revision was already in force
        Older, //!< a higher revision is in force
        Refused, //!< the bundle is invalid; the settings in force stay
    };

    Outcome outcome = Outcome::Refused;
    Findings findings; //!< validation errors of a refused bundle
};

/** Accepts bundles from the platform and other hosts and keeps the highest valid revision. */
class SettingsStore final : public ISettingsStore
{
public:
    /** @param events receives `settings-accepted` and `settings-refused`; must outlive the store */
    explicit SettingsStore(core::IEventSink &events);

    SettingsPtr current() const override;
    void addListener(Listener listener) override;

    /**
     * Validates @p bundle and puts it into force if it is valid and higher than the revision in
     * force. The listeners are called before this function returns.
     *
     * @param bundle manifest and all branches that it references
     * @param source origin of the bundle, for the log
     */
    OfferResult offer(const BundlePtr &bundle, std::string_view source);

    /** Decides from the revision alone whether its content needs to be fetched. */
    RevisionGate::Decision decide(const Revision &offered) const;

    /** @return the bundle in force, for distribution to other hosts; null before the first one. */
    BundlePtr bundle() const;

private:
    OfferResult checkAndAccept(const Revision &revision, const BundlePtr &bundle,
                               std::string_view source);
    OfferResult refuse(const Revision &revision, Findings findings, std::string_view source);

    core::IEventSink &events;
    mutable std::mutex offerMutex; //!< serializes offers
    mutable std::mutex stateMutex;
    RevisionGate gate;
    SettingsPtr settings;
    BundlePtr bundleInForce;
    std::vector<Listener> listeners;
};

} // namespace damaskgate::settings
