#include "testtree.h"

#include "damaskgate/core/hash.h"
#include "damaskgate/settings/manifest.h"

namespace damaskgate::settings::tests {

TreeTexts validTree()
{
    return {
        { "defaults", R"({
            "hosts": { "callerPort": 8080, "peerPort": 8081, "operatorPort": 8082 },
            "routes": { "repeatable": true, "timeout": "2s" },
            "services": { "slots": 6, "rampTime": "20s", "probeInterval": "2s" },
            "endpoints": { "port": 9000 } })" },
        { "domains", R"({ "entries": { "north": {}, "south": { "inService": false } } })" },
        { "hosts/north", R"({ "defaults": { "domain": "north" }, "entries": {
            "nor-01": { "address": "127.0.0.1" },
            "nor-02": { "address": "127.0.0.2", "callerPort": 8090 } } })" },
        { "workspaces",
          R"({ "defaults": { "rate": "60/min", "burst": 5 }, "entries": {
            "halls": { "keys": ["sha256:)"
              + std::string(64, 'a') + R"("] }, "schools": { "rate": "50/s" } } })" },
        { "services", R"({ "entries": { "booking": { "slots": 2 } } })" },
        { "endpoints/booking", R"({ "defaults": { "service": "booking", "domain": "north" },
            "entries": { "booking-01": { "address": "127.0.1.1" } } })" },
        { "routes", R"({ "entries": {
            "read": { "path": "/r", "service": "booking", "open": true },
            "place": { "path": "/p", "service": "booking", "repeatable": false,
                       "workspaces": ["halls"], "methods": ["POST"] } } })" },
    };
}

TreeFiles filesOf(const TreeTexts &texts)
{
    return { texts.begin(), texts.end() };
}

BundlePtr bundleOf(std::uint64_t number, const TreeTexts &texts)
{
    auto bundle = std::make_shared<SettingsBundle>();
    BranchHashes hashes;
    for (const auto &[name, text] : texts) {
        const std::string hash = core::toHex(core::sha256(text));
        hashes[name] = hash;
        bundle->branches[hash] = std::make_shared<const std::string>(text);
    }
    bundle->manifest = writeManifest(number, hashes, {});
    return bundle;
}

} // namespace damaskgate::settings::tests
