#pragma once

#include <memory>
#include <string>
#include <vector>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "damaskgate/settings/settingsbundle.h"

#include "relay.capnp.h"

namespace damaskgate::relay {

/** Revision to fetch and address of the peer to fetch it from. */
struct FetchRequest
{
    std::string address; //!< IP address of the peer
    std::uint16_t port = 0;
    settings::Revision revision;
    /** Bundle of this host, whose branches are reused instead of being fetched; may be null. */
    settings::BundlePtr localBundle;
};

/** Fetches one revision from another host. Used on the KJ thread only. */
class FetchOperation
{
public:
    explicit FetchOperation(FetchRequest request);

    /** @return the bundle, or an exception on failure. This object must outlive the promise. */
    kj::Promise<settings::BundlePtr> run(kj::AsyncIoContext &io);

private:
    kj::Promise<void> fetchManifest();
    kj::Promise<void> fetchBranches();
    void applyManifest(std::string text);
    void applyBranches(std::size_t count, wire::SettingsSource::BranchesResults::Reader results);

    FetchRequest request;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Maybe<kj::Own<capnp::TwoPartyClient>> connection;
    kj::Maybe<wire::SettingsSource::Client> source;
    std::shared_ptr<settings::SettingsBundle> bundle;
    std::vector<std::string> missingBranches; //!< hashes of the branches still to be fetched
};

} // namespace damaskgate::relay
