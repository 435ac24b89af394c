#include "entrycontext.h"

#include <array>
#include <cstdio>
#include <utility>

namespace damaskgate::entry {

EntryContext::EntryContext(boost::asio::io_context &ioContext,
                           const EntryDependencies &dependencies, EntryOptions options)
    : ioContext(ioContext), dependencies(dependencies), options(std::move(options)),
      routes(dependencies.settings),
      operations({ this->options.host, this->options.incarnation, this->options.fleetSecret,
                   this->options.operationLifetime, this->options.operationCapacity })
{}

core::Instant EntryContext::now() const
{
    return this->dependencies.clock.now();
}

void EntryContext::checkDrain()
{
    this->isDraining = this->isDraining || this->now() >= this->drainDue;
}

IRetryBudget &EntryContext::retryBudget()
{
    IRetryBudget *shared = this->dependencies.retryBudget;
    return shared == nullptr ? this->ownRetryBudget : *shared;
}

std::string EntryContext::makeTraceId()
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(this->random()));
    return text.data();
}

} // namespace damaskgate::entry
