#include "kvclient.h"

#include <charconv>
#include <utility>

#include "damaskgate/settings/manifest.h"

namespace damaskgate::publication {

namespace {

constexpr auto IndexField = "X-Consul-Index";

core::Result<KvValue> toValue(http::HttpResponse &response)
{
    using Status = boost::beast::http::status;
    KvValue value;
    const auto index = response[IndexField];
    std::from_chars(index.data(), index.data() + index.size(), value.index);
    if (response.result() == Status::not_found) {
        return value;
    }
    if (response.result() != Status::ok) {
        return core::notRun(core::Reason::PlatformUnavailable,
                            "HTTP status " + std::to_string(response.result_int()));
    }
    value.value = std::move(response.body());
    return value;
}

} // namespace

KvClient::KvClient(boost::asio::io_context &context, std::chrono::milliseconds timeout)
    : reader(context, { timeout, settings::MaxValueBytes })
{}

void KvClient::setReplica(const settings::SocketAddress &replica)
{
    this->reader.setServer(replica.address, replica.port);
}

void KvClient::close()
{
    this->reader.close();
}

boost::asio::awaitable<core::Result<KvValue>> KvClient::get(std::string key,
                                                            std::optional<KvWatch> watch)
{
    std::string target = "/v1/kv/" + key + "?raw";
    std::chrono::milliseconds wait { 0 };
    if (watch) {
        target += "&index=" + std::to_string(watch->index);
        target += "&wait=" + std::to_string(watch->wait.count()) + "ms";
        wait = watch->wait;
    }
    auto response = co_await this->reader.get(std::move(target), wait);
    if (!response) {
        co_return tl::unexpected(response.error());
    }
    auto value = toValue(*response);
    if (!value) {
        this->reader.close();
    }
    co_return value;
}

} // namespace damaskgate::publication
