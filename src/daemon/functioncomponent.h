#pragma once

#include <functional>
#include <utility>

#include "damaskgate/supervise/icomponent.h"

namespace damaskgate::daemon {

/** Supervised component that calls given functions and never exits by itself. */
class FunctionComponent final : public supervise::IComponent
{
public:
    struct Functions
    {
        std::function<core::Result<void>()> start;
        std::function<void(StopHandler)> stop;
        std::function<void()> halt;
    };

    explicit FunctionComponent(Functions functions) : functions(std::move(functions)) {}

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
