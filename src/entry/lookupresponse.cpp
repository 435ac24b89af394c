#include "lookupresponse.h"

#include <nlohmann/json.hpp>

namespace damaskgate::entry {

std::string toLookupJson(std::span<const LookupEntry> entries, std::chrono::seconds timeToLive,
                         std::string_view operationTicket)
{
    nlohmann::json list = nlohmann::json::array();
    for (const LookupEntry &entry : entries) {
        list.push_back({ { "host", entry.host.text() },
                         { "address", entry.address },
                         { "port", entry.port },
                         { "domain", entry.domain.text() } });
    }
    const nlohmann::json response { { "ttl_seconds", timeToLive.count() },
                                    { "entries", std::move(list) },
                                    { "operation_ticket", operationTicket } };
    return response.dump() + "\n";
}

} // namespace damaskgate::entry
