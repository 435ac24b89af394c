#include "livesettings.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace damaskgate::gateway {

settings::SettingsPtr LiveSettings::current() const
{
    return this->settings;
}

void LiveSettings::addListener(Listener listener)
{
    this->listeners.push_back(std::move(listener));
}

bool LiveSettings::replace(settings::Settings next)
{
    if (this->settings && next.revision.number <= this->settings->revision.number) {
        return false;
    }
    this->settings = std::make_shared<const settings::Settings>(std::move(next));
    std::ranges::for_each(this->listeners,
                          [this](const Listener &listen) { listen(this->settings); });
    return true;
}

} // namespace damaskgate::gateway
