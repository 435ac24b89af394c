#include "kvclient.h"

#include <charconv>
#include <utility>

#include "damaskgate/settings/manifest.h"

namespace damaskgate::publication {

namespace {

constexpr auto IndexField = "X-Consul-Index";

core::Result<KvValue> toValue(http::HttpResponse &answer)
{
    using Status = boost::beast::http::status;
    KvValue value;
    const auto index = answer[IndexField];
    std::from_chars(index.data(), index.data() + index.size(), value.index);
    if (answer.result() == Status::not_found) {
        return value;
    }
    if (answer.result() != Status::ok) {
        return core::notRun(core::Reason::PlatformUnavailable,
                            "status " + std::to_string(answer.result_int()));
    }
    value.value = std::move(answer.body());
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
    auto answer = co_await this->reader.get(std::move(target), wait);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    auto value = toValue(*answer);
    if (!value) {
        this->reader.close();
    }
    co_return value;
}

} // namespace damaskgate::publication
