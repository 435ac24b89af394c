#pragma once

#include <memory>
#include <string>
#include <vector>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "damaskgate/settings/settingsbundle.h"

#include "relay.capnp.h"

namespace damaskgate::relay {

/** What is to be fetched, and from where. */
struct FetchRequest
{
    std::string address;
    std::uint16_t port = 0;
    settings::Revision revision;
    settings::BundlePtr held; //!< its branches are not fetched again
};

/** One fetch of a revision from another host; lives on the KJ thread. */
class FetchOperation
{
public:
    explicit FetchOperation(FetchRequest request);

    /** @return the bundle; fails with an exception. This object must outlive the promise. */
    kj::Promise<settings::BundlePtr> run(kj::AsyncIoContext &io);

private:
    kj::Promise<void> fetchManifest();
    kj::Promise<void> fetchBranches();
    void takeManifest(std::string text);
    void takeBranches(std::size_t count, wire::SettingsSource::BranchesResults::Reader results);

    FetchRequest request;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Maybe<kj::Own<capnp::TwoPartyClient>> connection;
    kj::Maybe<wire::SettingsSource::Client> source;
    std::shared_ptr<settings::SettingsBundle> bundle;
    std::vector<std::string> missing; //!< hashes of branches still to be fetched
};

} // namespace damaskgate::relay
