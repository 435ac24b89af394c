#include "optionschange.h"

#include <array>

namespace damaskgate::gateway {

namespace {

struct Field
{
    std::string_view name;
    bool isChangeable = false; //!< otherwise other hosts or open sockets depend on the value
    bool (*isEqual)(const GatewayOptions &, const GatewayOptions &);
    void (*copy)(const GatewayOptions &from, GatewayOptions &to);
};

template <auto Member>
constexpr Field makeField(std::string_view name, bool isChangeable)
{
    return { name, isChangeable,
             [](const GatewayOptions &left, const GatewayOptions &right) {
                 return left.*Member == right.*Member;
             },
             [](const GatewayOptions &from, GatewayOptions &to) {
                 to.*Member = from.*Member;
             } };
}

constexpr std::array Fields {
    makeField<&GatewayOptions::name>("name", false),
    makeField<&GatewayOptions::domain>("domain", false),
    makeField<&GatewayOptions::address>("address", false),
    makeField<&GatewayOptions::ports>("ports", false),
    makeField<&GatewayOptions::fleetSecret>("fleet_secret", false),
    makeField<&GatewayOptions::corePercent>("core_percent", false),
    makeField<&GatewayOptions::seeds>("seeds", true),
    makeField<&GatewayOptions::retries>("retries", true),
    makeField<&GatewayOptions::lookupTimeToLive>("lookup_time_to_live", true),
    makeField<&GatewayOptions::registrationInterval>("registration_interval", true),
    makeField<&GatewayOptions::maxConnections>("max_connections", true),
    makeField<&GatewayOptions::stopGrace>("stop_grace", true),
    makeField<&GatewayOptions::sourceAddress>("source_address", true),
};

} // namespace

OptionsChange compareOptions(const GatewayOptions &current, const GatewayOptions &next)
{
    OptionsChange change;
    change.options = current;
    for (const Field &field : Fields) {
        if (field.isEqual(current, next)) {
            continue;
        }
        if (!field.isChangeable) {
            change.refused.push_back(field.name);
            continue;
        }
        field.copy(next, change.options);
        change.applied.push_back(field.name);
    }
    return change;
}

} // namespace damaskgate::gateway
