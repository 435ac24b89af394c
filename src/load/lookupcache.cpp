#include "lookupcache.h"

#include <nlohmann/json.hpp>

namespace damaskgate::load {

core::Result<LookupResponse> parseLookupResponse(std::string_view text)
{
    try {
        const nlohmann::json root = nlohmann::json::parse(text);
        LookupResponse response;
        response.timeToLive = std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(root.at("ttl_seconds").get<double>()));
        for (const nlohmann::json &entry : root.at("entries")) {
            response.entries.push_back({ entry.at("address"), entry.at("port") });
        }
        response.operationTicket = root.value("operation_ticket", "");
        return response;
    } catch (const nlohmann::json::exception &error) {
        return core::notRun(core::Reason::BadRequest, error.what());
    }
}

void LookupCache::store(const Address &host, LookupResponse response, core::Instant now)
{
    this->expiry = now + response.timeToLive;
    this->latest = std::move(response.entries);
    this->tickets[host] = { std::move(response.operationTicket), this->expiry };
}

const std::vector<Address> *LookupCache::entries(core::Instant now) const
{
    return now < this->expiry && !this->latest.empty() ? &this->latest : nullptr;
}

std::optional<std::string> LookupCache::ticketFor(const Address &host, core::Instant now) const
{
    const auto found = this->tickets.find(host);
    if (found == this->tickets.end() || now >= found->second.expiry) {
        return std::nullopt;
    }
    return found->second.text;
}

void LookupCache::discardEntries()
{
    this->expiry = {};
}

} // namespace damaskgate::load
