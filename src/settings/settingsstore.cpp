#include "damaskgate/settings/settingsstore.h"

#include <algorithm>
#include <span>
#include <utility>

#include "damaskgate/settings/manifest.h"

namespace damaskgate::settings {

namespace {

constexpr std::size_t MaxLoggedFindings = 10;

void recordFindings(core::IEventSink &events, const Revision &revision, const Findings &findings,
                    std::string_view source)
{
    const std::size_t logged = std::min(findings.size(), MaxLoggedFindings);
    for (const Finding &finding : std::span(findings).first(logged)) {
        events.record({ "settings-refused",
                        { { "revision", revision.number },
                          { "hash", std::string_view(revision.hash) },
                          { "source", source },
                          { "findings", findings.size() },
                          { "file", std::string_view(finding.file) },
                          { "path", std::string_view(finding.path) },
                          { "detail", std::string_view(finding.message) } } });
    }
}

} // namespace

SettingsStore::SettingsStore(core::IEventSink &events) : events(events) {}

SettingsPtr SettingsStore::current() const
{
    const std::scoped_lock lock(this->stateMutex);
    return this->settings;
}

void SettingsStore::addListener(Listener listener)
{
    const std::scoped_lock lock(this->stateMutex);
    this->listeners.push_back(std::move(listener));
}

RevisionGate::Decision SettingsStore::decide(const Revision &offered) const
{
    const std::scoped_lock lock(this->stateMutex);
    return this->gate.decide(offered);
}

BundlePtr SettingsStore::bundle() const
{
    const std::scoped_lock lock(this->stateMutex);
    return this->bundleInForce;
}

OfferResult SettingsStore::offer(const BundlePtr &bundle, std::string_view source)
{
    const std::scoped_lock lock(this->offerMutex);
    auto manifest = parseManifest(bundle->manifest);
    if (!manifest) {
        recordFindings(this->events, {}, manifest.error(), source);
        return { OfferResult::Outcome::Refused, std::move(manifest.error()) };
    }
    switch (this->decide(manifest->revision)) {
    case RevisionGate::Decision::InForce:
        return { OfferResult::Outcome::Unchanged, {} };
    case RevisionGate::Decision::Older:
        return { OfferResult::Outcome::Older, {} };
    case RevisionGate::Decision::Refused:
    case RevisionGate::Decision::Newer:
        break;
    }
    return this->checkAndAccept(manifest->revision, bundle, source);
}

OfferResult SettingsStore::checkAndAccept(const Revision &revision, const BundlePtr &bundle,
                                          std::string_view source)
{
    auto parsed = parseSettings(*bundle);
    if (!parsed) {
        return this->refuse(revision, std::move(parsed.error()), source);
    }
    std::vector<Listener> listenersToCall;
    {
        const std::scoped_lock lock(this->stateMutex);
        this->gate.accept(revision);
        this->settings = *parsed;
        this->bundleInForce = bundle;
        listenersToCall = this->listeners;
    }
    this->events.record({ "settings-accepted",
                          { { "revision", revision.number },
                            { "hash", std::string_view(revision.hash) },
                            { "source", source } } });
    std::ranges::for_each(listenersToCall, [&](const Listener &listener) { listener(*parsed); });
    return { OfferResult::Outcome::Accepted, {} };
}

OfferResult SettingsStore::refuse(const Revision &revision, Findings findings,
                                  std::string_view source)
{
    {
        const std::scoped_lock lock(this->stateMutex);
        this->gate.refuse(revision);
    }
    recordFindings(this->events, revision, findings, source);
    return { OfferResult::Outcome::Refused, std::move(findings) };
}

} // namespace damaskgate::settings
