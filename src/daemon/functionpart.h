#pragma once

#include <functional>
#include <utility>

#include "damaskgate/supervise/icomponent.h"

namespace damaskgate::daemon {

/** A supervised part made of functions, for parts that never end by themselves. */
class FunctionPart final : public supervise::IComponent
{
public:
    struct Functions
    {
        std::function<core::Result<void>()> start;
        std::function<void(StopHandler)> stop;
        std::function<void()> halt;
    };

    explicit FunctionPart(Functions functions) : functions(std::move(functions)) {}

    core::Result<void> start(ExitHandler /*onExit*/) override
    {
        return this->functions.start();
    }

    void stop(StopHandler done) override
    {
        this->functions.stop(std::move(done));
    }

    void halt() override
    {
        this->functions.halt();
    }

private:
    Functions functions;
};

} // namespace damaskgate::daemon
