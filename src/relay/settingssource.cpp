#include "settingssource.h"

#include <algorithm>
#include <string_view>

#include "damaskgate/core/hash.h"

#include "wiretext.h"

namespace damaskgate::relay {

namespace {

//! Limits a response to 16 MB, as a value on the platform has at most 1 MB.
constexpr unsigned MaxBranchesPerCall = 16;

} // namespace

SettingsSource::SettingsSource(const settings::SettingsStore &store) : store(store) {}

kj::Promise<void> SettingsSource::manifest(ManifestContext context)
{
    const auto bundle = this->store.bundle();
    if (bundle) {
        context.getResults().setText(toData(bundle->manifest));
    }
    return kj::READY_NOW;
}

kj::Promise<void> SettingsSource::branches(BranchesContext context)
{
    const auto bundle = this->store.bundle();
    const auto hashes = context.getParams().getHashes();
    const unsigned count = std::min(hashes.size(), MaxBranchesPerCall);
    auto texts = context.getResults().initTexts(count);
    for (unsigned i = 0; bundle && i < count; ++i) {
        const auto hash = hashes[i];
        const auto branch = bundle->branches.find(core::toHex({ hash.begin(), hash.size() }));
        if (branch != bundle->branches.end()) {
            texts.set(i, toData(*branch->second));
        }
    }
    return kj::READY_NOW;
}

} // namespace damaskgate::relay
