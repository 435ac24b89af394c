#include "lookupcache.h"

#include <nlohmann/json.hpp>

namespace damaskgate::load {

core::Result<LookupAnswer> parseLookupAnswer(std::string_view text)
{
    try {
        const nlohmann::json root = nlohmann::json::parse(text);
        LookupAnswer answer;
        answer.timeToLive = std::chrono::duration_cast<core::Duration>(
            std::chrono::duration<double>(root.at("ttl_seconds").get<double>()));
        for (const nlohmann::json &entry : root.at("entries")) {
            answer.entries.push_back({ entry.at("address"), entry.at("port") });
        }
        answer.operationTicket = root.value("operation_ticket", "");
        return answer;
    } catch (const nlohmann::json::exception &error) {
        return core::notRun(core::Reason::BadRequest, error.what());
    }
}

void LookupCache::store(const Address &host, LookupAnswer answer, core::Instant now)
{
    this->expiry = now + answer.timeToLive;
    this->latest = std::move(answer.entries);
    this->tickets[host] = { std::move(answer.operationTicket), this->expiry };
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

void LookupCache::forgetEntries()
{
    this->expiry = {};
}

} // namespace damaskgate::load
