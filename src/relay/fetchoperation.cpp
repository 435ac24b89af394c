#include "fetchoperation.h"

#include <algorithm>
#include <utility>

#include "damaskgate/core/hash.h"
#include "damaskgate/settings/manifest.h"

#include "wiretext.h"

namespace damaskgate::relay {

namespace {

constexpr std::size_t BranchesPerCall = 4;
constexpr std::size_t HashBytes = core::Sha256 {}.size();

kj::Array<kj::byte> bytesFromHex(const std::string &hex)
{
    auto bytes = kj::heapArray<kj::byte>(HashBytes);
    for (std::size_t i = 0; i < HashBytes; ++i) {
        bytes[i] = static_cast<kj::byte>(std::stoul(hex.substr(2 * i, 2), nullptr, 16));
    }
    return bytes;
}

} // namespace

FetchOperation::FetchOperation(FetchRequest request)
    : request(std::move(request)), bundle(std::make_shared<settings::SettingsBundle>())
{}

kj::Promise<settings::BundlePtr> FetchOperation::run(kj::AsyncIoContext &io)
{
    return io.provider->getNetwork()
        .parseAddress(this->request.address.c_str(), this->request.port)
        .then([](kj::Own<kj::NetworkAddress> address) {
            auto connecting = address->connect();
            return connecting.attach(kj::mv(address));
        })
        .then([this](kj::Own<kj::AsyncIoStream> connected) {
            this->stream = kj::mv(connected);
            auto client = kj::heap<capnp::TwoPartyClient>(*this->stream);
            this->source = client->bootstrap().castAs<wire::SettingsSource>();
            this->connection = kj::mv(client);
            return this->fetchManifest();
        })
        .then([this] { return this->fetchBranches(); })
        .then([this]() -> settings::BundlePtr { return this->bundle; });
}

kj::Promise<void> FetchOperation::fetchManifest()
{
    return KJ_ASSERT_NONNULL(this->source)
        .manifestRequest()
        .send()
        .then([this](capnp::Response<wire::SettingsSource::ManifestResults> response) {
            this->applyManifest(toText(response.getText()));
        });
}

void FetchOperation::applyManifest(std::string text)
{
    const auto manifest = settings::parseManifest(text);
    KJ_REQUIRE(manifest.has_value() && manifest->revision == this->request.revision,
               "the peer does not have the requested revision");
    this->bundle->manifest = std::move(text);
    for (std::string &hash : settings::branchHashesOf(*manifest)) {
        const auto *localBranches =
            this->request.localBundle ? &this->request.localBundle->branches : nullptr;
        const auto known = localBranches != nullptr ? localBranches->find(hash)
                                                    : decltype(localBranches->end()) {};
        if (localBranches != nullptr && known != localBranches->end()) {
            this->bundle->branches.emplace(*known);
        } else {
            this->missingBranches.push_back(std::move(hash));
        }
    }
}

kj::Promise<void> FetchOperation::fetchBranches()
{
    if (this->missingBranches.empty()) {
        return kj::READY_NOW;
    }
    const std::size_t count = std::min(this->missingBranches.size(), BranchesPerCall);
    auto call = KJ_ASSERT_NONNULL(this->source).branchesRequest();
    auto hashes = call.initHashes(static_cast<unsigned>(count));
    for (unsigned i = 0; i < count; ++i) {
        hashes.set(i, bytesFromHex(this->missingBranches[i]));
    }
    return call.send()
        .then([this, count](capnp::Response<wire::SettingsSource::BranchesResults> response) {
            this->applyBranches(count, response);
        })
        .then([this] { return this->fetchBranches(); });
}

void FetchOperation::applyBranches(std::size_t count,
                                   wire::SettingsSource::BranchesResults::Reader results)
{
    const auto texts = results.getTexts();
    KJ_REQUIRE(texts.size() == count, "the peer did not return one text per requested branch");
    for (unsigned i = 0; i < count; ++i) {
        std::string text = toText(texts[i]);
        KJ_REQUIRE(core::toHex(core::sha256(text)) == this->missingBranches[i],
                   "a branch is missing at the peer or does not match its hash");
        this->bundle->branches.emplace(this->missingBranches[i],
                                       std::make_shared<const std::string>(std::move(text)));
    }
    this->missingBranches.erase(this->missingBranches.begin(),
                                this->missingBranches.begin() + static_cast<std::ptrdiff_t>(count));
}

} // namespace damaskgate::relay
